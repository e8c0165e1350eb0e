package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"beammux/internal/store"
)

// A gatekeeper with store.dir is killed by SIGKILL and started again. A read at once after `serving` gives the record
// whole, or "not ready", and never "no such record": before the fix the member answered from a machine that had not yet
// replayed its log.
func TestReadAtOnceAfterRestart(t *testing.T) {
	dir := t.TempDir()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := probe.Addr().String()
	probe.Close()
	deploy, _ := json.Marshal(map[string]any{"store": map[string]any{"node": "n0", "listen": addr, "dir": filepath.Join(dir, "store"),
		"peers": []map[string]string{{"node": "n0", "address": addr}}}})
	deployFile, configFile := filepath.Join(dir, "beammux.json"), filepath.Join(dir, "config.json")
	config := fmt.Sprintf(`{"listen":"127.0.0.1:0","settings":%s}`, `{"classes":[{"name":"menu-view","repeat":"read_like"}]}`)
	if err := os.WriteFile(deployFile, deploy, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(configFile, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	start := func() *os.Process {
		cmd := program("serve", "--deploy", deployFile, "--log-format", "json")
		cmd.Env = append(cmd.Env, "PROXY_CONFIG="+configFile)
		lines := started(t, cmd)
		for lines.Scan() {
			var line struct{ Msg string }
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "serving" {
				go func() {
					for lines.Scan() {
					}
				}()
				return cmd.Process
			}
		}
		t.Fatalf("the program did not start: %v", cmd.Wait())
		return nil
	}
	p := start()
	const records = 300 // enough that the log is not replayed before the election
	for i := range records {
		if _, err := store.PutTo(t.Context(), addr, fmt.Sprint("k/", i), []byte("whole"), nil); err != nil {
			t.Fatal(err)
		}
	}
	for round := range 3 {
		p.Kill()
		p.Wait()
		p = start()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		got, err := store.GetFrom(ctx, addr, fmt.Sprint("k/", records-1))
		cancel()
		switch {
		case errors.Is(err, store.ErrNotFound):
			t.Fatalf("round %d: %v at once after serving", round, err)
		case err != nil && !errors.Is(err, store.ErrNotReady):
			t.Fatalf("round %d: %v", round, err)
		case err == nil && string(got.Value) != "whole":
			t.Fatalf("round %d: %q", round, got.Value)
		}
		all, err := store.ListFrom(t.Context(), addr, "k/")
		if err == nil && len(all) != records {
			t.Fatalf("round %d: %d records listed of %d", round, len(all), records)
		}
	}
	p.Signal(syscall.SIGTERM)
	p.Wait()
}

// The folder that `incident play` writes is one that `report` reads, and it says which folder that was.
func TestReportOfAnIncidentsOwnFolder(t *testing.T) {
	dir := t.TempDir()
	if _, errs, code := run(t, "incident", "play", "--out", dir, "--gatekeepers", "2", "--length", "5s"); code != 0 {
		t.Fatalf("exit %d: %s", code, errs)
	}
	page := filepath.Join(t.TempDir(), "page.html")
	_, errs, code := run(t, "report", dir, "--out", page)
	if code != 0 || !strings.Contains(errs, "records from "+filepath.Join(dir, "records")) {
		t.Fatalf("exit %d: %s", code, errs)
	}
	if _, errs, code := run(t, "records", "verify", dir); code != 0 {
		t.Errorf("records verify: exit %d: %s", code, errs)
	}
}
