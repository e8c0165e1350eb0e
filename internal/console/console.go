// Package console shows a fleet on a terminal: live from gatekeepers' console sockets, or from records at a speed.
package console

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/gdamore/tcell/v2"

	"beammux/control"
	"beammux/internal/history"
	"beammux/internal/record"
)

const lastEvents = 200

// State is what the console shows.
type State struct {
	Fleet   *history.Fleet
	Checker *history.Checker
	Rates   history.Rates
	Mode    string // live, or replay with its speed
	Now     control.Micros
	Last    []string       // what happened, the newest last
	level   map[pair]level // as each gatekeeper believes it now
}

type pair struct {
	node   string
	server uint32
}

type level struct {
	level int
	wait  control.Micros
}

// NewState makes an empty one.
func NewState(mode string) *State {
	s := &State{Fleet: history.NewFleet(), Checker: history.NewChecker(nil), Mode: mode, level: map[pair]level{}}
	s.Fleet.OnMoment = s.moment
	return s
}

// Item takes an event or a gap.
func (s *State) Item(i record.Item) {
	if g := i.Gap; g != nil {
		s.Fleet.Gap(*g)
		s.Checker.Gap(*g)
		return
	}
	e := i.Event
	s.Now = max(s.Now, e.At)
	class := e.Class
	if e.Kind != history.Received {
		class = s.Fleet.ClassOf(e.Node, e.Call)
	}
	if e.Kind == history.Received || e.Kind.Final() || e.Kind == history.Gone {
		s.Rates.Event(e, class)
	}
	if e.Kind == history.Viewed {
		s.level[pair{e.Node, e.Server}] = level{e.Level, e.Span}
	}
	s.Fleet.Event(e)
	s.Checker.Event(e)
}

// moment notes what happened among the last events.
func (s *State) moment(m history.Moment) {
	words := []string{clock(m.At), printable(m.Node), m.Type}
	if m.Server != 0 {
		words = append(words, s.server(m.Server))
	}
	s.say(strings.Join(append(words, printable(m.Detail)), " "))
}

func (s *State) say(text string) {
	s.Last = append(s.Last, strings.Join(strings.Fields(text), " "))
	if len(s.Last) > lastEvents {
		s.Last = s.Last[len(s.Last)-lastEvents:]
	}
}

func (s *State) server(id uint32) string {
	if sv := s.Fleet.Servers[id]; sv != nil && sv.Name != "" {
		return printable(sv.Name)
	}
	return strconv.FormatUint(uint64(id), 10)
}

func clock(at control.Micros) string { return time.UnixMicro(int64(at)).UTC().Format("15:04:05") }

// printable keeps what records bring from steering a terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if strconv.IsGraphic(r) {
			return r
		}
		return '?'
	}, s)
}

// Line is one line of the screen.
type Line struct {
	Text string
	Mark Mark
}

// Mark says how a line stands out.
type Mark int

// The marks.
const (
	Plain Mark = iota
	Head
	Good
	Warn
	Bad
)

