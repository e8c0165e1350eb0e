package console

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gdamore/tcell/v2"

	"beammux/control"
	"beammux/internal/history"
	"beammux/internal/record"
)

// fullState returns a state with calls at every gatekeeper and one gated server.
func fullState(nodes, servers int) *State {
	s := NewState("live")
	rules := &history.Rules{ReleaseGuard: 300000, Classes: []history.Class{{Name: "menu-view", Worth: 1}, {Name: "diet-order", Worth: 3}, {Name: "tray-count", Worth: 1}}}
	at := control.Micros(1e12)
	event := func(e history.Event) {
		at += 1000
		e.At = at
		s.Item(record.Item{Event: &e})
	}
	for n := range nodes {
		node := fmt.Sprint("g", n)
		event(history.Event{Kind: history.Started, Rules: rules, Node: node})
		for i := range servers {
			event(history.Event{Kind: history.Listed, Server: uint32(i + 1), Name: fmt.Sprint("s-", i+1), State: control.Ready, Node: node})
		}
		event(history.Event{Kind: history.Viewed, Server: 1, Level: 2, Span: 2e6, Node: node})
		for class := range 3 {
			id := fmt.Sprint(n, class)
			event(history.Event{Kind: history.Received, Call: id, Class: class, Span: 9e6, Node: node})
			event(history.Event{Kind: []history.Kind{history.Established, history.Refused, history.Failed}[class], Call: id, Server: 2, Node: node})
		}
	}
	return s
}

func text(lines []Line) string {
	var b strings.Builder
	for _, l := range lines {
		b.WriteString(l.Text + "\n")
	}
	return b.String()
}

// A screen of 80x24 shows rates by class, servers, gatekeepers, rules and the latest events.
func TestLines(t *testing.T) {
	s := fullState(4, 4)
	lines := s.Lines(80, 23)
	got := text(lines)
	for _, want := range []string{"menu-view            0.4       0.4       0.0       0.0", "diet-order           0.4       0.0       0.4       0.0",
		"tray-count           0.4       0.0       0.0       0.4", "s-1                  up        4 of  4  2.00 s", "g3                   up",
		"rules so far:  answer held", "g3 gated s-1"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in\n%s", want, got)
		}
	}
	if len(lines) > 23 {
		t.Errorf("%d lines, want at most 23", len(lines))
	}
}

// At any size the lines fit the screen, and the number of items that are not shown is displayed.
func TestLinesFitAnySize(t *testing.T) {
	s := fullState(30, 30)
	for width := 0; width < 130; width += 7 {
		for height := 0; height < 60; height += 3 {
			lines := s.Lines(width, height)
			if len(lines) > height {
				t.Fatalf("%dx%d: %d lines", width, height, len(lines))
			}
			for _, l := range lines {
				if len([]rune(l.Text)) > width {
					t.Fatalf("%dx%d: line too long: %q", width, height, l.Text)
				}
			}
		}
	}
	if got := text(s.Lines(80, 24)); !strings.Contains(got, "more gatekeepers") || !strings.Contains(got, "more servers") {
		t.Error(got)
	}
}

// Control characters in names are not written to the terminal.
func TestHostileNames(t *testing.T) {
	s := NewState("live")
	for _, e := range []history.Event{{Kind: history.Started, Rules: &history.Rules{Classes: []history.Class{{Name: "\x1b[2J"}}}},
		{Kind: history.Listed, Server: 1, Name: "\x1b]0;x\x07"}, {Kind: history.Viewed, Server: 1, Level: 3}, {Kind: history.Reloaded, Name: "\r\n\x1b[31m"}} {
		e.Node, e.At = "n\x1b[1m", 1e12
		s.Item(record.Item{Event: &e})
	}
	var b bytes.Buffer
	if err := s.Print(&b); err != nil || strings.ContainsAny(b.String(), "\x1b\x07\r") {
		t.Errorf("%q, %v", b.String(), err)
	}
}

// captured is a screen whose text other goroutines may read.
type captured struct {
	tcell.SimulationScreen
	mu    sync.Mutex
	width int
	text  string
}

func (c *captured) Show() {
	c.SimulationScreen.Show()
	cells, w, h := c.GetContents()
	var b strings.Builder
	for y := range h {
		for x := range w {
			b.WriteString(string(cells[y*w+x].Runes))
		}
		b.WriteByte('\n')
	}
	c.mu.Lock()
	c.width, c.text = w, b.String()
	c.mu.Unlock()
}

// The console draws incoming events, redraws when the terminal is resized, and quits on q.
func TestShow(t *testing.T) {
	screen := &captured{SimulationScreen: tcell.NewSimulationScreen("UTF-8")}
	if err := screen.Init(); err != nil {
		t.Fatal(err)
	}
	defer screen.Fini()
	screen.SetSize(80, 24)
	items := make(chan record.Item)
	done := make(chan struct{})
	go func() {
		Show(screen, NewState("live"), items, nil)
		close(done)
	}()
	for _, e := range []history.Event{{At: 1e12, Kind: history.Started, Node: "g1", Rules: &history.Rules{}}, {At: 1e12, Kind: history.Draining, Node: "g1"}} {
		items <- record.Item{Event: &e}
	}
	limit := time.After(20 * time.Second)
	seen := func(width int, want string) {
		t.Helper()
		for {
			screen.mu.Lock()
			w, text := screen.width, screen.text
			screen.mu.Unlock()
			if w == width && strings.Contains(text, want) {
				return
			}
			select {
			case <-limit:
				t.Fatalf("%q is not on the screen of width %d:\n%s", want, w, text)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	seen(80, "g1 drained")
	screen.SetSize(60, 16)
	seen(60, "q quits")
	close(items)
	seen(60, "live, ended")
	screen.InjectKey(tcell.KeyRune, 'q', 0)
	select {
	case <-done:
	case <-limit:
		t.Fatal("q did not quit")
	}
}
