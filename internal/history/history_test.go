package history

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"beammux/control"
)

// The same steps each time: a verdict must not change from run to run.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}

const ms = control.Micros(1000)

func rules() *Rules {
	return &Rules{Classes: []Class{{"menu-view", 1500 * ms, 1, 0.25}, {"diet-order", 2000 * ms, 3, 0.25}}, Fronts: 2, DrainGrace: 250 * ms,
		ReleaseGuard: 300 * ms, FallMultiple: 2, FallTime: 1000 * ms, StartCapacity: 0.33, WarmWithin: 15000 * ms}
}

// story is a script of events at one gatekeeper, at times in milliseconds.
type story struct {
	c   *Checker
	f   *Fleet
	seq uint64
}

func newStory(capacity map[uint32]float64) *story {
	s := &story{c: NewChecker(capacity), f: NewFleet()}
	s.at(0, Event{Kind: Started, Rules: rules()})
	return s
}

func (s *story) at(at control.Micros, e Event) *story {
	s.seq++
	e.At, e.Seq = 1e12+at*ms, s.seq
	if e.Node == "" {
		e.Node = "n1"
	}
	s.c.Event(&e)
	s.f.Event(&e)
	return s
}

func (s *story) gap(at, to control.Micros, why Why, hides bool) *story {
	g := Gap{Node: "n1", From: 1e12 + at*ms, To: 1e12 + to*ms, Why: why, Hides: hides}
	s.c.Gap(g)
	s.f.Gap(g)
	return s
}

func (s *story) taken(at control.Micros, call string) *story {
	return s.at(at, Event{Kind: Received, Call: call, Span: 3000 * ms})
}

func (s *story) sent(at control.Micros, call string, attempt int, server uint32) *story {
	return s.at(at, Event{Kind: Sent, Call: call, Attempt: attempt, Server: server})
}

func (s *story) ended(at control.Micros, call string, attempt int, code control.Code) *story {
	return s.at(at, Event{Kind: Ended, Call: call, Attempt: attempt, Server: 1, Code: code})
}

func (s *story) told(at control.Micros, server uint32, state control.State, since control.Micros) *story {
	if since > 0 {
		since = 1e12 + since*ms
	}
	return s.at(at, Event{Kind: Listed, Server: server, Name: fmt.Sprint("s-", server), State: state, Since: since})
}

func (s *story) final(at control.Micros, call string, kind Kind) *story {
	e := Event{Kind: kind, Call: call, Server: 1}
	if n := s.f.Nodes["n1"]; n != nil && kind == Established {
		e.Span = 1e12 + at*ms - n.calls[call].at
	}
	return s.at(at, e)
}

// verdicts gives the five in order, as letters: h, b, n.
func (s *story) verdicts() string {
	out := ""
	for _, f := range s.c.Findings() {
		out += string(f.Verdict[0])
	}
	return out
}

