package fleetlab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"beammux/internal/lab/launch"
)

// Program is the gatekeeper's executable, with additional environment variables for a test binary that acts as gatekeeper.
type Program struct {
	Path string
	Env  []string
}

// Build builds the gatekeeper from the module at root into dir. Only the first call in a process builds; later calls return
// its result.
func Build(root, dir string) (Program, error) {
	buildOnce.Do(func() {
		path := dir + "/beammux"
		cmd := exec.Command("go", "build", "-o", path, "./cmd/beammux")
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			buildErr = fmt.Errorf("go build: %v: %s", err, out)
		}
		built = Program{Path: path}
	})
	return built, buildErr
}

var (
	buildOnce sync.Once
	built     Program
	buildErr  error
)

// process is a started gatekeeper process.
type process struct {
	name      string
	cmd       *exec.Cmd
	adminAddr chan string   // receives the operators' address from the log
	exited    chan struct{} // closed when the process has exited and its log is complete
	state     *os.ProcessState
	err       error // first error of copying its log

	peakKiB atomic.Int64 // highest observed peak of resident memory

	mu            sync.Mutex
	stopRequested bool // the laboratory sent SIGTERM or SIGKILL
	paused        bool
}

// logLine holds the fields of a log line that the laboratory reads during the run.
type logLine struct{ Msg, Listen string }

// spawn starts a gatekeeper and copies its log to a file line by line. onLine is called for each JSON line; onExit is called
// after the process has exited, before the channel exited is closed.
func spawn(p Program, name, dir, logFile string, args, env []string, onLine func(logLine), onExit func(*process)) (*process, error) {
	f, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(p.Path, args...)
	cmd.Dir = dir
	cmd.Env = append(append(os.Environ(), p.Env...), env...)
	cmd.Stdout = nil
	stderr, err := cmd.StderrPipe()
	if err != nil {
		f.Close()
		return nil, err
	}
	if err := launch.Start(cmd); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	proc := &process{name: name, cmd: cmd, adminAddr: make(chan string, 1), exited: make(chan struct{})}
	go func() {
		defer close(proc.exited)
		out := bufio.NewWriter(f)
		in := bufio.NewReaderSize(stderr, 64<<10)
		for {
			text, err := in.ReadBytes('\n')
			if len(text) > 0 {
				if _, e := out.Write(text); e != nil && proc.err == nil {
					proc.err = e
				}
				var s logLine
				if json.Unmarshal(text, &s) == nil {
					if s.Msg == "operators' address serving" {
						select {
						case proc.adminAddr <- s.Listen:
						default:
						}
					}
					onLine(s)
				}
				out.Flush()
			}
			if err != nil {
				if err != io.EOF && proc.err == nil {
					proc.err = err
				}
				break
			}
		}
		cmd.Wait()
		proc.state = cmd.ProcessState
		f.Close()
		onExit(proc)
	}()
	return proc, nil
}

// pid returns the process id.
func (p *process) pid() int { return p.cmd.Process.Pid }

// signal sends a signal and records that the process is stopped or paused on purpose.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.stopRequested = true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	p.cmd.Process.Signal(s)
}

// wasStopped reports whether the laboratory sent SIGTERM or SIGKILL.
func (p *process) wasStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopRequested
}

// hasExited reports whether the process has exited and its log is complete.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

const (
	readyTimeout = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)

var errExited = errors.New("exited before it was ready")

// ready returns the operators' address when the process reports there that it is ready.
func (p *process) ready(ctx context.Context) (addr string, err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	select {
	case addr = <-p.adminAddr:
	case <-p.exited:
		return "", fmt.Errorf("%s: %w (%v)", p.name, errExited, p.state)
	case <-ctx.Done():
		return "", fmt.Errorf("%s: its log contains no operators' address: %w", p.name, ctx.Err())
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for tick := time.NewTicker(pollInterval); ; {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/api/ready", nil)
		if err != nil {
			return "", err
		}
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				tick.Stop()
				return addr, nil
			}
		}
		select {
		case <-tick.C:
		case <-p.exited:
			return "", fmt.Errorf("%s: %w (%v)", p.name, errExited, p.state)
		case <-ctx.Done():
			return "", fmt.Errorf("%s: not ready: %w", p.name, ctx.Err())
		}
	}
}

// samplePeakMemory updates peakKiB while the process runs. The peak that the kernel reports after the exit is not usable: it
// includes memory shared with the parent between fork and exec.
func (p *process) samplePeakMemory() {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		return
	}
	_, rest, _ := bytes.Cut(text, []byte("VmHWM:"))
	var kib int64
	if _, err := fmt.Sscan(string(rest[:min(len(rest), 40)]), &kib); err == nil && kib > p.peakKiB.Load() {
		p.peakKiB.Store(kib)
	}
}

// stop sends SIGTERM, and SIGKILL after the timeout. It reports whether the process exited without SIGKILL.
func (p *process) stop(timeout time.Duration) bool {
	p.samplePeakMemory()
	p.signal(syscall.SIGCONT)
	if !p.hasExited() && timeout > 0 {
		p.signal(syscall.SIGTERM)
		select {
		case <-p.exited:
			return true
		case <-time.After(timeout):
		}
	}
	if p.hasExited() {
		return true
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
	return false
}
