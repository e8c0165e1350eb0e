package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"beammux/control"
	"beammux/internal/history"
	"beammux/internal/record"
)

// writeRecords writes records of two calls and returns their directory. With broken, one call gets a second final answer.
func writeRecords(t *testing.T, broken bool) string {
	t.Helper()
	dir := t.TempDir()
	r, err := record.NewRecorder(record.Options{Dir: dir, Node: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	events := []history.Event{
		{Kind: history.Started, Rules: &history.Rules{ReleaseGuard: 300000, Classes: []history.Class{{Name: "menu-view", Worth: 1}}}},
		{Kind: history.Listed, Server: 7, Name: "s-7", State: control.Ready}, {Kind: history.Received, Call: "a\x1b[31m", Span: 1e6},
		{Kind: history.Sent, Call: "a\x1b[31m", Server: 7}, {Kind: history.Ended, Call: "a\x1b[31m", Server: 7, Code: control.Full},
		{Kind: history.Refused, Call: "a\x1b[31m", Span: 1500000}, {Kind: history.Received, Call: "b", Span: 1e6}, {Kind: history.Failed, Call: "b"},
	}
	if broken {
		events = append(events, history.Event{Kind: history.Refused, Call: "b"})
	}
	events = append(events, history.Event{Kind: history.Finished})
	for i, e := range events {
		e.At = control.Micros(1.8e15 + i*1000)
		r.Record(e)
	}
	r.Close()
	return dir
}

func TestRecordsCommands(t *testing.T) {
	dir := writeRecords(t, false)
	out, _, code := run(t, "records", "cat", dir, "--call", "a\x1b[31m")
	if code != 0 || strings.Count(out, "\n") != 4 || strings.Contains(out, "\x1b") || !strings.Contains(out, "attempt 0 at server 7: full") ||
		!strings.Contains(out, "told to wait 1500 ms") || !strings.HasPrefix(out, "2027-01-15T08:00:00.002Z  n1  taken call ") {
		t.Errorf("exit %d, %q", code, out)
	}
	out, _, code = run(t, "records", "cat", dir, "--server", "7", "--json")
	var first struct {
		Kind, Gatekeeper string
		Name             string
	}
	if err := json.Unmarshal([]byte(strings.SplitN(out, "\n", 2)[0]), &first); err != nil || code != 0 || first.Kind != "told" || first.Name != "s-7" {
		t.Errorf("exit %d, %v, %s", code, err, out)
	}
	if out, _, code = run(t, "records", "verify", dir); code != 0 || !strings.Contains(out, "n1          1         1       9") {
		t.Errorf("exit %d, %s", code, out)
	}
	entries, _ := os.ReadDir(dir)
	file := filepath.Join(dir, entries[0].Name())
	text, _ := os.ReadFile(file)
	text[len(text)/2] ^= 1
	os.WriteFile(file, text, 0o600)
	if out, _, code = run(t, "records", "verify", dir, "--json"); code != 1 || !strings.Contains(out, `"damage": [`) || !strings.Contains(out, "checksum") {
		t.Errorf("exit %d, %s", code, out)
	}
	if _, errs, code := run(t, "records", "verify", t.TempDir()); code != 1 || !strings.Contains(errs, "no records") {
		t.Errorf("exit %d, %s", code, errs)
	}
}

func TestReportCommand(t *testing.T) {
	for _, broken := range []bool{false, true} {
		dir, page := writeRecords(t, broken), filepath.Join(t.TempDir(), "r.html")
		out, errs, code := run(t, "report", dir, "--out", page, "--json", "-")
		text, err := os.ReadFile(page)
		want, verdict := 0, "held"
		if broken {
			want, verdict = 1, "broken"
		}
		var got struct {
			Rules []struct{ Rule, Verdict string }
		}
		if e := json.Unmarshal([]byte(out), &got); e != nil || err != nil || code != want || got.Rules[0].Verdict != verdict ||
			!strings.Contains(errs, "one final answer in time") || !strings.Contains(string(text), "Incident report") {
			t.Errorf("broken %t: exit %d, %v, %v, %s", broken, code, e, err, errs)
		}
	}
	if _, errs, code := run(t, "report", t.TempDir()); code != 2 || !strings.Contains(errs, "--out") {
		t.Errorf("exit %d, %s", code, errs)
	}
}

// The console prints a plain table if the output is not a terminal.
func TestConsoleWithoutTerminal(t *testing.T) {
	out, _, code := run(t, "console", "--records", writeRecords(t, false))
	if code != 0 || !strings.Contains(out, "rules so far:  answer held") || !strings.Contains(out, "menu-view") || strings.Contains(out, "\x1b") {
		t.Errorf("exit %d, %s", code, out)
	}
	if _, errs, code := run(t, "console", "--attach", "10.0.0.1:1"); code != 2 || !strings.Contains(errs, "no loopback address") {
		t.Errorf("exit %d, %s", code, errs)
	}
}

// A seeded incident runs, and its report shows that each rule held. Five seconds suffice to exercise all parts together.
func TestIncidentPlay(t *testing.T) {
	out := t.TempDir()
	_, errs, code := run(t, "incident", "play", "--seed", "2", "--gatekeepers", "3", "--length", "5s", "--out", out)
	if code != 0 || strings.Count(errs, " held") != 5 && strings.Count(errs, " held")+strings.Count(errs, "not shown: server") != 5 {
		t.Errorf("exit %d, %s", code, errs)
	}
	var got struct {
		Gatekeepers []struct{ Starts int }
		Gaps        []struct{ Why string }
	}
	text, err := os.ReadFile(filepath.Join(out, "report.json"))
	if err == nil {
		err = json.Unmarshal(text, &got)
	}
	if err != nil || len(got.Gatekeepers) != 3 || len(got.Gaps) != 1 || got.Gaps[0].Why != "restart" {
		t.Errorf("%v, %+v", err, got)
	}
}

// A gatekeeper that is killed by SIGKILL while it takes calls leaves records that can be read to the end. The report shows no
// rule as held, since the last events of each process are missing.
func TestKilledWhileRecording(t *testing.T) {
	dir := t.TempDir()
	deploy := filepath.Join(dir, "deploy.json")
	text, _ := json.Marshal(map[string]any{"records": map[string]any{"dir": filepath.Join(dir, "records")}})
	if err := os.WriteFile(deploy, text, 0o600); err != nil {
		t.Fatal(err)
	}
	const starts, written = 4, 20000
	recordsDir := filepath.Join(dir, "records")
	for start := range starts {
		cmd := newProgram("--log-format", "json", "serve", "--config", exampleConfig, "--listen", "127.0.0.1:0", "--deploy", deploy)
		var l struct{ Msg, Listen string }
		for lines := startProgram(t, cmd); l.Msg != "serving" && lines.Scan(); {
			json.Unmarshal(lines.Bytes(), &l)
		}
		c, err := net.Dial("tcp", l.Listen)
		if err != nil {
			t.Fatal(err)
		}
		answers := bufio.NewScanner(c)
		for i := 0; ; i++ {
			if i%100 == 0 { // until records have been written
				if info, err := os.Stat(filepath.Join(recordsDir, fmt.Sprintf("example-%08x-000000.rec", start+1))); err == nil && info.Size() > written {
					break
				}
			}
			fmt.Fprintf(c, `{"msg":"open","sid":"%08x%08x","attrs":{"class":"menu-view","left":3000,"key":"1"}}`+"\n", start, i)
			if !answers.Scan() {
				t.Fatal(answers.Err())
			}
		}
		cmd.Process.Kill()
		cmd.Wait()
		c.Close()
	}
	out, _, code := run(t, "records", "verify", recordsDir, "--json")
	var stats []record.Stats
	if err := json.Unmarshal([]byte(out), &stats); err != nil || code != 0 || len(stats) != 1 || stats[0].Starts != starts ||
		stats[0].Gaps != starts-1 || stats[0].Records < starts*100 {
		t.Errorf("exit %d, %v, %s", code, err, out)
	}
	out, _, code = run(t, "report", recordsDir, "--json", "-")
	if code != 0 || strings.Count(out, `"verdict": "not shown"`) != 5 || strings.Count(out, `"why": "restart"`) != starts-1 {
		t.Errorf("exit %d, %s", code, out)
	}
}

// The console attaches to a running gatekeeper and shows its servers and the calls that arrive meanwhile.
func TestConsoleAttached(t *testing.T) {
	dir := t.TempDir()
	socket := "unix:" + filepath.Join(dir, "admin.sock")
	deploy := filepath.Join(dir, "deploy.json")
	text, _ := json.Marshal(map[string]any{"inventory": "deploy/example/servers.csv", "console": map[string]string{"listen": socket}})
	if err := os.WriteFile(deploy, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := newProgram("--log-format", "json", "serve", "--config", exampleConfig, "--listen", "127.0.0.1:0", "--deploy", deploy)
	var l struct{ Msg, Listen string }
	for lines := startProgram(t, cmd); l.Msg != "serving" && lines.Scan(); {
		json.Unmarshal(lines.Bytes(), &l)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	c, err := net.Dial("tcp", l.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go func() { // calls until the gatekeeper ends; all are refused, since its servers are unreachable
		answers := bufio.NewScanner(c)
		for i := 0; ; i++ {
			if fmt.Fprintf(c, `{"msg":"open","sid":"%016x","attrs":{"class":"diet-order","left":100,"key":"1"}}`+"\n", i); !answers.Scan() {
				return
			}
		}
	}()
	out, errs, code := run(t, "console", "--attach", socket, "--for", "1s")
	fields := map[string][]string{}
	for _, line := range strings.Split(out, "\n") {
		if f := strings.Fields(line); len(f) > 1 {
			fields[f[0]] = f[1:]
		}
	}
	if code != 0 || len(fields["menu-dallas"]) < 2 || fields["menu-dallas"][0] != "up" || len(fields["diet-order"]) != 4 || fields["diet-order"][0] == "0.0" ||
		len(fields["example"]) < 2 || fields["example"][0] != "up" {
		t.Errorf("exit %d, %s%s", code, out, errs)
	}
}
