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

// What is measured as a wait for a processor is one: threads that outnumber the processors wait most of their time, a process
// that sleeps does not, and neither does one that does not run any more.
func TestWaitsForAProcessorAreMeasured(t *testing.T) {
	if _, err := os.Stat("/proc/self/schedstat"); err != nil {
		t.Skip("this kernel keeps no account of waits: no play counts as disturbed here")
	}
	sleeper := exec.Command("sleep", "60")
	require.NoError(t, sleeper.Start())
	account := runQueue{}
	require.Eventually(t, func() bool { // once it sleeps
		account.sample(sleeper.Process.Pid)
		time.Sleep(100 * time.Millisecond)
		waited, _ := account.sample(sleeper.Process.Pid)
		return waited == 0
	}, 10*time.Second, time.Millisecond, "it can't run and is said to wait")
	require.NoError(t, sleeper.Process.Kill())
	sleeper.Wait()
	waited, longest := account.sample(sleeper.Process.Pid)
	require.Zero(t, waited)
	require.Zero(t, longest)

	const each, lasts = 4, 400 * time.Millisecond // busy threads for each processor
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
	time.Sleep(lasts / 4) // all threads are there
	account.sample(os.Getpid())
	busy.Wait()
	waited, longest = account.sample(os.Getpid())
	// Of the last three quarters, each of four threads on a processor waits three quarters; half of that is asked for.
	require.Greater(t, waited, lasts*3/4*(each-1)/2*time.Duration(runtime.NumCPU())/2)
	require.Greater(t, longest, lasts/8)
}

// Ten threads that waited beside each other for 40 ms of 50 held the process up for no longer than it can have stood still.
func TestConcurrentWaitsAreBounded(t *testing.T) {
	const ms = time.Millisecond
	require.Equal(t, 90*ms, boundedWait(400*ms, 40*ms, 50*ms))
	require.Equal(t, 30*ms, boundedWait(30*ms, 20*ms, 50*ms), "one after the other")
	require.Equal(t, 200*ms, boundedWait(200*ms, 200*ms, 50*ms), "one that began long before")
}
