package launch

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A process started by Start outlives the goroutine and the thread that called Start, has its own process group, and is
// killed when the program that started it is killed.
func TestStart(t *testing.T) {
	if os.Getenv("LAUNCH_PARENT") != "" {
		child := exec.Command("sleep", "60")
		child.Stdout = os.Stdout // held open for as long as the child runs
		require.NoError(t, Start(child))
		group, err := syscall.Getpgid(child.Process.Pid)
		require.NoError(t, err)
		require.Equal(t, child.Process.Pid, group)
		os.Stdout.WriteString("started")
		time.Sleep(time.Minute)
		return
	}
	parent := exec.Command(os.Args[0], "-test.run=^TestStart$")
	parent.Env = append(os.Environ(), "LAUNCH_PARENT=1")
	out, err := parent.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, parent.Start())
	buf := make([]byte, len("started"))
	_, err = out.Read(buf)
	require.NoError(t, err)
	require.Equal(t, "started", string(buf))
	ended := make(chan error, 1)
	go func() {
		_, err := out.Read(buf) // the pipe is closed once both processes have ended
		ended <- err
	}()
	select {
	case <-ended:
		t.Fatal("a process ended before the parent was killed")
	case <-time.After(200 * time.Millisecond):
	}
	require.NoError(t, parent.Process.Kill())
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Error("the child is still running after its parent was killed")
	}
	parent.Wait()
}
