package fleetlab

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Only waits for a processor are measured: threads that outnumber the processors wait most of the time, a sleeping process
// does not, and neither does a process that has exited.
func TestWaitsForAProcessorAreMeasured(t *testing.T) {
	if _, err := os.Stat("/proc/self/schedstat"); err != nil {
		t.Skip("this kernel keeps no scheduler statistics: no run counts as disturbed here")
	}
	sleeper := exec.Command("sleep", "60")
	require.NoError(t, sleeper.Start())
	account := runQueue{}
	require.Eventually(t, func() bool { // until it sleeps
		account.sample(sleeper.Process.Pid)
		time.Sleep(100 * time.Millisecond)
		waited, _ := account.sample(sleeper.Process.Pid)
		return waited == 0
	}, 10*time.Second, time.Millisecond, "a sleeping process is reported as waiting for a processor")
	require.NoError(t, sleeper.Process.Kill())
	sleeper.Wait()
	waited, longest := account.sample(sleeper.Process.Pid)
	require.Zero(t, waited)
	require.Zero(t, longest)

	const each, lasts = 4, 400 * time.Millisecond // busy threads per processor
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(each * runtime.NumCPU()))
	account = runQueue{}
	account.sample(os.Getpid())
	var busy sync.WaitGroup
	end := time.Now().Add(lasts)
	for range each * runtime.NumCPU() {
		busy.Go(func() {
			for time.Now().Before(end) {
			}
		})
	}
	time.Sleep(lasts / 4) // all threads have started
	account.sample(os.Getpid())
	busy.Wait()
	waited, longest = account.sample(os.Getpid())
	// During the last three quarters, each of the four threads of a processor waits three quarters of the time; half of that is
	// required.
	require.Greater(t, waited, lasts*3/4*(each-1)/2*time.Duration(runtime.NumCPU())/2)
	require.Greater(t, longest, lasts/8)
}

// Ten threads that wait concurrently for 40 ms each within 50 ms delay the process by no more than 90 ms, not by 400 ms.
func TestConcurrentWaitsAreBounded(t *testing.T) {
	const ms = time.Millisecond
	require.Equal(t, 90*ms, boundedWait(400*ms, 40*ms, 50*ms))
	require.Equal(t, 30*ms, boundedWait(30*ms, 20*ms, 50*ms), "waits one after the other")
	require.Equal(t, 200*ms, boundedWait(200*ms, 200*ms, 50*ms), "a wait that began long before the last sample")
}
