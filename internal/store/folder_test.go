package store

import (
	"fmt"
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
