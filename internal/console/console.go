// Package console displays a fleet on a terminal, either live from gatekeepers' console sockets or as a replay of records.
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

// lastEvents is the number of recent events that are kept for display.
const lastEvents = 200

// State is the data that the console displays. It is not safe for concurrent use.
type State struct {
	Fleet   *history.Fleet
	Checker *history.Checker
	Rates   history.Rates
	Mode    string // source of the data: "live", or a replay and its speed
	Now     control.Micros
	Last    []string             // recent events as text, newest last
	level   map[nodeServer]level // as last reported by each gatekeeper
}

// nodeServer identifies a server as seen by one gatekeeper.
type nodeServer struct {
	node   string
	server uint32
}

// level is one gatekeeper's view of a server.
type level struct {
	level int
	wait  control.Micros
}

// NewState returns an empty State.
func NewState(mode string) *State {
	s := &State{Fleet: history.NewFleet(), Checker: history.NewChecker(nil), Mode: mode, level: map[nodeServer]level{}}
	s.Fleet.OnMoment = s.addMoment
	return s
}

// Item applies an event or a gap to the state.
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
		s.level[nodeServer{e.Node, e.Server}] = level{e.Level, e.Span}
	}
	s.Fleet.Event(e)
	s.Checker.Event(e)
}

// addMoment adds a line for a notable moment to the recent events.
func (s *State) addMoment(m history.Moment) {
	parts := []string{clock(m.At), printable(m.Node), m.Type}
	if m.Server != 0 {
		parts = append(parts, s.serverName(m.Server))
	}
	s.addEvent(strings.Join(append(parts, printable(m.Detail)), " "))
}

// addEvent adds a line to the recent events.
func (s *State) addEvent(text string) {
	s.Last = append(s.Last, strings.Join(strings.Fields(text), " "))
	if len(s.Last) > lastEvents {
		s.Last = s.Last[len(s.Last)-lastEvents:]
	}
}

// serverName returns the printable name of a server, or its number if it has none.
func (s *State) serverName(id uint32) string {
	if sv := s.Fleet.Servers[id]; sv != nil && sv.Name != "" {
		return printable(sv.Name)
	}
	return strconv.FormatUint(uint64(id), 10)
}

// clock formats a time as HH:MM:SS in UTC.
func clock(at control.Micros) string { return time.UnixMicro(int64(at)).UTC().Format("15:04:05") }

// printable replaces non-graphic characters, so that texts from records cannot send control sequences to the terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if strconv.IsGraphic(r) {
			return r
		}
		return '?'
	}, s)
}

// Line is one line of the screen with its emphasis.
type Line struct {
	Text     string
	Emphasis Emphasis
}

// Emphasis is the role of a line, which selects its terminal style.
type Emphasis int

// The values of Emphasis.
const (
	Plain Emphasis = iota
	Heading
	Good
	Warn
	Bad
)

