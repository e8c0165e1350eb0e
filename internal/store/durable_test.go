package store

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"beammux/internal/porttest"
	"beammux/internal/store/journal"
)

// openDurable opens a group of one node with its files in dir.
func openDurable(t testing.TB, dir string) *Node {
	t.Helper()
	n, err := Open(Options{Node: "a", Dir: dir, Log: discardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// waitForRecord waits until a member holds a record, because a member that has just started is still replaying its log.
func waitForRecord(t testing.TB, n *Node, key string, value []byte) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if r, ok := n.Get(key); ok && bytes.Equal(r.Value, value) {
			return
		}
		if time.Now().After(limit) {
			r, ok := n.Get(key)
			t.Fatalf("%s is %+v, %t", key, r, ok)
		}
	}
}

// All records and their revisions survive a restart of all members at once, in any order.
func TestRecordsSurviveAllMembersDown(t *testing.T) {
	root := t.TempDir()
	var peers []Peer
	var listeners []net.Listener
	for i := range 3 {
		l := porttest.Listen(t)
		listeners = append(listeners, l)
		peers = append(peers, Peer{Node: fmt.Sprint("n", i), Address: l.Addr().String()})
	}
	start := func(i int) *Node {
		n, err := Open(Options{Node: peers[i].Node, Listener: listeners[i], Peers: peers, Dir: filepath.Join(root, peers[i].Node), Log: discardLogger()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { n.Close() })
		return n
	}
	nodes := []*Node{start(0), start(1), start(2)}
	ctx := testContext(t)
	revisions := map[string]uint64{}
	for i := range 60 {
		key := fmt.Sprintf("dialog/%02d", i)
		rev, err := nodes[i%3].Put(ctx, key, []byte(key))
		if err != nil {
			t.Fatal(err)
		}
		revisions[key] = rev
		if i == 30 {
			for _, n := range nodes { // so that some records come from a snapshot and some from the log
				if err := n.Compact(); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	for _, n := range nodes {
		n.Close()
	}
	for i, p := range peers {
		l, err := net.Listen("tcp", p.Address)
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = l
	}
	nodes = []*Node{start(2), start(0), start(1)}
	for _, n := range nodes {
		for key, rev := range revisions {
			waitForRecord(t, n, key, []byte(key))
			if r, _ := n.Get(key); r.Revision != rev {
				t.Errorf("%s has revision %d, want %d", key, r.Revision, rev)
			}
		}
	}
	if rev, err := nodes[0].Put(ctx, "after", nil); err != nil || rev <= revisions["dialog/59"] {
		t.Errorf("revision %d, %v", rev, err)
	}
}

// Compaction limits the size on disk and loses no record.
func TestCompaction(t *testing.T) {
	dir := t.TempDir()
	n := openDurable(t, dir)
	big := bytes.Repeat([]byte("x"), 4096)
	size := func() (total int64) {
		filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
			if info, e := d.Info(); e == nil && !d.IsDir() {
				total += info.Size()
			}
			return err
		})
		return total
	}
	for i := range 5000 {
		if _, err := n.Put(testContext(t), fmt.Sprint("k", i%10), big); err != nil {
			t.Fatal(err)
		}
		if i == 2500 {
			if err := n.Compact(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := n.Compact(); err != nil {
		t.Fatal(err)
	}
	if _, err := n.Put(testContext(t), "last", []byte("1")); err != nil {
		t.Fatal(err)
	}
	n.Close()
	// 20 MB were written; 1,024 entries are kept, and only whole segments are removed.
	if got := size(); got > 15<<20 {
		t.Errorf("%d MB on disk", got>>20)
	}
	n = openDurable(t, dir)
	defer n.Close()
	waitForRecord(t, n, "last", []byte("1"))
	if r := n.List("k"); len(r) != 10 {
		t.Errorf("%d records", len(r))
	}
}

// All writes that a process acknowledged before it was killed (SIGKILL) are there when the next process opens the files.
func TestKilledWriter(t *testing.T) {
	if dir := os.Getenv("BEAMMUX_TEST_STORE"); dir != "" {
		n := openDurable(t, dir)
		for i := 0; ; i++ {
			if _, err := n.Put(t.Context(), fmt.Sprint(os.Getenv("BEAMMUX_TEST_START"), "/", i), []byte("v")); err != nil {
				fmt.Println("fault", err)
				os.Exit(1)
			}
			fmt.Println("acknowledged", i)
		}
	}
	dir := t.TempDir()
	last := map[int]int{}
	for start := range 4 {
		cmd := exec.Command(os.Args[0], "-test.run=^TestKilledWriter$")
		cmd.Env = append(os.Environ(), "BEAMMUX_TEST_STORE="+dir, fmt.Sprint("BEAMMUX_TEST_START=", start))
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		for lines := bufio.NewScanner(out); lines.Scan(); {
			var i int
			if _, err := fmt.Sscanf(lines.Text(), "acknowledged %d", &i); err == nil {
				last[start] = i
				if i >= 50+start*37 {
					cmd.Process.Kill()
				}
			} else if strings.HasPrefix(lines.Text(), "fault") {
				t.Error(lines.Text())
			}
		}
		cmd.Wait()
	}
	n := openDurable(t, dir)
	defer n.Close()
	for start, i := range last {
		for k := 0; k <= i; k++ {
			waitForRecord(t, n, fmt.Sprint(start, "/", k), []byte("v"))
		}
	}
	if len(last) != 4 {
		t.Errorf("%v", last)
	}
}

// The store does not open a damaged log; the error is one line with the file and the offset.
func TestDamagedLogIsRefused(t *testing.T) {
	dir := t.TempDir()
	n := openDurable(t, dir)
	for i := range 20 {
		if _, err := n.Put(testContext(t), fmt.Sprint(i), []byte("value")); err != nil {
			t.Fatal(err)
		}
	}
	n.Close()
	file := filepath.Join(dir, "log", "0000000000000001.journal")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	text[len(text)/2] ^= 1
	os.WriteFile(file, text, 0o600)
	if file, err = filepath.EvalSymlinks(file); err != nil {
		t.Fatal(err)
	}
	_, err = Open(Options{Node: "a", Dir: dir, Log: discardLogger()})
	var damage *journal.DamageError
	if !errors.As(err, &damage) || damage.File != file || damage.Offset == 0 || strings.Contains(err.Error(), "\n") {
		t.Errorf("%v", err)
	}
	if _, err := Open(Options{Node: "a", Dir: t.TempDir(), Sync: "often", Log: discardLogger()}); err == nil {
		t.Error("an unknown value of Sync was accepted")
	}
}

// Snapshots of version 0, which have no version field, can be read; those of a later version are rejected.
func TestSnapshotVersions(t *testing.T) {
	m := newMachine()
	restore := func(text string) error { return m.Restore(io.NopCloser(strings.NewReader(text))) }
	if err := restore(`{"applied":7,"records":[{"key":"inventory","value":"eA==","revision":5}]}`); err != nil {
		t.Fatal(err)
	}
	if r, ok := m.get("inventory"); !ok || r.Revision != 5 || string(r.Value) != "x" || m.index != 7 || m.revision != 7 {
		t.Errorf("%+v, index %d, revision %d", r, m.index, m.revision)
	}
	if err := restore(`{"version":3,"applied":9}`); err == nil || !strings.Contains(err.Error(), "version 3") {
		t.Error(err)
	}
	if _, ok := m.get("inventory"); !ok {
		t.Error("a rejected snapshot changed the records")
	}
}
