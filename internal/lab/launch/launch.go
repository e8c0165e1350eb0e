// Package launch starts the processes of the laboratories such that none outlives the laboratory, even if that is killed.
package launch

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// thread starts processes from one thread that lives as long as this program does: the kernel kills a process with
// PDEATHSIG when the thread that started it ends, not when the whole parent does.
var thread = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// Start is cmd.Start for a process that the kernel kills when this program ends. The process is in a group of its own: an
// interrupt at a terminal is for the laboratory, which ends its processes itself. It replaces cmd.SysProcAttr.
func Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	thread() <- func() { started <- cmd.Start() }
	return <-started
}
