package latencylab

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"beammux/internal/lab"
	"beammux/internal/lab/launch"
)

const (
	startTimeout   = 20 * time.Second // longest wait for a gatekeeper to serve
	stopTimeout    = 15 * time.Second // longest wait after SIGTERM before a gatekeeper is killed
	connectTimeout = 8 * time.Second
	checkInterval  = 100 * time.Millisecond
	stableChecks   = 5
	clockTicks     = 100 // ticks per second in /proc/PID/stat
)

// ErrNotServing is returned if the gatekeeper's process ends early or does not serve in time.
var ErrNotServing = errors.New("the gatekeeper did not start serving")

// machineLimits are the machine's limits in the gatekeeper's configuration.
type machineLimits struct {
	Descriptors int
	MemoryMB    int
}

// process is a gatekeeper that runs in a separate process.
type process struct {
	cmd               *exec.Cmd
	addr              string
	startupTime       time.Duration // time from its start until it served
	failedConnections atomic.Int64  // log lines that report a failed connection to a server
	ended             chan struct{}
}

// startGatekeeper writes the files of a gatekeeper into dir, starts it and returns when it serves.
func startGatekeeper(ctx context.Context, program Program, dir string, limits machineLimits, gatekeepers int, inventory []byte) (*process, error) {
	config := fmt.Sprintf(`{"name":"g1","listen":"127.0.0.1:0","limits":{"cores":1,"memory_mb":%d,"sockets":%d},"settings":%s}`,
		limits.MemoryMB, limits.Descriptors, lab.Settings(gatekeepers))
	list := filepath.Join(dir, "servers.csv")
	deploy, err := json.Marshal(map[string]any{"inventory": list})
	if err != nil {
		return nil, err
	}
	for name, text := range map[string][]byte{"servers.csv": inventory, "config.json": []byte(config), "deploy.json": deploy} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			return nil, err
		}
	}
	cmd := exec.Command(program.Path, "--log-format", "json", "serve", "--config", filepath.Join(dir, "config.json"),
		"--deploy", filepath.Join(dir, "deploy.json"))
	cmd.Env = append(os.Environ(), program.Env...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	if err := launch.Start(cmd); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	serving := make(chan string, 1)
	go p.readLog(bufio.NewScanner(stderr), serving)
	select {
	case p.addr = <-serving:
		p.startupTime = time.Since(began)
		return p, nil
	case <-p.ended:
		err = ErrNotServing
	case <-time.After(startTimeout):
		err = ErrNotServing
	case <-ctx.Done():
		err = ctx.Err()
	}
	p.kill()
	return nil, err
}

// readLog reads the log to its end and then waits for the process.
func (p *process) readLog(lines *bufio.Scanner, serving chan<- string) {
	defer close(p.ended)
	for lines.Scan() {
		var line struct{ Msg, Listen string }
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		switch line.Msg {
		case "serving":
			serving <- line.Listen
		case "no connection to server":
			p.failedConnections.Add(1)
		}
	}
	p.cmd.Wait()
}

// stop sends SIGTERM to the gatekeeper and kills it if it does not end in time.
func (p *process) stop() {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		p.kill()
	}
}

func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// waitConnected waits until the number of open descriptors is stable. The gatekeeper dials its servers after it starts to serve,
// and callers that connect earlier would use descriptors that are not available later.
func (p *process) waitConnected(ctx context.Context) {
	last, stable := -1, 0
	for end := time.Now().Add(connectTimeout); stable < stableChecks && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(checkInterval)
		if now := p.descriptors(); now == last {
			stable++
		} else {
			last, stable = now, 0
		}
	}
}

// processorTime returns the processor time that the process has used so far.
func (p *process) processorTime() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	return parseStat(string(text))
}

// coreWait returns the total time for which threads of the process were ready to run but had no core: the part of a latency
// that other work on the machine causes.
func (p *process) coreWait() time.Duration { return readCoreWait(strconv.Itoa(p.cmd.Process.Pid)) }

// readCoreWait returns the sum of the second fields of /proc/PID/task/*/schedstat; pid may be "self".
func readCoreWait(pid string) (sum time.Duration) {
	files, _ := filepath.Glob("/proc/" + pid + "/task/*/schedstat")
	for _, file := range files {
		text, _ := os.ReadFile(file)
		if fields := strings.Fields(string(text)); len(fields) > 1 {
			wait, _ := strconv.ParseInt(fields[1], 10, 64)
			sum += time.Duration(wait)
		}
	}
	return sum
}

// parseStat returns the sum of user and system time in a line of /proc/PID/stat (proc(5), fields 14 and 15).
func parseStat(line string) (time.Duration, error) {
	end := strings.LastIndexByte(line, ')') // the name in field 2 may contain spaces
	if end < 0 {
		return 0, fmt.Errorf("no process name in stat line %q", line)
	}
	fields := strings.Fields(line[end+1:])
	if len(fields) < 13 {
		return 0, fmt.Errorf("only %d fields after the process name in stat line %q", len(fields), line)
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * (time.Second / clockTicks), err
}

// stealTime returns the steal time of this machine so far, summed over its cores: the time in which a core had work but the
// host ran something else (proc(5), /proc/stat).
func stealTime() (time.Duration, error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, err
	}
	return parseSteal(string(text))
}

// parseSteal returns the steal time, the eighth figure in the first line of /proc/stat:
// "cpu user nice system idle iowait irq softirq steal ...".
func parseSteal(text string) (time.Duration, error) {
	const place = 8
	line, _, _ := strings.Cut(text, "\n")
	fields := strings.Fields(line)
	if len(fields) <= place || fields[0] != "cpu" {
		return 0, fmt.Errorf("no steal time in cpu line %q", line)
	}
	ticks, err := strconv.ParseInt(fields[place], 10, 64)
	return time.Duration(ticks) * (time.Second / clockTicks), err
}

// stealCores returns the steal time per second since the earlier reading before, or -1 if a reading failed.
func stealCores(before time.Duration, beforeErr error, span time.Duration) float64 {
	after, err := stealTime()
	if beforeErr != nil || err != nil {
		return -1
	}
	return (after - before).Seconds() / span.Seconds()
}

// resident returns the current and the peak resident memory, in KiB.
func (p *process) resident() (now, peak int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		switch fields[0] {
		case "VmRSS:":
			now, _ = strconv.Atoi(fields[1])
		case "VmHWM:":
			peak, _ = strconv.Atoi(fields[1])
		}
	}
	return now, peak
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}
