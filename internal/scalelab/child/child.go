// Package child starts and stops the processes of the scale laboratory and reads their resource usage from /proc. No process
// outlives the laboratory, even if the laboratory is killed.
package child

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"beammux/internal/lab/launch"
)

// Process is one process that this package started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	gone chan struct{}
	log  *os.File
}

// Options are the parameters of Start.
type Options struct {
	Name    string
	Path    string
	Args    []string
	Env     []string // added to the environment of this process
	Dir     string
	LogFile string    // standard error is appended to it
	Stdin   io.Reader // nil: none
	Stdout  io.Writer // nil: none
}

// Start starts a process in its own process group, so that an interrupt from the terminal only reaches the laboratory, which
// stops its processes itself.
func Start(o Options) (*Process, error) {
	log, err := os.OpenFile(o.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(o.Path, o.Args...)
	cmd.Dir, cmd.Env, cmd.Stderr = o.Dir, append(os.Environ(), o.Env...), log
	cmd.Stdin, cmd.Stdout = o.Stdin, o.Stdout
	if err := launch.Start(cmd); err != nil {
		log.Close()
		return nil, fmt.Errorf("%s: %w", o.Name, err)
	}
	p := &Process{Name: o.Name, cmd: cmd, gone: make(chan struct{}), log: log}
	go func() {
		cmd.Wait()
		log.Close()
		close(p.gone)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Gone returns a channel that is closed when the process has exited.
func (p *Process) Gone() <-chan struct{} { return p.gone }

// Over reports whether the process has exited.
func (p *Process) Over() bool {
	select {
	case <-p.gone:
		return true
	default:
		return false
	}
}

// State returns the exit state of a process that has exited.
func (p *Process) State() *os.ProcessState { return p.cmd.ProcessState }

// Signal sends a signal to the process. It returns os.ErrProcessDone if the process has exited.
func (p *Process) Signal(s syscall.Signal) error {
	if p.Over() {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(s)
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.gone
}

// End sends SIGTERM, and SIGKILL if the process does not exit within the given time. It reports whether SIGTERM was enough.
// A suspended process is resumed first.
func (p *Process) End(within time.Duration) bool {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.gone:
		return true
	case <-time.After(within):
	}
	p.Kill()
	return false
}

// Usage is the resource usage of a process as the kernel reports it.
type Usage struct {
	CPU         time.Duration // user and system time so far
	Resident    int64         // bytes
	Descriptors int
	Threads     int
	Read        int64 // bytes returned by read calls on sockets and files
	Written     int64 // bytes passed to write calls on sockets and files
}

// clockTick is the unit of times in /proc/PID/stat: USER_HZ, 100 on every Linux that Go runs on.
const clockTick = time.Second / 100

// UsageOf reads the usage of a process from /proc. Descriptors, Read and Written stay 0 where they cannot be read.
func UsageOf(pid int) (u Usage, err error) {
	dir := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, err
	}
	// The second field is the command in parentheses and may hold spaces; the third follows the last of them.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const user, system, threads, resident = 11, 12, 17, 21
	if len(fields) <= resident {
		return u, errors.New(dir + "/stat: too short")
	}
	number := func(i int) int64 {
		n, e := strconv.ParseInt(fields[i], 10, 64)
		err = errors.Join(err, e)
		return n
	}
	u.CPU = time.Duration(number(user)+number(system)) * clockTick
	u.Threads = int(number(threads))
	u.Resident = number(resident) * int64(os.Getpagesize())
	if entries, e := os.ReadDir(dir + "/fd"); e == nil {
		u.Descriptors = len(entries)
	}
	if text, e := os.ReadFile(dir + "/io"); e == nil {
		fmt.Sscanf(string(text), "rchar: %d\nwchar: %d", &u.Read, &u.Written)
	}
	return u, err
}

// MachineBusy returns the processor time that all processes of the machine have used since it started.
func MachineBusy() (busy time.Duration, err error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	const idle, wait = 3, 4
	for i, field := range strings.Fields(line)[1:] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		if i != idle && i != wait && i < 8 { // later fields are guest time, which user time includes
			busy += time.Duration(n) * clockTick
		}
	}
	return busy, nil
}

// MachineMemory returns the memory of the machine in bytes.
func MachineMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	var kib int64
	_, err = fmt.Sscanf(string(text), "MemTotal: %d kB", &kib)
	return kib << 10, err
}

// Descriptors returns the limit of open file descriptors of this process and of each process that it starts.
func Descriptors() (int, error) {
	var limit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	return int(limit.Cur), err
}