// Lines renders the state in at most height lines of at most width columns: the fleet's rates, the servers, the gatekeepers,
// the rules, and the latest events in the remaining lines. 80x24 fits 3 classes, 4 servers and 4 gatekeepers; if there are
// more, the first ones are shown.
func (s *State) Lines(width, height int) (lines []Line) {
	add := func(emphasis Emphasis, format string, args ...any) {
		lines = append(lines, Line{fmt.Sprintf(format, args...), emphasis})
	}
	add(Heading, "beammux  %s  %s UTC  gatekeepers: %d  events: %d", s.Mode, clock(s.Now), len(s.Fleet.Nodes), s.Fleet.Events)
	maxRows := max((height-11)/3, 2) // lines for the servers, and as many for the gatekeepers
	add(Heading, "%-14s %9s %9s %9s %9s", "class, last 10 s", "offered/s", "stood/s", "refused/s", "failed/s")
	for i, c := range s.Fleet.Rules.Classes[:min(len(s.Fleet.Rules.Classes), 4)] {
		r := s.Rates.Last(s.Now, i)
		emphasis := Plain
		if r.Failed > 0 {
			emphasis = Bad
		} else if r.Refused > 0 {
			emphasis = Warn
		}
		add(emphasis, "%-16s %7.1f   %7.1f   %7.1f   %7.1f", truncate(printable(c.Name), 16), perSecond(r.Offered), perSecond(r.Served), perSecond(r.Refused), perSecond(r.Failed))
	}
	servers := s.Fleet.ServerList()
	add(Heading, "%-20s %-8s %6s %7s %6s %8s", "server", "list", "gated", "wait", "stood", "full")
	for _, sv := range servers[:min(len(servers), maxRows)] {
		gated, wait := 0, control.Micros(0)
		for _, n := range s.Fleet.NodeList() {
			l := s.level[nodeServer{n.Name, sv.ID}]
			if l.level >= 2 {
				gated++
			}
			wait = max(wait, l.wait)
		}
		emphasis := Plain
		if gated > 0 {
			emphasis = Bad
		} else if sv.State != control.Ready {
			emphasis = Warn
		}
		add(emphasis, "%-20s %-8s %2d of %2d %5.2f s %6d %8d", truncate(s.serverName(sv.ID), 20), sv.State, gated, len(s.Fleet.Nodes), float64(wait)/1e6, sv.Established, sv.Full)
	}
	addRemainder(add, len(servers)-maxRows, "servers")
	nodes := s.Fleet.NodeList()
	add(Heading, "%-20s %-5s %6s %7s %7s %7s %6s", "gatekeeper", "", "open", "taken", "stood", "refused", "MB")
	for _, n := range nodes[:min(len(nodes), maxRows)] {
		up, emphasis := "up", Plain
		if !n.Up {
			up, emphasis = "down", Warn
		}
		add(emphasis, "%-20s %-5s %6d %7d %7d %7d %6.0f", truncate(printable(n.Name), 20), up, n.Open, n.Counts.Offered, n.Counts.Served+n.Counts.Late, n.Counts.Refused, n.Memory/(1<<20))
	}
	addRemainder(add, len(nodes)-maxRows, "gatekeepers")
	rules, emphasis := "rules so far:", Good
	for i, f := range s.Checker.InterimFindings() {
		verdict := map[history.Verdict]string{history.Held: "held", history.Broken: "BROKEN", history.Inconclusive: "-"}[f.Verdict]
		rules += fmt.Sprintf("  %s %s", [...]string{"answer", "one", "drain", "cold", "release"}[i], verdict)
		if f.Verdict == history.Broken {
			emphasis = Bad
		}
	}
	add(emphasis, "%s", rules)
	remaining := max(height-len(lines)-1, 0)
	for _, l := range s.Last[max(len(s.Last)-remaining, 0):] {
		add(Plain, "%s", l)
	}
	for i := range lines {
		lines[i].Text = truncate(lines[i].Text, width)
	}
	return lines[:min(len(lines), height)]
}

// addRemainder adds a line with the number of items that are not shown.
func addRemainder(add func(Emphasis, string, ...any), n int, items string) {
	if n > 0 {
		add(Plain, "  and %d more %s", n, items)
	}
}

// perSecond converts a count of the last 10 s to a rate per second.
func perSecond(n int) float64 { return float64(n) / 10 }

// truncate truncates s to width characters, with an ellipsis if there is room for one.
func truncate(s string, width int) string {
	r := []rune(s)
	if len(r) <= width {
		return s
	}
	if width < 2 {
		return string(r[:max(width, 0)])
	}
	return string(r[:width-1]) + "…"
}

// Print writes the state as plain lines, for an output that is not a terminal.
func (s *State) Print(w io.Writer) error {
	for _, l := range s.Lines(200, 60) {
		if _, err := fmt.Fprintln(w, strings.TrimRight(l.Text, " ")); err != nil {
			return err
		}
	}
	return nil
}

// styles holds the terminal style for each emphasis.
var styles = map[Emphasis]tcell.Style{
	Plain: tcell.StyleDefault, Heading: tcell.StyleDefault.Bold(true), Good: tcell.StyleDefault.Foreground(tcell.ColorGreen),
	Warn: tcell.StyleDefault.Foreground(tcell.ColorYellow), Bad: tcell.StyleDefault.Foreground(tcell.ColorRed).Bold(true),
}

// Show runs the console on a screen until q, Escape or Ctrl-C is pressed or stop is closed. After items is closed, the last
// state stays on the screen.
func Show(screen tcell.Screen, s *State, items <-chan record.Item, stop <-chan struct{}) {
	events := make(chan tcell.Event, 16)
	quit := make(chan struct{})
	go screen.ChannelEvents(events, quit)
	defer close(quit)
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
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
		case <-ticker.C:
			s.draw(screen)
		}
	}
}

// draw renders the state to the screen.
func (s *State) draw(screen tcell.Screen) {
	width, height := screen.Size()
	screen.Clear()
	lines := s.Lines(width, height-1)
	lines = append(lines, Line{"q quits", Plain})
	for y, l := range lines {
		x := 0
		for _, r := range l.Text {
			screen.SetContent(x, y, r, nil, styles[l.Emphasis])
			x++
		}
	}
	screen.Show()
}