// Lines gives the whole state in so many lines and columns: the fleet's rates, the servers, the gatekeepers, the rules, and
// the last events in what is left. 80x24 is enough for 3 classes, 4 servers and 4 gatekeepers; of more the first are shown.
func (s *State) Lines(width, height int) (lines []Line) {
	add := func(mark Mark, format string, args ...any) {
		lines = append(lines, Line{fmt.Sprintf(format, args...), mark})
	}
	add(Head, "beammux  %s  %s UTC  gatekeepers: %d  events: %d", s.Mode, clock(s.Now), len(s.Fleet.Nodes), s.Fleet.Events)
	room := max((height-11)/3, 2) // for the servers and the gatekeepers each
	add(Head, "%-14s %9s %9s %9s %9s", "class, last 10 s", "offered/s", "stood/s", "refused/s", "failed/s")
	for i, c := range s.Fleet.Rules.Classes[:min(len(s.Fleet.Rules.Classes), 4)] {
		r := s.Rates.Last(s.Now, i)
		mark := Plain
		if r.Failed > 0 {
			mark = Bad
		} else if r.Refused > 0 {
			mark = Warn
		}
		add(mark, "%-16s %7.1f   %7.1f   %7.1f   %7.1f", cut(printable(c.Name), 16), per(r.Offered), per(r.Served), per(r.Refused), per(r.Failed))
	}
	servers := s.Fleet.ServerList()
	add(Head, "%-20s %-8s %6s %7s %6s %8s", "server", "list", "gated", "wait", "stood", "full")
	for _, sv := range servers[:min(len(servers), room)] {
		gated, wait := 0, control.Micros(0)
		for _, n := range s.Fleet.NodeList() {
			l := s.level[pair{n.Name, sv.ID}]
			if l.level >= 2 {
				gated++
			}
			wait = max(wait, l.wait)
		}
		mark := Plain
		if gated > 0 {
			mark = Bad
		} else if sv.State != control.Ready {
			mark = Warn
		}
		add(mark, "%-20s %-8s %2d of %2d %5.2f s %6d %8d", cut(s.server(sv.ID), 20), sv.State, gated, len(s.Fleet.Nodes), float64(wait)/1e6, sv.Established, sv.Full)
	}
	more(add, len(servers)-room, "servers")
	nodes := s.Fleet.NodeList()
	add(Head, "%-20s %-5s %6s %7s %7s %7s %6s", "gatekeeper", "", "open", "taken", "stood", "refused", "MB")
	for _, n := range nodes[:min(len(nodes), room)] {
		up, mark := "up", Plain
		if !n.Up {
			up, mark = "down", Warn
		}
		add(mark, "%-20s %-5s %6d %7d %7d %7d %6.0f", cut(printable(n.Name), 20), up, n.Open, n.Counts.Offered, n.Counts.Served+n.Counts.Late, n.Counts.Refused, n.Memory/(1<<20))
	}
	more(add, len(nodes)-room, "gatekeepers")
	rules, mark := "rules so far:", Good
	for i, f := range s.Checker.InterimFindings() {
		word := map[history.Verdict]string{history.Held: "held", history.Broken: "BROKEN", history.Inconclusive: "-"}[f.Verdict]
		rules += fmt.Sprintf("  %s %s", [...]string{"answer", "one", "drain", "cold", "release"}[i], word)
		if f.Verdict == history.Broken {
			mark = Bad
		}
	}
	add(mark, "%s", rules)
	left := max(height-len(lines)-1, 0)
	for _, l := range s.Last[max(len(s.Last)-left, 0):] {
		add(Plain, "%s", l)
	}
	for i := range lines {
		lines[i].Text = cut(lines[i].Text, width)
	}
	return lines[:min(len(lines), height)]
}

func more(add func(Mark, string, ...any), n int, what string) {
	if n > 0 {
		add(Plain, "  and %d more %s", n, what)
	}
}

func per(n int) float64 { return float64(n) / 10 }

func cut(s string, width int) string {
	r := []rune(s)
	if len(r) <= width {
		return s
	}
	if width < 2 {
		return string(r[:max(width, 0)])
	}
	return string(r[:width-1]) + "…"
}

// Print writes the state as plain lines, for an output that is no terminal.
func (s *State) Print(w io.Writer) error {
	for _, l := range s.Lines(200, 60) {
		if _, err := fmt.Fprintln(w, strings.TrimRight(l.Text, " ")); err != nil {
			return err
		}
	}
	return nil
}

var styles = map[Mark]tcell.Style{
	Plain: tcell.StyleDefault, Head: tcell.StyleDefault.Bold(true), Good: tcell.StyleDefault.Foreground(tcell.ColorGreen),
	Warn: tcell.StyleDefault.Foreground(tcell.ColorYellow), Bad: tcell.StyleDefault.Foreground(tcell.ColorRed).Bold(true),
}

// Show runs the console on a screen until q, Escape or Ctrl-C, or until stop is closed. Items come from a channel; when it
// is closed the last state stays.
func Show(screen tcell.Screen, s *State, items <-chan record.Item, stop <-chan struct{}) {
	events := make(chan tcell.Event, 16)
	quit := make(chan struct{})
	go screen.ChannelEvents(events, quit)
	defer close(quit)
	every := time.NewTicker(200 * time.Millisecond)
	defer every.Stop()
	s.draw(screen)
	for {
		select {
		case <-stop:
			return
		case e := <-events:
			switch e := e.(type) {
			case *tcell.EventKey:
				if e.Rune() == 'q' || e.Key() == tcell.KeyEscape || e.Key() == tcell.KeyCtrlC {
					return
				}
			case *tcell.EventResize:
				screen.Sync()
				s.draw(screen)
			}
		case i, ok := <-items:
			if !ok {
				items = nil
				s.Mode += ", ended"
				s.draw(screen)
				continue
			}
			s.Item(i)
		case <-every.C:
			s.draw(screen)
		}
	}
}

func (s *State) draw(screen tcell.Screen) {
	width, height := screen.Size()
	screen.Clear()
	lines := s.Lines(width, height-1)
	lines = append(lines, Line{"q quits", Plain})
	for y, l := range lines {
		x := 0
		for _, r := range l.Text {
			screen.SetContent(x, y, r, nil, styles[l.Mark])
			x++
		}
	}
	screen.Show()
}
