package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Cost measures the processor time of a gatekeeper in a process of its own, with and without records.
type Cost struct {
	Program string // beammux
	PerS    float64
	Length  time.Duration
	Seed    uint64
}

// CostResult is what one run used.
type CostResult struct {
	Records   bool          `json:"records"`
	Calls     int           `json:"calls"`
	CPU       time.Duration `json:"cpu_ns"`
	PerCall   time.Duration `json:"cpu_per_call_ns"`
	CoreShare float64       `json:"part_of_a_core"`
}

// Run plays one run.
func (c Cost) Run(ctx context.Context, records bool) (*CostResult, error) {
	dir, err := os.MkdirTemp("", "lab-cost-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	o := Overload{Seed: c.Seed, Gatekeepers: 1, Length: c.Length, Load: 0.5}
	o.Servers = int(c.PerS/o.Load/work.Capacity() + 0.5)
	o.Load = c.PerS / work.Capacity() / float64(o.Servers)
	list := "name,address,cell\n"
	for i := range o.Servers {
		s, err := NewServer(work, c.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		defer s.Close()
		list += fmt.Sprintf("s-%08x,%s,%d\n", i+1, s.Addr(), i)
	}
	deploy := map[string]any{"inventory": filepath.Join(dir, "servers.csv")}
	if records {
		deploy["records"] = map[string]any{"dir": filepath.Join(dir, "records")}
	}
	deployText, err := json.Marshal(deploy)
	if err != nil {
		return nil, err
	}
	for name, text := range map[string]string{"servers.csv": list, "deploy.json": string(deployText),
		"config.json": fmt.Sprintf(`{"name":"g1","listen":"127.0.0.1:0","settings":%s}`, fmt.Sprintf(settings, 1))} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	cmd := exec.CommandContext(ctx, c.Program, "--log-format", "json", "serve", "--config", filepath.Join(dir, "config.json"),
		"--deploy", filepath.Join(dir, "deploy.json"))
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	defer cmd.Process.Kill()
	addr := ""
	lines := bufio.NewScanner(stderr)
	for addr == "" && lines.Scan() {
		var l struct{ Msg, Listen string }
		if json.Unmarshal(lines.Bytes(), &l) == nil && l.Msg == "serving" {
			addr = l.Listen
		}
	}
	if addr == "" {
		return nil, fmt.Errorf("%s did not start", c.Program)
	}
	go func() {
		for lines.Scan() {
		}
	}()
	d := newDay(o)
	d.conns = []*callers{{}}
	if err := d.connect(0, addr); err != nil {
		return nil, err
	}
	defer d.hangUp(0)
	d.play(ctx, o.Servers, nil)
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil && !strings.Contains(err.Error(), "killed") {
		return nil, err
	}
	s := &CostResult{Records: records, Calls: d.out.First, CPU: cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()}
	s.PerCall = s.CPU / time.Duration(max(s.Calls, 1))
	s.CoreShare = s.CPU.Seconds() / c.Length.Seconds()
	return s, ctx.Err()
}
