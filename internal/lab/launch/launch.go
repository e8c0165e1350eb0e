// Package launch starts the processes of the laboratories so that none outlives the laboratory, even if it is killed.
package launch

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// thread returns a channel of functions that run on one thread, which lives as long as this program. Processes are started
// there because the kernel sends PDEATHSIG when the thread that started a process ends, not when its whole parent does.
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

// Start starts cmd as a process that the kernel kills when this program ends. The process has its own process group, so
// that an interrupt at a terminal reaches only the laboratory, which ends its processes itself. Start overwrites
// cmd.SysProcAttr.
func Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	thread() <- func() { started <- cmd.Start() }
	return <-started
}
