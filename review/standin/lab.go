//go:build review

// Command standin runs the cases of the review: each starts the gatekeeper as separate processes, plays callers and menu servers
// on loopback, and checks one rule. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab is one run of a case.
type lab struct {
	start   time.Time
	tmp     string // temporary folder of the run
	trouble bool   // false: the same without the disruption

	mu     sync.Mutex
	record *os.File
	procs  []*process
	broken []string
}

// process is a gatekeeper process.
type process struct {
	name   string
	admin  string
	tmpdir string
	cmd    *exec.Cmd
	ended  chan struct{}
}

// abort ends a case that can't run.
type abort string

func (l *lab) cannotRun(format string, args ...any) { panic(abort(fmt.Sprintf(format, args...))) }

// log writes a line to record.txt, with the time since the start of the run.
func (l *lab) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (l *lab) breach(format string, args ...any) {
	l.log("BROKEN: "+format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// freePort returns a TCP and UDP port of 127.0.0.1 that nobody uses.
func (l *lab) freePort() int {
	for range 50 {
		t, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			continue
		}
		port := t.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		t.Close()
		if err == nil {
			u.Close()
			return port
		}
	}
	l.cannotRun("no free port")
	return 0
}

func addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// write writes a file of the run's temporary folder and returns its path.
func (l *lab) write(name, text string) string {
	path := filepath.Join(l.tmp, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		l.cannotRun("%v", err)
	}
	return path
}

// config writes the configuration of a gatekeeper of a small deployment: the figures of the site texas-menus.
func (l *lab) config(listen string) string { return l.configWith(listen, nil) }

// configWith is config with further keys.
func (l *lab) configWith(listen string, further map[string]any) string {
	class := func(name string, aim int, worth int) map[string]any {
		return map[string]any{"name": name, "aim-us": aim, "deadline-us": 9000000, "late-worth": 0.25, "worth": worth,
			"repeat": "read_like", "streaming": true, "key-scope": "all", "window-us": 5000000}
	}
	settings := map[string]any{
		"balancers": 6, "position": 1,
		"bounds": map[string]any{"attempts-cap": 5, "cancel": true, "dial-timeout-us": 500000, "keepalive-us": 600000000,
			"max-retry-after-us": 2000000, "retry-after": true, "second-copies": false, "max-open": 20000},
		"classes": []any{class("menu-view", 1500000, 1), class("diet-order", 2000000, 3), class("tray-count", 2500000, 1)},
		"dcs":     []string{"dallas", "houston", "austin", "el-paso"}, "discovery": "automatic", "family": "trunks",
		"extra": map[string]any{"advice": false, "here": -1, "network-form": "groups", "peer-load": "inline",
			"release-guard-us": 300000, "t1-us": 500000, "circuits-by-class": []int{1, 1, 1},
			"holding-us": []int{9300000, 14000000, 4700000}},
		"guarantees": map[string]any{"answer-slack-us": 20000, "drain-grace-us": 250000, "fall-multiple": 2.0, "fall-us": 1000000,
			"start-capacity": 0.33, "warm-within-us": 15000000},
		"report": map[string]any{"fields": []string{"spare", "total", "busy", "q"}, "via": "inline"},
	}
	all := map[string]any{"name": "n1", "listen": listen, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings}
	maps.Copy(all, further)
	text, _ := json.MarshalIndent(all, "", " ")
	return l.write("config.json", string(text))
}

// runCommand returns the command "run" of the deploy file.
func (l *lab) runCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		l.cannotRun("%v", err)
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(strings.TrimSpace(v), `"`)
		}
	}
	l.cannotRun("the deploy file has no run")
	return ""
}

