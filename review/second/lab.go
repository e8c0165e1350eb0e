//go:build review

// Command second plays the cases 6 to 10 of the review. Each case starts gatekeepers with the commands of the deploy file, as processes
// of their own, and plays their callers, menu servers and event bus on loopback addresses. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab is what all cases share: the record, the temporary folder and the processes that were started.
type lab struct {
	dir     string // of the case
	tmp     string
	trouble bool
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*gatekeeper
	broken    []string
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// fault records that the rule was broken.
func (l *lab) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.note("BROKEN: %s", text)
	l.mu.Lock()
	l.broken = append(l.broken, text)
	l.mu.Unlock()
}

// cannotRun ends the case, because something that it needs does not work.
type cannotRun string

func (l *lab) require(ok bool, format string, args ...any) {
	if !ok {
		panic(cannotRun(fmt.Sprintf(format, args...)))
	}
}

// gatekeeper is one process of the project's own program.
type gatekeeper struct {
	lab    *lab
	name   string
	listen string
	admin  string
	config string
	cmd    *exec.Cmd
	ended  chan struct{}

	reached bool // the operators' address has answered, whatever it said
}

// runCommand returns the command of the deploy file that starts one gatekeeper.
func (l *lab) runCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	l.require(err == nil, "deploy/balancer.toml: %v", err)
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	panic(cannotRun("no run in deploy/balancer.toml"))
}

// writeJSON writes a value to a file of the temporary folder and returns its path.
func (l *lab) writeJSON(name string, value any) string {
	text, err := json.MarshalIndent(value, "", " ")
	l.require(err == nil, "%v", err)
	return l.writeFile(name, string(text))
}

func (l *lab) writeFile(name, text string) string {
	path := filepath.Join(l.tmp, name)
	l.require(os.WriteFile(path, []byte(text), 0o644) == nil, "can't write %s", path)
	return path
}

// settings returns the settings of the project's example deployment.
func (l *lab) settings() map[string]any {
	text, err := os.ReadFile("deploy/example/gatekeeper.json")
	l.require(err == nil, "%v", err)
	var example map[string]any
	l.require(json.Unmarshal(text, &example) == nil, "example is no JSON")
	settings := example["settings"].(map[string]any)
	settings["balancers"] = 1
	return settings
}

// config returns the configuration of a gatekeeper in the form of the deployment page.
func (l *lab) config(name, listen, bus string, known []event) map[string]any {
	c := map[string]any{"name": name, "listen": listen, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": l.settings()}
	if bus != "" {
		c["bus"] = bus
	}
	if len(known) > 0 {
		c["known"] = map[string]any{"offset": known[len(known)-1].Offset, "batch": known}
	}
	return c
}

// start starts a gatekeeper. deploy is the path of the project's deploy settings; empty: the default.
func (l *lab) start(name string, config map[string]any, deploy string) *gatekeeper {
	g := &gatekeeper{lab: l, name: name, listen: config["listen"].(string), admin: freeAddr(), ended: make(chan struct{})}
	g.config = l.writeJSON(name+".json", config)
	g.launch(deploy)
	return g
}

func (g *gatekeeper) launch(deploy string) {
	l := g.lab
	private, err := os.MkdirTemp(l.tmp, g.name+"-tmp-")
	l.require(err == nil, "%v", err)
	log, err := os.OpenFile(filepath.Join(l.tmp, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	l.require(err == nil, "%v", err)
	g.cmd = exec.Command("/bin/sh", "-c", l.runCommand())
	g.cmd.Env = append(os.Environ(), "PROXY_NAME="+g.name, "PROXY_LISTEN="+g.listen, "PROXY_CONFIG="+g.config,
		"PROXY_ADMIN_ADDR="+g.admin, "TMPDIR="+private)
	if deploy != "" {
		g.cmd.Env = append(g.cmd.Env, "BEAMMUX_DEPLOY="+deploy)
	}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	l.require(g.cmd.Start() == nil, "the gatekeeper can't be started")
	l.mu.Lock()
	l.processes = append(l.processes, g)
	l.mu.Unlock()
	cmd, ended := g.cmd, g.ended
	go func() {
		cmd.Wait()
		l.note("%s: process ended: %v", g.name, cmd.ProcessState)
		close(ended)
	}()
	l.note("%s: started, callers at %s", g.name, g.listen)
}

// signal sends a signal to the process.
func (g *gatekeeper) signal(s syscall.Signal) {
	g.lab.note("%s: %v", g.name, s)
	g.cmd.Process.Signal(s)
}

// ask makes one call at the operators' address and reports whether the answer was yes.
func (g *gatekeeper) ask(method, path string) bool {
	request, _ := http.NewRequest(method, "http://"+g.admin+path, nil)
	request.Close = true
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	g.reached = true
	return response.StatusCode/100 == 2
}

// awaitReady waits until the gatekeeper takes clients.
func (g *gatekeeper) awaitReady() {
	for range 300 {
		if g.ask("GET", "/api/ready") {
			g.lab.note("%s: ready", g.name)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic(cannotRun(g.name + " is not ready within 30 s"))
}

// alive reports whether the process runs.
func (g *gatekeeper) alive() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// awaitEnd waits until the process has ended, or for a time.
func (g *gatekeeper) awaitEnd(most time.Duration) {
	select {
	case <-g.ended:
	case <-time.After(most):
	}
}

// end ends all processes that were started, and adds the ends of their logs to the record.
func (l *lab) end() {
	l.mu.Lock()
	processes := l.processes
	l.mu.Unlock()
	for _, g := range processes {
		if g.alive() {
			g.cmd.Process.Kill()
			<-g.ended
		}
	}
	logs, _ := filepath.Glob(filepath.Join(l.tmp, "*.log"))
	for _, name := range logs {
		text, _ := os.ReadFile(name)
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		lines = lines[max(0, len(lines)-40):]
		l.note("log of %s, last lines:\n  %s", strings.TrimSuffix(filepath.Base(name), ".log"), strings.Join(lines, "\n  "))
	}
	os.RemoveAll(l.tmp)
}

// freeAddr returns a loopback address with a free port.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	defer l.Close()
	return l.Addr().String()
}

func itoa(n int) string { return strconv.Itoa(n) }