// Each rule is found to be held and to be broken by the figures of the rule: just in, just out.
func TestVerdicts(t *testing.T) {
	good := func() *story {
		return newStory(nil).told(1, 1, control.Ready, 0).taken(10, "a").sent(11, "a", 0, 1).ended(500, "a", 0, control.TimedOut).
			sent(800, "a", 1, 1).final(900, "a", Established)
	}
	for name, row := range map[string]struct {
		s    *story
		want string
	}{
		"all is well":                      {good(), "hhhhh"},
		"refused at once":                  {good().taken(1000, "b").final(1001, "b", Refused), "hhhhh"},
		"withdrawn":                        {good().taken(1000, "b").sent(1001, "b", 0, 1).ended(1100, "b", 0, control.Cancelled).final(1100, "b", Gone).final(9000, "c", Refused), "hhhhh"},
		"at the last moment":               {good().taken(1000, "b").final(4050, "b", Failed), "hhhhh"},
		"too late":                         {good().taken(1000, "b").final(4051, "b", Failed), "bhhhh"},
		"never answered":                   {good().taken(1000, "b").taken(9000, "c").final(9001, "c", Refused), "bhhhh"},
		"still open at the end":            {good().taken(1000, "b").taken(2000, "c").final(2001, "c", Refused), "hhhhh"},
		"answered twice":                   {good().final(950, "a", Refused), "bhhhh"},
		"sent after its answer":            {good().sent(1900, "a", 2, 1), "bhhhh"},
		"taken twice":                      {good().taken(1000, "b").taken(1100, "b").final(1200, "b", Refused), "bhhhh"},
		"two attempts at once":             {good().taken(1000, "b").sent(1001, "b", 0, 1).sent(1002, "b", 1, 2).final(1003, "b", Established), "hbhhh"},
		"refused while an attempt is out":  {good().taken(1000, "b").sent(1001, "b", 0, 1).final(1003, "b", Refused), "hbhhh"},
		"a copy that was on its way":       {good().taken(1000, "b").ended(1001, "b", 0, control.TimedOut).sent(1002, "b", 0, 1).sent(1310, "b", 1, 1).final(1400, "b", Established), "hhhhh"},
		"gone while it was on its way":     {good().taken(1000, "b").ended(1001, "b", 0, control.Cancelled).final(1001, "b", Gone).sent(1002, "b", 0, 1).final(9000, "c", Refused), "hhhhh"},
		"gone, and sent once more":         {good().taken(1000, "b").sent(1001, "b", 0, 1).ended(1002, "b", 0, control.Cancelled).final(1002, "b", Gone).sent(1003, "b", 1, 1).final(9000, "c", Refused), "hhhhb"},
		"drained, within the grace":        {good().told(1000, 1, control.Draining, 0).taken(1001, "b").sent(1300, "b", 0, 1).final(1301, "b", Established), "hhhhh"},
		"drained, after the grace":         {good().told(1000, 1, control.Draining, 0).taken(1001, "b").sent(1301, "b", 0, 1).final(1302, "b", Established), "hhbhh"},
		"drained and gone: from the first": {good().told(1000, 1, control.Draining, 0).told(1200, 1, control.Gone, 0).taken(1201, "b").sent(1301, "b", 0, 1).final(1302, "b", Established), "hhbhh"},
		"up again":                         {good().told(1000, 1, control.Draining, 0).told(2000, 1, control.Ready, 0).taken(2001, "b").sent(2301, "b", 0, 1).final(2302, "b", Established), "hhhhh"},
		"sent again within the guard":      {good().taken(1000, "b").sent(1001, "b", 0, 1).ended(1100, "b", 0, control.Cut).sent(1399, "b", 1, 1).final(1400, "b", Established), "hhhhb"},
		"full needs no guard":              {good().taken(1000, "b").sent(1001, "b", 0, 1).ended(1100, "b", 0, control.Full).sent(1101, "b", 1, 1).final(1400, "b", Established), "hhhhh"},
		"ended as planned, one still open": {good().taken(1000, "b").at(1200, Event{Kind: Finished}), "bhhhh"},
		"a planned restart hides nothing":  {good().at(1200, Event{Kind: Finished}).gap(1200, 2000, Restart, false).at(2000, Event{Kind: Started, Rules: rules()}).taken(2001, "b").final(2002, "b", Refused), "hhhhh"},
		"a crash hides":                    {good().taken(1000, "b").gap(1200, 2000, Restart, true).at(2000, Event{Kind: Started, Rules: rules()}).taken(9000, "c").final(9001, "c", Refused), "nnnnn"},
		"dropped records hide":             {good().gap(1200, 2000, Lost, true), "nnnnn"},
		"damage hides":                     {good().gap(1200, 2000, Damaged, true), "nnnnn"},
		"what is broken stays so":          {good().final(950, "a", Refused).gap(1200, 2000, Damaged, true), "bnnnn"},
		"an end in the gap is no break":    {good().taken(1000, "b").sent(1001, "b", 0, 1).gap(1100, 1900, Lost, true).sent(1901, "b", 1, 1).taken(9000, "c").final(9001, "c", Refused), "nnnnn"},
	} {
		if got := row.s.verdicts(); got != row.want {
			t.Errorf("%s: %s, want %s: %+v", name, got, row.want, row.s.c.Findings())
		}
	}
	if got := (&story{c: NewChecker(nil), f: NewFleet()}).verdicts(); got != "nnnnn" {
		t.Errorf("without records: %s", got)
	}
	unknown := &story{c: NewChecker(nil), f: NewFleet()}
	if got := unknown.taken(1, "a").final(2, "a", Refused).verdicts(); got != "nnnnn" {
		t.Errorf("without the figures of the rules: %s", got)
	}
}

// The cold rule over two gatekeepers: what the warm server answered is the least that it can do.
func TestColdServer(t *testing.T) {
	play := func(capacity map[uint32]float64, perS int) string {
		s := newStory(capacity).told(1, 1, control.Ready, 0).told(1, 2, control.Ready, 20000)
		for i := range 400 { // server 1 is seen to answer 40 a second
			call := fmt.Sprint("w", i)
			s.taken(control.Micros(i*25+10), call).final(control.Micros(i*25+11), call, Established)
		}
		for i := range perS * 3 { // 3 s, from both gatekeepers
			e := Event{Kind: Sent, Call: fmt.Sprint("c", i), Server: 2, Node: []string{"n1", "n2"}[i%2]}
			s.at(control.Micros(20100+i*1000/perS), e)
		}
		return s.verdicts()
	}
	for _, row := range []struct {
		capacity map[uint32]float64
		perS     int
		want     string
	}{
		{nil, 20, "hhhhh"}, {nil, 60, "hhhnh"}, // 2 x 0.33 x 40 = 26 a second are allowed at first
		{map[uint32]float64{2: 40}, 20, "hhhhh"}, {map[uint32]float64{2: 40}, 60, "hhhbh"}, {map[uint32]float64{2: 400}, 60, "hhhhh"},
	} {
		if got := play(row.capacity, row.perS); got != row.want {
			t.Errorf("%d a second, capacity %v: %s, want %s", row.perS, row.capacity, got, row.want)
		}
	}
}

