package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/porttest"
	"beammux/internal/store"
)

// startMembers starts the first members of a group in this process. The others are configured but never start.
func startMembers(t *testing.T, running, all int, dir string) (addr string, first *store.Node) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var peers []store.Peer
	for i, address := range porttest.ReserveAll(t, all) {
		peers = append(peers, store.Peer{Node: fmt.Sprint("n", i), Address: address})
	}
	for i, peer := range peers[:running] {
		l, err := net.Listen("tcp", peer.Address)
		if err != nil {
			t.Fatal(err)
		}
		n, err := store.Open(store.Options{Node: peer.Node, Listener: l, Peers: peers, Dir: dir, Log: log})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { n.Close() })
		if i == 0 {
			first = n
		}
	}
	return peers[0].Address, first
}

func TestStoreCommands(t *testing.T) {
	dir := t.TempDir()
	addr, n := startMembers(t, 1, 1, dir)
	value := filepath.Join(t.TempDir(), "value")
	if err := os.WriteFile(value, []byte("hello"), 0o600); err != nil {
		t.Fatal(err)
	}
	at := []string{"--store", addr}
	call := func(want int, args ...string) string {
		t.Helper()
		out, errs, code := run(t, append(append([]string{"store"}, args...), at...)...)
		if code != want || want != 0 && errs == "" {
			t.Fatalf("%v: exit %d, want %d: %s%s", args, code, want, out, errs)
		}
		return out + errs
	}
	watch := newProgram("store", "watch", "a/", "--store", addr, "--json")
	changes, err := watch.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := watch.Start(); err != nil {
		t.Fatal(err)
	}
	defer watch.Process.Kill()
	line := make(chan string)
	go func() {
		for s := bufio.NewScanner(changes); s.Scan(); {
			line <- s.Text()
		}
	}()
	var first string
	for first == "" { // until the watcher has attached
		call(0, "put", "a/1", value)
		select {
		case first = <-line:
		case <-time.After(100 * time.Millisecond):
		}
	}
	var seen store.Record
	if err := json.Unmarshal([]byte(first), &seen); err != nil || seen.Key != "a/1" || string(seen.Value) != "hello" {
		t.Errorf("%s, %v", first, err)
	}
	if got := call(0, "get", "a/1"); got != "hello" {
		t.Error(got)
	}
	call(exitNotFound, "get", "a/2")
	call(exitRevision, "put", "a/1", value, "--at", "0")
	r, _ := n.Get("a/1")
	call(0, "put", "a/1", value, "--at", fmt.Sprint(r.Revision))
	call(0, "put", "b", value, "--at", "0", "--json")
	if got := call(0, "list", "a/"); !strings.HasPrefix(got, "a/1  revision ") || strings.Contains(got, "\nb") {
		t.Error(got)
	}
	if got := call(0, "status"); !strings.Contains(got, "n0, leader") || !strings.Contains(got, "voter") {
		t.Error(got)
	}
	var s store.Status
	if err := json.Unmarshal([]byte(call(0, "status", "--json")), &s); err != nil || s.Records != 2 || len(s.Members) != 1 {
		t.Errorf("%+v, %v", s, err)
	}
	watch.Process.Signal(syscall.SIGTERM)
	go func() {
		for range line {
		}
	}()
	if err := watch.Wait(); err != nil {
		t.Errorf("watch ended with %v", err)
	}
	if err := n.Compact(); err != nil {
		t.Fatal(err)
	}
	n.Close()
	out, _, code := run(t, "store", "verify", dir)
	if code != 0 || !strings.Contains(out, "whole: 2 records") || !strings.Contains(out, "snapshots: 1") {
		t.Errorf("exit %d, %s", code, out)
	}
	if out, _, code = run(t, "store", "dump", dir, "--json"); code != 0 || !strings.Contains(out, `"key": "a/1"`) || !strings.Contains(out, "aGVsbG8=") {
		t.Errorf("exit %d, %s", code, out)
	}
	states, _ := filepath.Glob(filepath.Join(dir, "snapshots", "*", "state.bin"))
	if err := os.WriteFile(states[0], []byte(`{"version":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, errs, code := run(t, "store", "verify", dir); code != 1 || !strings.Contains(errs, "snapshots") || strings.Count(errs, "\n") != 1 {
		t.Errorf("exit %d, %s", code, errs)
	}
	if _, errs, code := run(t, "store", "verify", t.TempDir()); code != 1 || !strings.Contains(errs, "no store") {
		t.Errorf("exit %d, %s", code, errs)
	}
}

// Without a leader, or with no listener at the address, commands end in time with one line and a specific exit code. A member
// without a leader answers reads and writes with "not ready", never with "no such record".
func TestStoreWithoutLeader(t *testing.T) {
	addr, _ := startMembers(t, 1, 2, "")
	unusedAddr := porttest.Reserve(t)
	for _, row := range []struct {
		addr, want string
		code       int
		args       []string
	}{
		{addr, "not ready: no leader yet", exitNotReady, []string{"put", "k", "README.md"}},
		{addr, "not ready: no leader yet", exitNotReady, []string{"get", "k"}},
		{addr, "not ready: no leader yet", exitNotReady, []string{"list"}},
		{addr, "no leader", exitNoAnswer, []string{"status"}},
		{unusedAddr, "connection refused", exitNoAnswer, []string{"get", "k"}}, {unusedAddr, "connection refused", exitNoAnswer, []string{"watch"}},
	} {
		args := append(append([]string{"store"}, row.args...), "--store", row.addr)
		if row.code == exitNotReady {
			args = append(args, "--timeout", "600ms")
		}
		_, errs, code := run(t, args...)
		if code != row.code || !strings.Contains(errs, row.want) || strings.Count(errs, "\n") != 1 {
			t.Errorf("%v: exit %d, %s", row.args, code, errs)
		}
	}
}

// The member commands add, promote and remove members. A learner that does not answer is not promoted, and the last voter can't
// be removed.
func TestMemberCommands(t *testing.T) {
	addr, _ := startMembers(t, 3, 3, "")
	call := func(want int, args ...string) string {
		t.Helper()
		out, errs, code := run(t, append(append([]string{"store", "member"}, args...), "--store", addr)...)
		if code != want {
			t.Fatalf("%v: exit %d, want %d: %s%s", args, code, want, out, errs)
		}
		return out + errs
	}
	got := ""
	for limit := time.Now().Add(20 * time.Second); strings.Count(got, "leads") != 1 && time.Now().Before(limit); {
		got = call(0, "list") // until there is a leader
	}
	if strings.Count(got, "voter") != 3 || strings.Count(got, "leads") != 1 {
		t.Error(got)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if got := call(0, "add", "n9", l.Addr().String()); !strings.Contains(got, "joined as a learner") {
		t.Error(got)
	}
	if got := call(1, "promote", "n9"); !strings.Contains(got, "does not answer") {
		t.Error(got)
	}
	if got := call(1, "add", "n8", l.Addr().String()); !strings.Contains(got, "is the address of n9 already") {
		t.Error(got)
	}
	if got := call(0, "remove", "n9", "--json"); !strings.Contains(got, `"done": "remove"`) {
		t.Error(got)
	}
	l.Close()
	if got := call(0, "remove", "n9"); !strings.Contains(got, "nothing to change") {
		t.Error(got)
	}
	call(0, "remove", "n2")
	call(0, "remove", "n1")
	if got := call(1, "remove", "n0", "--force"); !strings.Contains(got, "last voter") {
		t.Error(got)
	}
}

// A backup of one group is restored into another. Existing records stay unless they are to be overwritten, and a damaged backup
// is refused before anything is written.
func TestBackupAndRestore(t *testing.T) {
	from, a := startMembers(t, 1, 1, "")
	to, b := startMembers(t, 1, 1, "")
	for i := range 20 {
		if _, err := a.Put(t.Context(), fmt.Sprint("k", i), fmt.Append(nil, i)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := b.Put(t.Context(), "k3", []byte("own")); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "backup")
	if out, errs, code := run(t, "store", "backup", file, "--store", from); code != 0 || !strings.Contains(out, "20 records") {
		t.Fatalf("exit %d, %s%s", code, out, errs)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	bad := file + ".bad"
	for _, cut := range []int{0, 10, len(text) / 2, len(text) - 1} {
		os.WriteFile(bad, text[:cut], 0o600)
		if _, errs, code := run(t, "store", "restore", bad, "--store", to); code != 1 || !strings.Contains(errs, bad) || strings.Count(errs, "\n") != 1 {
			t.Errorf("cut at %d: exit %d, %s", cut, code, errs)
		}
	}
	if len(b.List("")) != 1 {
		t.Error("a damaged backup was written")
	}
	before, _ := b.Get("k3")
	out, errs, code := run(t, "store", "restore", file, "--store", to)
	if code != 0 || !strings.Contains(out, "19 records written, 1 left unchanged; revisions continue from ") {
		t.Errorf("exit %d, %s%s", code, out, errs)
	}
	raised, _ := b.Get("k3")
	if raised.Revision <= before.Revision+store.RestoreMargin || !strings.Contains(out, fmt.Sprintf("from %d\n", raised.Revision)) {
		t.Errorf("revision %d after %d: %s", raised.Revision, before.Revision, out)
	}
	if r, _ := b.Get("k3"); string(r.Value) != "own" {
		t.Errorf("%s", r.Value)
	}
	if _, errs, code := run(t, "store", "restore", file, "--store", to, "--over", "--keep-revisions"); code != 0 {
		t.Errorf("exit %d, %s", code, errs)
	}
	if r, _ := b.Get("k3"); r.Revision > raised.Revision+10 {
		t.Errorf("revision %d was raised despite --keep-revisions", r.Revision)
	}
	if out, errs, code := run(t, "store", "raise", fmt.Sprint(3*raised.Revision), "--store", to); code != 0 || out != fmt.Sprintf("the group is at revision %d\n", 3*raised.Revision+1) {
		t.Errorf("exit %d, %s%s", code, out, errs)
	}
	if out, errs, code := run(t, "store", "status", "--store", to); code != 0 || !strings.Contains(strings.Join(strings.Fields(out), " "), fmt.Sprintf(" revision %d ", 3*raised.Revision+1)) {
		t.Errorf("exit %d, %s%s", code, out, errs)
	}
	if _, errs, code := run(t, "store", "raise", fmt.Sprint(uint64(store.MaxRaise)+1), "--store", to); code == 0 || !strings.Contains(errs, "at most") || strings.Count(errs, "\n") != 1 {
		t.Errorf("exit %d, %s", code, errs)
	}
	for i := range 20 {
		if r, _ := b.Get(fmt.Sprint("k", i)); string(r.Value) != fmt.Sprint(i) {
			t.Errorf("k%d is %s", i, r.Value)
		}
	}
}
