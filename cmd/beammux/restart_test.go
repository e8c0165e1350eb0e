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

// A gatekeeper with store.dir is killed by SIGKILL and restarted. A read immediately after `serving` returns the complete record
// or "not ready", never "no such record": a member must not answer from a state machine that has not yet replayed its log.
func TestReadImmediatelyAfterRestart(t *testing.T) {
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
		cmd := newProgram("serve", "--deploy", deployFile, "--log-format", "json")
		cmd.Env = append(cmd.Env, "PROXY_CONFIG="+configFile, "PROXY_ADMIN_ADDR=127.0.0.1:0")
		listen := startUntilLogged(t, cmd, until)
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
		// In the last round the read follows the first positive answer to /api/ready, which is polled from before the store opens.
		if round < 2 {
			p, _ = start("serving")
		} else {
			var admin string
			p, admin = start("operators' address serving")
			for !isReady(t, admin) {
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		got, err := store.GetFrom(ctx, addr, fmt.Sprint("k/", records-1))
		cancel()
		switch {
		case errors.Is(err, store.ErrNotFound):
			t.Fatalf("round %d: %v immediately after serving", round, err)
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

// If only the store can provide the server list, a gatekeeper is not ready until the store has a leader. One of two members
// whose peer is down logs that it waits, exits cleanly on SIGTERM, and serves once the peer is up.
func TestNotReadyWithoutMajority(t *testing.T) {
	dir := t.TempDir()
	var peers []map[string]string
	for _, node := range []string{"a", "b"} {
		peers = append(peers, map[string]string{"node": node, "address": porttest.Reserve(t)})
	}
	command := func(index int) *exec.Cmd {
		deploy, _ := json.Marshal(map[string]any{"store": map[string]any{"node": peers[index]["node"], "listen": peers[index]["address"], "peers": peers}})
		deployFile, configFile := filepath.Join(dir, fmt.Sprint("deploy", index)), filepath.Join(dir, fmt.Sprint("config", index))
		if err := os.WriteFile(deployFile, deploy, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(configFile, []byte(`{"listen":"127.0.0.1:0","settings":{"classes":[{"name":"menu-view","repeat":"read_like"}]}}`), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := newProgram("serve", "--deploy", deployFile, "--log-format", "json")
		cmd.Env = append(cmd.Env, "PROXY_CONFIG="+configFile, "PROXY_ADMIN_ADDR=127.0.0.1:0")
		return cmd
	}
	waiting := "store: not ready; the start waits"
	interrupted := command(0)
	startUntilLogged(t, interrupted, waiting)
	interrupted.Process.Signal(syscall.SIGTERM)
	if err := interrupted.Wait(); err != nil {
		t.Errorf("SIGTERM while waiting: %v", err)
	}
	first, second := command(0), command(1)
	lines := startProgram(t, first)
	admin, waitLogged := "", false
	for !waitLogged && lines.Scan() {
		var line struct{ Msg, Listen string }
		json.Unmarshal(lines.Bytes(), &line)
		if line.Msg == "operators' address serving" {
			admin = line.Listen
		}
		waitLogged = strings.HasPrefix(line.Msg, waiting)
	}
	if admin == "" || isReady(t, admin) {
		t.Fatalf("ready without a leader (operators' address %q)", admin)
	}
	startUntilLogged(t, second, "serving")
	for !isReady(t, admin) {
	}
	for _, cmd := range []*exec.Cmd{first, second} {
		cmd.Process.Kill()
		cmd.Wait()
	}
}

// `report` reads the directory that `incident play` writes, and prints which directory it reads.
func TestReportReadsIncidentDirectory(t *testing.T) {
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
