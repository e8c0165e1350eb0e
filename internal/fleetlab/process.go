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

// Program is how the gatekeeper is started: its path and, for a test binary that stands in for it, more of its environment.
type Program struct {
	Path string
	Env  []string
}

// Build builds the gatekeeper once for all runs of this process, into a folder, and gives its program. root is the module's
// folder.
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

// process is one run of the gatekeeper's program.
type process struct {
	name      string
	cmd       *exec.Cmd
	adminAddr chan string   // the operators' address, once it is known
	exited    chan struct{} // closed when it has ended and its log is whole
	state     *os.ProcessState
	err       error // why its log could not be kept

	peakKiB atomic.Int64 // most memory that it was seen to have had, KiB

	mu            sync.Mutex
	stopRequested bool // it was told to end, or killed by the laboratory
	paused        bool
}

// logLine is a line of a gatekeeper's log as far as the laboratory reads it while it runs.
type logLine struct{ Msg, Listen string }

// spawn starts a gatekeeper. Its log goes to a file, line by line; hear is told of each line that is JSON, and ended when it
// has ended, before anybody who waits for that.
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

// Pid is the number of the process.
func (p *process) pid() int { return p.cmd.Process.Pid }

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

func (p *process) wasStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopRequested
}

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

var errExited = errors.New("it ended before it was ready")

// ready returns once the operators' address says yes.
func (p *process) ready(ctx context.Context) (addr string, err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	select {
	case addr = <-p.adminAddr:
	case <-p.exited:
		return "", fmt.Errorf("%s: %w (%v)", p.name, errExited, p.state)
	case <-ctx.Done():
		return "", fmt.Errorf("%s: no operators' address in its log: %w", p.name, ctx.Err())
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

// samplePeakMemory notes the most memory that the process has had. What the kernel says of it after its end counts what it shared with
// its parent before it became itself.
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

// stop ends the process by its number: SIGTERM and some time, then SIGKILL. It tells whether SIGTERM was enough.
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