// Random legal courses break no rule; with one event taken out, put twice or moved, a gap in its place never makes a
// rule held.
func TestGapsNeverHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type step struct {
			at control.Micros
			e  Event
		}
		var steps []step
		now := control.Micros(10)
		for i := range rapid.IntRange(1, 8).Draw(t, "calls") {
			id := fmt.Sprint("c", i)
			steps = append(steps, step{now, Event{Kind: Received, Call: id, Span: 3000 * ms}})
			at := now
			for n := range rapid.IntRange(0, 3).Draw(t, "attempts") {
				at++
				steps = append(steps, step{at, Event{Kind: Sent, Call: id, Attempt: n, Server: 1}})
				at += control.Micros(rapid.IntRange(1, 300).Draw(t, "took"))
				code := rapid.SampledFrom([]control.Code{control.Full, control.TimedOut, control.Cut}).Draw(t, "code")
				steps = append(steps, step{at, Event{Kind: Ended, Call: id, Attempt: n, Server: 1, Code: code}})
				if control.Guarded.Has(code) {
					at += 300
				}
			}
			steps = append(steps, step{at + 1, Event{Kind: rapid.SampledFrom([]Kind{Refused, Failed, Gone}).Draw(t, "final"), Call: id}})
			now = at + 2
		}
		play := func(hide int) string {
			s := newStory(nil)
			for i, x := range steps {
				if i == hide {
					s.gap(x.at, x.at, Lost, true)
					continue
				}
				s.at(x.at, x.e)
			}
			s.at(now+20000, Event{Kind: Draining})
			return s.verdicts()
		}
		if got := play(-1); got != "hhhhh" {
			t.Fatalf("a legal course: %s", got)
		}
		if got := play(rapid.IntRange(0, len(steps)-1).Draw(t, "hidden")); got != "nnnnn" {
			t.Fatalf("with an event hidden: %s", got)
		}
	})
}

// The checker's memory is what is open, not what has been.
func TestCheckerForgets(t *testing.T) {
	s := newStory(nil).told(1, 1, control.Ready, 0)
	for i := range 50000 {
		call, at := fmt.Sprint("c", i), control.Micros(i*10)
		s.taken(at, call).sent(at+1, call, 0, 1).ended(at+2, call, 0, control.TimedOut).final(at+3, call, Refused)
	}
	n := s.c.nodes["n1"]
	if len(n.calls) > 3000 || len(n.ended) > 3000 || len(s.f.Nodes["n1"].calls) > 0 {
		t.Errorf("%d calls and %d ends kept", len(n.calls), len(n.ended))
	}
	if len(s.f.Bins) > binsMost {
		t.Errorf("%d bins", len(s.f.Bins))
	}
}

// The course counts calls where they were taken, by what came of them, also when bins are joined; extremes stay.
func TestFleet(t *testing.T) {
	s := newStory(nil).told(1, 1, control.Ready, 0)
	hours := 6
	for i := range hours * 360 { // one call in 10 s
		call, at := fmt.Sprint("c", i), control.Micros(i*10000+100)
		s.at(at, Event{Kind: Received, Call: call, Class: i % 2, Span: 9000 * ms})
		switch i % 4 {
		case 0:
			s.final(at+100, call, Established)
		case 1:
			s.final(at+2100, call, Established) // late for both classes
		case 2:
			s.final(at+1, call, Refused)
		default:
			s.final(at+1, call, Failed)
		}
	}
	s.at(5000000, Event{Kind: Viewed, Server: 1, Level: 4, Span: 9 * 1e6})
	s.at(5000100, Event{Kind: Viewed, Server: 1, Level: 0, Span: 1000})
	f := s.f
	f.Finalize()
	n := hours * 360 / 4
	want := []Counts{{Offered: 2 * n, Served: n, Refused: n}, {Offered: 2 * n, Late: n, Failed: n}}
	if fmt.Sprint(f.Totals) != fmt.Sprint(want) || f.Width < 16*1e6 || len(f.Bins) > binsMost {
		t.Errorf("total %v, want %v; %d bins of %d s", f.Totals, want, len(f.Bins), f.Width/1e6)
	}
	sum := []Counts{{}, {}}
	delays, most := int64(0), 0.0
	for _, b := range f.Bins {
		for i, c := range b.Classes {
			sum[i].add(c)
		}
		if b.Delay != nil {
			delays += b.Delay.TotalCount()
		}
		if v, ok := b.Views[ViewKey{"n1", 1}]; ok {
			most = max(most, v.Level.Highest)
			if v.Wait.Lowest != 1000 || v.Wait.Highest != 9e6 {
				t.Errorf("%+v", v)
			}
		}
	}
	if fmt.Sprint(sum) != fmt.Sprint(want) || delays != int64(2*n) || most != 4 {
		t.Errorf("bins hold %v and %d delays, level up to %g", sum, delays, most)
	}
	if class, part := f.WorstClass(); class != 1 || part != 0 {
		t.Errorf("worst class %d, %g", class, part)
	}
	if sv := f.Servers[1]; sv.Gated != 1 || sv.LongestWait != 9e6 || sv.Established != 2*n {
		t.Errorf("%+v", sv)
	}
}

