package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"beammux/internal/porttest"
	"beammux/internal/store"
)

// A gatekeeper with store.dir is killed by SIGKILL and started again. A read at once after `serving` gives the record
// whole, or "not ready", and never "no such record": before the fix the member answered from a machine that had not yet
// replayed its log.
func TestReadAtOnceAfterRestart(t *testing.T) {
	dir := t.TempDir()
	addr := porttest.Reserve(t)
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
	start := func(until string) (*os.Process, string) {
		cmd := program("serve", "--deploy", deployFile, "--log-format", "json")
		cmd.Env = append(cmd.Env, "PROXY_CONFIG="+configFile, "PROXY_ADMIN_ADDR=127.0.0.1:0")
		listen := logged(t, cmd, until)
		return cmd.Process, listen
	}
	p, _ := start("serving")
	const records = 300 // enough that the log is not replayed before the election
	for i := range records {
		if _, err := store.PutTo(t.Context(), addr, fmt.Sprint("k/", i), []byte("whole"), nil); err != nil {
			t.Fatal(err)
		}
	}
	for round := range 3 {
		p.Kill()
		p.Wait()
		// In the last round the operators' yes is what the read comes after, asked from before the store is opened.
		if round < 2 {
			p, _ = start("serving")
		} else {
			var ops string
			p, ops = start("operators' address serving")
			for !ready(t, ops) {
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		got, err := store.GetFrom(ctx, addr, fmt.Sprint("k/", records-1))
		cancel()
		switch {
		case errors.Is(err, store.ErrNotFound):
			t.Fatalf("round %d: %v at once after serving", round, err)
		case err != nil && (round == 2 || !errors.Is(err, store.ErrNotReady)):
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

// Where the store alone can name the servers, ready stays no until the store has a leader, however long that takes:
// a member of two whose other one is down says so and waits, ends cleanly on SIGTERM, and serves once the other is up.
func TestNotReadyWithoutAMajority(t *testing.T) {
	dir := t.TempDir()
	var peers []map[string]string
	for _, node := range []string{"a", "b"} {
		peers = append(peers, map[string]string{"node": node, "address": porttest.Reserve(t)})
	}
	command := func(at int) *exec.Cmd {
		deploy, _ := json.Marshal(map[string]any{"store": map[string]any{"node": peers[at]["node"], "listen": peers[at]["address"], "peers": peers}})
		deployFile, configFile := filepath.Join(dir, fmt.Sprint("deploy", at)), filepath.Join(dir, fmt.Sprint("config", at))
		if err := os.WriteFile(deployFile, deploy, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(configFile, []byte(`{"listen":"127.0.0.1:0","settings":{"classes":[{"name":"menu-view","repeat":"read_like"}]}}`), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := program("serve", "--deploy", deployFile, "--log-format", "json")
		cmd.Env = append(cmd.Env, "PROXY_CONFIG="+configFile, "PROXY_ADMIN_ADDR=127.0.0.1:0")
		return cmd
	}
	waiting := "store: not ready; the start waits"
	ended := command(0)
	logged(t, ended, waiting)
	ended.Process.Signal(syscall.SIGTERM)
	if err := ended.Wait(); err != nil {
		t.Errorf("SIGTERM while waiting: %v", err)
	}
	first, second := command(0), command(1)
	lines := started(t, first)
	ops, said := "", false
	for !said && lines.Scan() {
		var line struct{ Msg, Listen string }
		json.Unmarshal(lines.Bytes(), &line)
		if line.Msg == "operators' address serving" {
			ops = line.Listen
		}
		said = strings.HasPrefix(line.Msg, waiting)
	}
	if ops == "" || ready(t, ops) {
		t.Fatalf("ready without a leader (operators' address %q)", ops)
	}
	logged(t, second, "serving")
	for !ready(t, ops) {
	}
	for _, cmd := range []*exec.Cmd{first, second} {
		cmd.Process.Kill()
		cmd.Wait()
	}
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
