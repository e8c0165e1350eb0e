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
	Name    string
	cmd     *exec.Cmd
	done    chan struct{}
	logFile *os.File
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
func Start(options Options) (*Process, error) {
	logFile, err := os.OpenFile(options.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(options.Path, options.Args...)
	cmd.Dir, cmd.Env, cmd.Stderr = options.Dir, append(os.Environ(), options.Env...), logFile
	cmd.Stdin, cmd.Stdout = options.Stdin, options.Stdout
	if err := launch.Start(cmd); err != nil {
		logFile.Close()
		return nil, fmt.Errorf("%s: %w", options.Name, err)
	}
	p := &Process{Name: options.Name, cmd: cmd, done: make(chan struct{}), logFile: logFile}
	go func() {
		cmd.Wait()
		logFile.Close()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitState returns the exit state of a process that has exited.
func (p *Process) ExitState() *os.ProcessState { return p.cmd.ProcessState }

// Signal sends a signal to the process. It returns os.ErrProcessDone if the process has exited.
func (p *Process) Signal(s syscall.Signal) error {
	if p.Exited() {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(s)
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM, and SIGKILL if the process does not exit within the given time. It reports whether SIGTERM was enough.
// A suspended process is resumed first.
func (p *Process) Stop(timeout time.Duration) bool {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
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

// ReadUsage reads the usage of a process from /proc. Descriptors, Read and Written stay 0 where they cannot be read.
func ReadUsage(pid int) (usage Usage, err error) {
	dir := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return usage, err
	}
	// The second field is the command in parentheses and may hold spaces; the third follows the last of them.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const user, system, threads, resident = 11, 12, 17, 21
	if len(fields) <= resident {
		return usage, errors.New(dir + "/stat: too short")
	}
	number := func(i int) int64 {
		n, e := strconv.ParseInt(fields[i], 10, 64)
		err = errors.Join(err, e)
		return n
	}
	usage.CPU = time.Duration(number(user)+number(system)) * clockTick
	usage.Threads = int(number(threads))
	usage.Resident = number(resident) * int64(os.Getpagesize())
	if entries, e := os.ReadDir(dir + "/fd"); e == nil {
		usage.Descriptors = len(entries)
	}
	if text, e := os.ReadFile(dir + "/io"); e == nil {
		fmt.Sscanf(string(text), "rchar: %d\nwchar: %d", &usage.Read, &usage.Written)
	}
	return usage, err
}

// MachineCPUTime returns the processor time that all processes of the machine have used since it started.
func MachineCPUTime() (busy time.Duration, err error) {
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
