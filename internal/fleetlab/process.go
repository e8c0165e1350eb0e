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
	name  string
	cmd   *exec.Cmd
	ops   chan string   // the operators' address, once it is known
	gone  chan struct{} // closed when it has ended and its log is whole
	state *os.ProcessState
	err   error // why its log could not be kept

	peak atomic.Int64 // most memory that it was seen to have had, KiB

	mu     sync.Mutex
	asked  bool // it was told to end, or killed by the laboratory
	paused bool
}

// said is a line of a gatekeeper's log as far as the laboratory reads it while it runs.
type said struct{ Msg, Listen string }

// spawn starts a gatekeeper. Its log goes to a file, line by line; hear is told of each line that is JSON, and ended when it
// has ended, before anybody who waits for that.
func spawn(p Program, name, dir, logFile string, args, env []string, hear func(said), ended func(*process)) (*process, error) {
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
	r := &process{name: name, cmd: cmd, ops: make(chan string, 1), gone: make(chan struct{})}
	go func() {
		defer close(r.gone)
		out := bufio.NewWriter(f)
		in := bufio.NewReaderSize(stderr, 64<<10)
		for {
			text, err := in.ReadBytes('\n')
			if len(text) > 0 {
				if _, e := out.Write(text); e != nil && r.err == nil {
					r.err = e
				}
				var s said
				if json.Unmarshal(text, &s) == nil {
					if s.Msg == "operators' address serving" {
						select {
						case r.ops <- s.Listen:
						default:
						}
					}
					hear(s)
				}
				out.Flush()
			}
			if err != nil {
				if err != io.EOF && r.err == nil {
					r.err = err
				}
				break
			}
		}
		cmd.Wait()
		r.state = cmd.ProcessState
		f.Close()
		ended(r)
	}()
	return r, nil
}

// Pid is the number of the process.
func (p *process) pid() int { return p.cmd.Process.Pid }

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.asked = true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	p.cmd.Process.Signal(s)
}

func (p *process) wasAsked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

func (p *process) over() bool {
	select {
	case <-p.gone:
		return true
	default:
		return false
	}
}

const (
	readyWithin = 30 * time.Second
	askEvery    = 5 * time.Millisecond
)

var errEnded = errors.New("it ended before it was ready")

// ready returns once the operators' address says yes.
func (p *process) ready(ctx context.Context) (addr string, err error) {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	select {
	case addr = <-p.ops:
	case <-p.gone:
		return "", fmt.Errorf("%s: %w (%v)", p.name, errEnded, p.state)
	case <-ctx.Done():
		return "", fmt.Errorf("%s: no operators' address in its log: %w", p.name, ctx.Err())
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for tick := time.NewTicker(askEvery); ; {
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
		case <-p.gone:
			return "", fmt.Errorf("%s: %w (%v)", p.name, errEnded, p.state)
		case <-ctx.Done():
			return "", fmt.Errorf("%s: not ready: %w", p.name, ctx.Err())
		}
	}
}

// look notes the most memory that the process has had. What the kernel says of it after its end counts what it shared with
// its parent before it became itself.
func (p *process) look() {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		return
	}
	_, rest, _ := bytes.Cut(text, []byte("VmHWM:"))
	var kib int64
	if _, err := fmt.Sscan(string(rest[:min(len(rest), 40)]), &kib); err == nil && kib > p.peak.Load() {
		p.peak.Store(kib)
	}
}

// end ends the process by its number: SIGTERM and some time, then SIGKILL. It tells whether SIGTERM was enough.
func (p *process) end(within time.Duration) bool {
	p.look()
	p.signal(syscall.SIGCONT)
	if !p.over() && within > 0 {
		p.signal(syscall.SIGTERM)
		select {
		case <-p.gone:
			return true
		case <-time.After(within):
		}
	}
	if p.over() {
		return true
	}
	p.signal(syscall.SIGKILL)
	<-p.gone
	return false
}