// Moments of one kind that lie close together are one episode, however many there are; hours of them stay bounded.
func TestEpisodes(t *testing.T) {
	s := newStory(nil)
	for i := range 50000 { // a server that is gated and opened, every second for ten minutes in each hour
		at := control.Micros(i/600*3600000 + i%600*1000)
		s.at(at, Event{Kind: Viewed, Server: 1, Level: 2, Node: fmt.Sprint("n", i%3)}).at(at+1, Event{Kind: Viewed, Server: 1, Level: 0, Node: fmt.Sprint("n", i%3)})
	}
	if n := len(s.f.Episodes); n != 1+84 { // the start
		t.Fatalf("%d episodes", n)
	}
	if e := s.f.Episodes[1]; e.Count != 600 || len(e.Nodes) != 3 || e.Last-e.At != 599e6 {
		t.Errorf("%+v", e)
	}
}

// The worst 10 s are found where they are, by worth.
func TestWorstSpan(t *testing.T) {
	s := newStory(nil)
	for i := range 600 { // one a second; those of 300 to 309 are refused, and dear
		call, at := fmt.Sprint("c", i), control.Micros(i*1000+500)
		bad := i >= 300 && i < 310
		class, kind := 0, Established
		if bad {
			class, kind = 1, Refused
		}
		s.at(at, Event{Kind: Received, Call: call, Class: class, Span: 9000 * ms}).final(at+10, call, kind)
	}
	s.f.Finalize()
	if w := s.f.WorstSpan; !w.Known || w.From != 1e12+300e6 || w.Part != 0 || w.Offered != 30 {
		t.Errorf("%+v", w)
	}
}

// Gatekeepers tell a server's start by their own clocks: that is one start, and what they sent counts together.
func TestOneStartByManyClocks(t *testing.T) {
	s := newStory(map[uint32]float64{2: 10})
	for i := range 40 {
		node := fmt.Sprint("n", i%4)
		s.at(control.Micros(100+i*10), Event{Kind: Listed, Server: 2, Name: "s-2", State: control.Ready, Since: 1e12 + 50*ms + control.Micros(i%4)*20*ms, Node: node})
		s.at(control.Micros(101+i*10), Event{Kind: Sent, Call: fmt.Sprint(i), Server: 2, Node: node})
	}
	if got := s.verdicts(); got != "hhhbh" {
		t.Errorf("%s, want the cold rule broken", got)
	}
}

// What an incident was made of is told once, also when every gatekeeper hears of it.
func TestMoments(t *testing.T) {
	s := newStory(nil)
	var got []string
	s.f.OnMoment = func(m Moment) {
		got = append(got, strings.TrimSpace(fmt.Sprintf("%s %s %d %s", m.Type, m.Node, m.Server, m.Detail)))
	}
	for _, node := range []string{"n1", "n2"} {
		for _, e := range []Event{{Kind: Listed, Server: 1, Name: "s-1", State: control.Ready}, {Kind: Listed, Server: 1, Name: "s-1", State: control.Draining},
			{Kind: Listed, Server: 2, Name: "s-2", State: control.Ready, Since: 5}} {
			e.Node = node
			s.at(100, e)
		}
	}
	s.at(100, Event{Kind: Listed, Server: 2, Name: "s-2", State: control.Ready, Since: 5 + 90*ms, Node: "n3"}) // by its own clock
	s.at(200, Event{Kind: Viewed, Server: 1, Level: 2}).at(300, Event{Kind: Viewed, Server: 1, Level: 1}).at(400, Event{Kind: Reloaded, Name: "v2"})
	s.gap(500, 600, Lost, true)
	want := "server  1 draining; server  2 started anew; gated n1 1; open again n1 1; reloaded n1 0 v2; gap n1 0 dropped"
	if strings.Join(got, "; ") != want {
		t.Errorf("got  %s\nwant %s", strings.Join(got, "; "), want)
	}
}
