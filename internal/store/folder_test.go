package store

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// putRecord writes a record and waits until it is committed.
func putRecord(t *testing.T, n *Node, key string, value []byte) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, err := n.Put(t.Context(), key, value)
		return err == nil
	}, 10*time.Second, 5*time.Millisecond, key)
}

// Guards against two processes that write one log during a hand-over, after which the store did not start again: the second continues on
// a copy, which the next start uses too, also after several hand-overs.
func TestFolderDuringHandOvers(t *testing.T) {
	dir := t.TempDir()
	running := openDurable(t, dir)
	putRecord(t, running, "0", []byte("first"))
	const handOvers = 3
	for i := 1; i <= handOvers; i++ {
		next := openDurable(t, dir)
		waitForRecord(t, next, fmt.Sprint(i-1), []byte("first"))
		putRecord(t, next, fmt.Sprint(i), []byte("first"))
		putRecord(t, running, "late", []byte("written by the process that ends"))
		require.NoError(t, running.Close())
		putRecord(t, next, "after", fmt.Append(nil, i))
		running = next
	}
	require.NoError(t, running.Close())
	contents, err := Inspect(dir)
	require.NoError(t, err)
	require.Len(t, contents.Records, handOvers+2)
	again := openDurable(t, dir)
	waitForRecord(t, again, "after", fmt.Append(nil, handOvers))
	require.NoError(t, again.Close())
	generations, err := filepath.Glob(filepath.Join(dir, generationPrefix+"*"))
	require.NoError(t, err)
	require.Equal(t, []string{filepath.Join(dir, generationPrefix+fmt.Sprint(handOvers+1))}, generations, "files that nothing uses")
}

// openBeside opens a member's files as a process does that is to take them over from another.
func openBeside(t *testing.T, dir string) *Node {
	t.Helper()
	n, err := Open(Options{Node: "a", Dir: dir, Log: discardLogger(), DeferTakeOver: true})
	require.NoError(t, err)
	return n
}

// Guards against records lost with a hand-over that is given up: the second process ends before it has taken over, and what the first
// writes from then on is there at the next start. Processes start beside each other, write, take over and end in any order.
func TestRecordsOutliveHandOversThatAreGivenUp(t *testing.T) {
	const seeds = 8
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		dir := t.TempDir()
		owner := openBeside(t, dir)
		require.NoError(t, owner.TakeOver())
		var second *Node
		written := map[string]string{} // by the owner, or by the second process while it is the owner
		write := func(n *Node, key string) {
			putRecord(t, n, key, []byte("v"))
			if n == owner {
				written[key] = "v"
			}
		}
		for step := range 2 + random.IntN(5) {
			key := fmt.Sprint("record-", step)
			actions := []string{"write", "start", "restart"}
			if second != nil {
				actions = []string{"write", "write second", "give up", "take over"}
			}
			action := actions[random.IntN(len(actions))]
			t.Logf("seed %d: %s", seed, action)
			switch action {
			case "write":
				write(owner, key)
			case "write second":
				write(second, key)
			case "start":
				second = openBeside(t, dir)
			case "give up":
				require.NoError(t, second.Close())
				second = nil
			case "take over":
				for key := range written {
					if _, copied := second.Get(key); !copied { // written after the copy was made
						delete(written, key)
					}
				}
				require.NoError(t, second.TakeOver())
				require.NoError(t, owner.Close())
				owner, second = second, nil
			case "restart":
				require.NoError(t, owner.Close())
				owner = openBeside(t, dir)
				require.NoError(t, owner.TakeOver())
			}
		}
		if second != nil {
			require.NoError(t, second.Close())
		}
		require.NoError(t, owner.Close())
		again := openBeside(t, dir)
		for key, value := range written {
			waitForRecord(t, again, key, []byte(value))
		}
		require.NoError(t, again.Close())
	}
}

// Guards against a process that writes over the copy of another one: two start beside a third, and neither has taken over.
func TestTwoProcessesBesideAThirdHaveTheirOwnCopies(t *testing.T) {
	dir := t.TempDir()
	first := openBeside(t, dir)
	require.NoError(t, first.TakeOver())
	putRecord(t, first, "k", []byte("v"))
	second, third := openBeside(t, dir), openBeside(t, dir)
	require.NotEqual(t, second.folder.dir, third.folder.dir)
	putRecord(t, second, "second", []byte("v"))
	putRecord(t, third, "third", []byte("v"))
	require.NoError(t, third.TakeOver())
	for _, n := range []*Node{first, second, third} {
		require.NoError(t, n.Close())
	}
	again := openBeside(t, dir)
	defer again.Close()
	waitForRecord(t, again, "third", []byte("v"))
	_, found := again.Get("second")
	require.False(t, found)
}

// Guards against a copy that is not whole, because the first process writes and begins new files of its log meanwhile.
func TestFolderIsCopiedWhileItIsWritten(t *testing.T) {
	dir := t.TempDir()
	first := openDurable(t, dir)
	defer first.Close()
	putRecord(t, first, "before", []byte("v"))
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for value := make([]byte, 128<<10); ; {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				first.Put(t.Context(), "large", value)
			}
		}
	}()
	for i := range 5 {
		next := openDurable(t, dir)
		waitForRecord(t, next, "before", []byte("v"))
		putRecord(t, next, "after", fmt.Append(nil, i))
		require.NoError(t, next.Close())
		require.NoError(t, replaceLink(dir, currentName, firstGeneration)) // the next one starts beside the first again
	}
	close(stop)
	<-stopped
}

// Guards against a start that uses a copy which was not finished, after a crash during a hand-over.
func TestUnfinishedCopyIsNotUsed(t *testing.T) {
	dir := t.TempDir()
	n := openDurable(t, dir)
	putRecord(t, n, "k", []byte("v"))
	unfinished := filepath.Join(dir, generationPrefix+"2")
	require.NoError(t, os.MkdirAll(logDir(unfinished), 0o700))
	require.NoError(t, n.Close())
	again := openDurable(t, dir)
	defer again.Close()
	waitForRecord(t, again, "k", []byte("v"))
	require.NoDirExists(t, unfinished)
}

// Guards against the loss of the files of an earlier version, which kept them in the folder itself, also after a crash while they are moved.
func TestFilesOfAnEarlierVersionAreKept(t *testing.T) {
	for _, snapshotsOnly := range []bool{false, true} {
		dir := t.TempDir()
		n := openDurable(t, dir)
		putRecord(t, n, "k", []byte("v"))
		require.NoError(t, n.Close())
		for _, part := range []string{currentName, logName, snapshotsName} {
			require.NoError(t, os.Remove(filepath.Join(dir, part)))
		}
		first := filepath.Join(dir, firstGeneration)
		require.NoError(t, os.Rename(filepath.Join(first, snapshotsName), filepath.Join(dir, snapshotsName)))
		if !snapshotsOnly {
			require.NoError(t, os.Rename(filepath.Join(first, logName), filepath.Join(dir, logName)))
			require.NoError(t, os.RemoveAll(first))
		}
		again := openDurable(t, dir)
		waitForRecord(t, again, "k", []byte("v"))
		require.NoError(t, again.Close())
	}
}
