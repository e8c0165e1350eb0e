// Package child starts the processes of the scale laboratory, ends them by their number, and reads what the kernel says of
// them. None outlives the laboratory, also where that is killed.
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

// Options say how a process is started.
type Options struct {
	Name    string
	Path    string
	Args    []string
	Env     []string // added to this program's own
	Dir     string
	LogFile string    // its standard error, appended
	Stdin   io.Reader // nil: none
	Stdout  io.Writer // nil: none
}

// Start starts a process in a group of its own: an interrupt at a terminal is for the laboratory, which ends its processes
// itself.
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

// PID is the number of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Gone is closed when the process has ended.
func (p *Process) Gone() <-chan struct{} { return p.gone }

// Over tells whether the process has ended.
func (p *Process) Over() bool {
	select {
	case <-p.gone:
		return true
	default:
		return false
	}
}

// State is how it ended; call it once it is Over.
func (p *Process) State() *os.ProcessState { return p.cmd.ProcessState }

// Signal sends a signal to a process that still runs.
func (p *Process) Signal(s syscall.Signal) error {
	if p.Over() {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(s)
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.gone
}

// End ends the process: SIGTERM, and SIGKILL where that was not enough in time. It tells whether SIGTERM was enough.
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

// Usage is what the kernel says of a process.
type Usage struct {
	CPU         time.Duration // user and system time so far
	Resident    int64         // bytes
	Descriptors int
	Threads     int
	Read        int64 // bytes that its read calls returned: sockets and files
	Written     int64 // and its write calls took
}

// clockTick is the unit of times in /proc/PID/stat: USER_HZ, 100 on every Linux that Go runs on.
const clockTick = time.Second / 100

// UsageOf reads /proc for a process.
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

// MachineBusy is the processor time that all processes of the machine have used so far, and the memory that it has.
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
		if i != idle && i != wait && i < 8 { // guest time is in user time already
			busy += time.Duration(n) * clockTick
		}
	}
	return busy, nil
}

// MachineMemory is the memory of the machine in bytes.
func MachineMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	var kib int64
	_, err = fmt.Sscanf(string(text), "MemTotal: %d kB", &kib)
	return kib << 10, err
}

// Descriptors is how many this process, and each that it starts, may have open.
func Descriptors() (int, error) {
	var limit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	return int(limit.Cur), err
}