// gatekeeper starts a gatekeeper with the command of the deploy file, with an operators' address of its own. Its $TMPDIR is empty,
// unless it is started beside another process for a hand-over and shares that one's.
func (l *lab) gatekeeper(name, listen, config, deploy string, beside *process) *process {
	tmpdir := filepath.Join(l.tmp, "tmp-"+name)
	if beside != nil {
		tmpdir = beside.tmpdir
	}
	os.MkdirAll(tmpdir, 0o700)
	p := &process{tmpdir: tmpdir, name: name, admin: addr(l.freePort()), ended: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", l.runCommand())
	p.cmd.Env = append(os.Environ(), "PROXY_NAME=n1", "PROXY_LISTEN="+listen, "PROXY_CONFIG="+config, "PROXY_ADMIN_ADDR="+p.admin,
		"BEAMMUX_DEPLOY="+deploy, "TMPDIR="+tmpdir)
	out, err := os.Create(filepath.Join(l.tmp, name+".log"))
	if err != nil {
		l.cannotRun("%v", err)
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		l.cannotRun("%v", err)
	}
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	l.log("gatekeeper %s: started, process %d, operators' address %s", name, p.cmd.Process.Pid, p.admin)
	go func() {
		p.cmd.Wait()
		l.log("gatekeeper %s: ended (%v)", name, p.cmd.ProcessState)
		close(p.ended)
	}()
	return p
}

// signal sends a signal to a gatekeeper.
func (l *lab) signal(p *process, s syscall.Signal) {
	l.log("gatekeeper %s: signal %v", p.name, s)
	p.cmd.Process.Signal(s)
}

// running reports whether a gatekeeper's process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// ready reports the answer of GET /api/ready.
func (p *process) ready() bool {
	r, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + p.admin + "/api/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode/100 == 2
}

// awaitReady waits for a yes, at most for limit, and reports whether it came.
func (l *lab) awaitReady(p *process, limit time.Duration) bool {
	began := time.Now()
	for time.Since(began) < limit && p.running() {
		if p.ready() {
			l.log("gatekeeper %s: ready after %v", p.name, time.Since(began).Round(time.Millisecond))
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	l.log("gatekeeper %s: not ready after %v, running: %v", p.name, time.Since(began).Round(time.Millisecond), p.running())
	return false
}

// mustReady is awaitReady for a gatekeeper that has to come up for the case to run.
func (l *lab) mustReady(p *process) {
	if !l.awaitReady(p, 15*time.Second) {
		l.cannotRun("gatekeeper %s is not ready", p.name)
	}
}

// waitEnd waits for the end of a process and reports whether it came in time.
func (p *process) waitEnd(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// lastLine returns the last line of a gatekeeper's log, without the path of the run's folder.
func (l *lab) lastLine(p *process) string {
	text, _ := os.ReadFile(filepath.Join(l.tmp, p.name+".log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.ReplaceAll(lines[len(lines)-1], l.tmp, "")
}

// eventually polls a condition until it holds or limit has passed.
func eventually(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// endProcesses kills the gatekeepers that still run.
func (l *lab) endProcesses() {
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		if p.running() {
			p.cmd.Process.Kill()
			p.waitEnd(5 * time.Second)
		}
	}
}

// guard ends the run if it is interrupted or takes longer than limit.
func (l *lab) guard(limit time.Duration) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(limit):
		}
		l.log("could not run: interrupted, or longer than %v", limit)
		l.endProcesses()
		os.RemoveAll(l.tmp)
		os.Exit(2)
	}()
}

// cleanUp ends all processes and appends the ends of their logs to the record.
func (l *lab) cleanUp() {
	l.endProcesses()
	for _, p := range l.procs {
		text, _ := os.ReadFile(filepath.Join(l.tmp, p.name+".log"))
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		fmt.Fprintf(l.record, "\nlog of gatekeeper %s (%d lines):\n%s\n", p.name, len(lines), strings.Join(lines[max(0, len(lines)-40):], "\n"))
	}
	os.RemoveAll(l.tmp)
}

// cases are the cases by number.
var cases = map[string]func(*lab){}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER")
		return 2
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	tmp, err := os.MkdirTemp("", "beammux-review-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	l := &lab{start: time.Now(), tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", record: record}
	l.log("case %s, disruption: %v", os.Args[1], l.trouble)
	l.guard(110 * time.Second)
	defer func() {
		l.cleanUp()
		if p := recover(); p != nil {
			reason, ok := p.(abort)
			if !ok {
				panic(p)
			}
			fmt.Fprintf(record, "\ncould not run: %s\n", reason)
			fmt.Println("could not run:", reason)
			code = 2
			return
		}
		verdict := "the rule held"
		if len(l.broken) > 0 {
			verdict, code = fmt.Sprintf("the rule was broken, %d times; first: %s", len(l.broken), l.broken[0]), 1
		}
		fmt.Fprintf(record, "\n%s\n", verdict)
		fmt.Println(verdict)
	}()
	cases[os.Args[1]](l)
	return code
}
