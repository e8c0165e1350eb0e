package fleetcheck

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"beammux/control"
	"beammux/internal/history"
)

const ms = control.Micros(1000)

// course is a run of one call, c, sent to g1 at 1 s with 1 s to be answered; what is added is merged by time.
func judge(t *testing.T, events ...Event) *Result {
	t.Helper()
	c := New("front-", nil)
	for i := range events {
		e := events[i]
		if i > 0 && e.At < events[i-1].At {
			t.Fatalf("event %d is out of order", i)
		}
		c.Event(&e)
	}
	return c.Result()
}

func find(t *testing.T, r *Result, rule string) Finding {
	t.Helper()
	for _, f := range r.Findings {
		if f.Rule == rule {
			return f
		}
	}
	t.Fatalf("no finding of %q", rule)
	return Finding{}
}

func at(when control.Micros, kind Kind, process string) Event {
	return Event{At: when * ms, Kind: kind, Process: process, Place: Place{"f", int(when)}}
}

func called(when control.Micros, kind Kind, what string) Event {
	e := at(when, kind, "g1")
	e.Call, e.What = "c", what
	if kind == Tried {
		e.Span = 1000 * ms
	}
	return e
}

func way(when control.Micros, kind Kind, from, to string) Event {
	e := at(when, kind, from)
	e.Peer = to
	return e
}

// Each rule is judged just in and just out of its figures, and what excuses is told from what does not.
func TestVerdicts(t *testing.T) {
	ready, tried := at(0, Ready, "g1"), called(1000, Tried, "")
	given := at(1100, ServerEstablished, "s1")
	given.Call, given.What = "c", "d"
	errorLine := at(1500, Logged, "g1")
	errorLine.Level, errorLine.What = "error", "no decision by the deadline: call failed"
	panicLine := at(1500, Logged, "g1")
	panicLine.Level, panicLine.What = "panic", "panic: x"
	for name, row := range map[string]struct {
		rule    string
		broken  int
		excused int
		events  []Event
	}{
		"served":                 {RuleServed, 0, 0, []Event{ready, tried, given, called(1200, Established, "d")}},
		"served by none":         {RuleServed, 1, 0, []Event{ready, tried, called(1200, Established, "d")}},
		"served another's":       {RuleServed, 1, 0, []Event{ready, tried, given, called(1200, Established, "e")}},
		"two answers":            {RuleFinal, 1, 0, []Event{ready, tried, called(1200, Refused, ""), called(1300, Failed, "")}},
		"told twice":             {RuleFinal, 1, 0, []Event{ready, tried, called(1200, Refused, ""), called(1300, ExtraAnswer, "ready")}},
		"released unknown":       {RuleFinal, 1, 0, []Event{ready, tried, given, called(1200, Refused, ""), called(1900, ExtraAnswer, "close")}},
		"released, new start":    {RuleFinal, 0, 1, []Event{ready, tried, given, called(1200, Refused, ""), at(1300, Stopped, "g1"), at(1400, Ready, "g1"), called(1900, ExtraAnswer, "close")}},
		"released, never stood":  {RuleFinal, 1, 0, []Event{ready, tried, called(1200, Refused, ""), at(1300, Stopped, "g1"), at(1400, Ready, "g1"), called(1900, ExtraAnswer, "close")}},
		"to nobody's call":       {RuleFinal, 1, 0, []Event{ready, called(1200, Refused, "")}},
		"in time":                {RuleFinal, 0, 0, []Event{ready, tried, called(2150, Refused, "")}},
		"late":                   {RuleFinal, 1, 0, []Event{ready, tried, called(2151, Refused, "")}},
		"never":                  {RuleFinal, 1, 0, []Event{ready, tried, called(2200, Expired, "")}},
		"never, killed":          {RuleFinal, 0, 1, []Event{ready, tried, at(1500, Stopped, "g1"), called(2200, Expired, "")}},
		"never, another killed":  {RuleFinal, 1, 0, []Event{ready, tried, at(1500, Stopped, "g2"), called(2200, Expired, "")}},
		"never, killed before":   {RuleFinal, 1, 0, []Event{ready, at(100, Stopped, "g1"), at(500, Ready, "g1"), tried, called(2200, Expired, "")}},
		"never, just back":       {RuleFinal, 0, 1, []Event{ready, at(100, Stopped, "g1"), at(800, Ready, "g1"), tried, called(2200, Expired, "")}},
		"never, paused":          {RuleFinal, 0, 1, []Event{ready, tried, at(1500, Paused, "g1"), at(1600, Resumed, "g1"), called(2200, Expired, "")}},
		"never, callers cut":     {RuleFinal, 0, 1, []Event{ready, tried, way(1500, LinkFaulty, "g1", "front-a"), way(1600, LinkHealed, "g1", "front-a"), called(2200, Expired, "")}},
		"never, servers cut":     {RuleFinal, 1, 0, []Event{ready, tried, way(1500, LinkFaulty, "g1", "s1"), way(1600, LinkHealed, "g1", "s1"), called(2200, Expired, "")}},
		"never, cut and healed":  {RuleFinal, 1, 0, []Event{ready, way(500, LinkFaulty, "front-a", "g1"), way(600, LinkHealed, "front-a", "g1"), tried, called(2200, Expired, "")}},
		"connection ended":       {RuleFinal, 1, 0, []Event{ready, tried, called(1051, Broken, "")}},
		"crossed the close":      {RuleFinal, 0, 0, []Event{ready, tried, called(1050, Broken, "")}},
		"asked, owed":            {RuleFinal, 1, 0, []Event{ready, at(400, StopRequested, "g1"), tried, called(2200, Expired, "")}},
		"asked, too late":        {RuleFinal, 0, 1, []Event{ready, at(299, StopRequested, "g1"), tried, called(2200, Expired, "")}},
		"asked, and up again":    {RuleFinal, 1, 0, []Event{ready, at(100, StopRequested, "g1"), at(200, Stopped, "g1"), at(400, Ready, "g1"), tried, called(2200, Expired, "")}},
		"crash":                  {RuleNoCrash, 1, 0, []Event{ready, at(500, Crashed, "g1")}},
		"panic in the log":       {RuleLog, 1, 0, []Event{ready, panicLine}},
		"missed decision":        {RuleLog, 1, 0, []Event{ready, errorLine}},
		"missed, it stood still": {RuleLog, 0, 1, []Event{ready, at(900, Paused, "g1"), at(1400, Resumed, "g1"), errorLine}},
	} {
		t.Run(name, func(t *testing.T) {
			r := judge(t, row.events...)
			f := find(t, r, row.rule)
			if f.Count != row.broken || f.Excused != row.excused {
				t.Errorf("broken %d, excused %d: %+v", f.Count, f.Excused, f)
			}
			if (row.broken > 0) == r.Held() {
				t.Errorf("held %v with %d breaks", r.Held(), row.broken)
			}
			if row.broken > 0 && (r.Rule != row.rule || r.First.Process != "g1" || r.First.Place == "") {
				t.Errorf("first broken: %s, %v", r.Rule, r.First)
			}
		})
	}
}

// A set-up counts by the level that its gatekeeper held the server at when it decided.
func TestGated(t *testing.T) {
	for level, broken := range []int{0, 0, 1, 1, 1} {
		c := New("front-", nil)
		c.Record(&history.Event{At: 5, Kind: history.Sent, Node: "g1", Server: 7, Call: "c", Level: level}, Place{"records/g1", 3})
		r := c.Result()
		if f := find(t, r, RuleGated); f.Count != broken || r.Stats.Gated != broken {
			t.Errorf("level %d: %+v", level, f)
		}
	}
}

// The five rules of the records count too: a set-up that a draining server gets is found, and a late answer of a gatekeeper
// that was paused is excused.
func TestRulesOfRecords(t *testing.T) {
	rules := &history.Rules{Classes: []history.Class{{Name: "x"}}, DrainGrace: 250 * ms, ReleaseGuard: 300 * ms, FallTime: 1000 * ms}
	run := func(paused bool) *Result {
		c := New("front-", nil)
		if paused {
			e := at(1500, Paused, "g1")
			c.Event(&e)
			e = at(2500, Resumed, "g1")
			c.Event(&e)
		}
		for i, e := range []history.Event{
			{At: 0, Kind: history.Started, Rules: rules},
			{At: 1, Kind: history.Listed, Server: 7, State: control.Draining},
			{At: 1000 * ms, Kind: history.Received, Call: "c", Span: 1000 * ms},
			{At: 1100 * ms, Kind: history.Sent, Call: "c", Server: 7},
			{At: 2600 * ms, Kind: history.Established, Call: "c", Server: 7},
		} {
			e.Node = "g1"
			c.Record(&e, Place{"records/g1", i})
		}
		return c.Result()
	}
	for _, paused := range []bool{false, true} {
		r := run(paused)
		if f := find(t, r, "records: "+history.RuleDrain); f.Count != 1 || f.Verdict != history.Broken {
			t.Errorf("drain: %+v", f)
		}
		if f := find(t, r, "records: "+history.RuleAnswer); (f.Count == 0) != paused || (f.Excused == 1) != paused {
			t.Errorf("answer, paused %v: %+v", paused, f)
		}
	}
}

// The time to settle counts from the end of a fault to the first second in which calls stand as before, and not before the
// gatekeepers that it took down are ready.
func TestSettle(t *testing.T) {
	run := func(until control.Micros, back control.Micros) Settled {
		c := New("front-", nil)
		events := []Event{}
		for when := control.Micros(0); when < 12000; when += 20 {
			switch when {
			case 4000:
				events = append(events, Event{At: when * ms, Kind: FaultBegan, What: "kill"}, at(when, Stopped, "g1"))
			case 6000:
				events = append(events, Event{At: when * ms, Kind: FaultEnded, What: "kill"})
			case back:
				events = append(events, at(when, Ready, "g1"))
			}
			e := Event{At: when * ms, Kind: Tried, Process: "g2", Call: string(rune(when)), Span: 100 * ms}
			events = append(events, e)
			e.Kind, e.At = Established, e.At+1
			if when >= 4000 && when < until {
				e.Kind = Refused
			}
			events = append(events, e)
		}
		for i := range events {
			c.Event(&events[i])
		}
		return c.Result().Faults[0]
	}
	if s := run(6500, 6200); s.ShareBefore != 1 || s.ShareDuring > 0.05 || s.SettleTime < 400*ms || s.SettleTime > 600*ms {
		t.Errorf("calls stand 0.5 s after: %+v", s)
	}
	if s := run(6500, 8000); s.SettleTime != 2000*ms {
		t.Errorf("ready 2 s after: %+v", s)
	}
	if s := run(6500, 13000); s.SettleTime != -1 {
		t.Errorf("never ready: %+v", s)
	}
	if s := run(12000, 6200); s.SettleTime != -1 {
		t.Errorf("never back: %+v", s)
	}
}

func seen(when control.Micros, process, hash, up string) Event {
	e := at(when, ViewRead, process)
	e.What, e.Peer = hash, up
	return e
}

// Views agree when every gatekeeper that runs holds the same, with just those up. A kill is noticed once the others hold
// themselves alone, and over once all hold all again; agreement that does not last is none.
func TestViews(t *testing.T) {
	events := []Event{at(0, Ready, "g1"), at(0, Ready, "g2"), at(0, Ready, "g3")}
	for when := control.Micros(100); when < 12000; when += 200 {
		switch when {
		case 2100:
			events = append(events, Event{At: 2000 * ms, Kind: FaultBegan, What: "kill g1"}, at(2000, Stopped, "g1"))
		case 7100:
			events = append(events, Event{At: 7000 * ms, Kind: FaultEnded, What: "kill g1"})
		case 7500:
			events = append(events, at(7400, Ready, "g1"))
		}
		for _, g := range []string{"g1", "g2", "g3"} {
			hash, up := "all", "g1 g2 g3"
			switch {
			case when > 2000 && when < 7500 && g == "g1":
				continue
			case when > 5000 && when < 8500 || g == "g3" && when > 4000 && when < 8500: // g3 gives g1 up a second before g2
				hash, up = "two", "g2 g3"
			}
			events = append(events, seen(when, g, hash, up))
		}
	}
	// Another fault half a second after they agreed again: that agreement counts, although it did not last.
	short := []Event{}
	for _, e := range events {
		if e.At > 9000*ms && len(short) < len(events) {
			short = append(short, Event{At: 9000 * ms, Kind: FaultBegan, What: "pause g2"}, at(9000, Paused, "g2"))
			break
		}
		short = append(short, e)
	}
	if f := judge(t, short...).Faults[0]; f.Agreed != 1100*ms {
		t.Errorf("cut short by the next fault: agreed after %d", f.Agreed)
	}
	f := judge(t, events...).Faults[0]
	if f.Noticed != 3100*ms || f.Agreed != 1100*ms || f.AgreedAt != 8500*ms {
		t.Errorf("noticed after %d, agreed after %d, at %d", f.Noticed, f.Agreed, f.AgreedAt)
	}
}

// A member that is given up while it runs and nothing is in trouble breaks the rule; trouble among gatekeepers, a restart
// or a pause shortly before excuses it.
func TestGivenUp(t *testing.T) {
	gave := at(40000, Logged, "g1")
	gave.What, gave.Peer = "fleet: member given up", "g2"
	first := called(100, Tried, "")
	base := []Event{at(0, Ready, "g1"), at(0, Ready, "g2"), first}
	for name, row := range map[string]struct {
		broken int
		events []Event
	}{
		"calm":             {1, nil},
		"long ago":         {1, []Event{way(10000, LinkFaulty, "g1", "g2"), way(20000, LinkHealed, "g1", "g2")}},
		"still cut":        {0, []Event{way(10000, LinkFaulty, "g1", "g2")}},
		"just healed":      {0, []Event{way(10000, LinkFaulty, "g1", "g2"), way(30000, LinkHealed, "g1", "g2")}},
		"callers' way":     {1, []Event{way(10000, LinkFaulty, "front-a", "g2")}},
		"paused":           {0, []Event{at(30000, Paused, "g2"), at(39000, Resumed, "g2")}},
		"it was paused":    {0, []Event{at(30000, Paused, "g1"), at(39000, Resumed, "g1")}},
		"down":             {0, []Event{at(10000, Stopped, "g2")}},
		"restarted":        {0, []Event{at(38000, Stopped, "g2"), at(39000, Ready, "g2")}},
		"restarted before": {1, []Event{at(10000, Stopped, "g2"), at(11000, Ready, "g2")}},
	} {
		events := append(append(append([]Event{}, base...), row.events...), gave)
		if f := find(t, judge(t, events...), RuleGivenUp); f.Count != row.broken || f.Excused != 1-row.broken {
			t.Errorf("%s: %+v", name, f)
		}
	}
}

// A gatekeeper that counts calls twice is found, and one that counts a dead member; neither is what goes by the callers.
func TestRatesRule(t *testing.T) {
	run := func(value float64, readAt control.Micros, origins string) Finding {
		c := New("front-", nil, NewRates(6e6, 2e6))
		for i := range control.Micros(200) {
			e := at(i*50, Tried, "g1")
			e.Call, e.Span = fmt.Sprint(i), 1e9
			c.Event(&e)
		}
		stopped := at(10_000, Stopped, "g2")
		c.Event(&stopped)
		e := at(readAt, RateRead, "g1")
		e.Peer, e.Value = origins, value
		c.Event(&e)
		return find(t, c.Result(), RuleRates)
	}
	for _, row := range []struct {
		value   float64
		at      control.Micros
		origins string
		want    int
	}{{20, 10_001, "g1 g2", 0}, {30, 10_001, "g1 g2", 0}, {40, 10_001, "g1", 1}, {20, 17_400, "g1 g2", 0}, {20, 17_600, "g1 g2", 1}, {20, 17_600, "g1 g3", 0}} {
		if f := run(row.value, row.at, row.origins); f.Count != row.want {
			t.Errorf("%+v: %+v", row, f)
		}
	}
}

// A fleet that lets in one call more than its limit allows over any window is found; a lower limit binds once it has settled,
// and the near mode's looseness counts only while what makes it loose is on.
func TestLimitRule(t *testing.T) {
	type row struct {
		at   control.Micros // ms
		kind Kind           // 0: so many are let in
		n    int
	}
	run := func(loose float64, rows ...row) Finding {
		l := NewLimit(10, 5, 2e6, map[string]float64{"1 delay": loose}, 0)
		c := New("front-", nil, l)
		start := at(0, Tried, "g1")
		c.Event(&start)
		for _, r := range rows {
			e := at(r.at, r.kind, "g1")
			e.What, e.Value, e.Class = "1 delay", 5, "5"
			if r.kind != 0 {
				c.Event(&e)
			}
			for range r.n {
				c.Record(&history.Event{At: e.At, Kind: history.Admitted, Node: "g1"}, e.Place)
			}
		}
		return find(t, c.Result(), RuleLimit)
	}
	for i, c := range []struct {
		got  Finding
		want int
	}{
		{run(0, row{1000, 0, 5}, row{1100, 0, 1}, row{1200, 0, 1}), 0},
		{run(0, row{1000, 0, 6}), 1},
		{run(0, row{1000, 0, 5}, row{1099, 0, 1}), 1},
		{run(0, row{1000, 0, 5}, row{9000, 0, 6}), 1},
		{run(0, row{1000, LimitChanged, 0}, row{2900, 0, 5}, row{3000, 0, 1}, row{3100, 0, 1}), 0}, // the lower one begins at 3 s, anew
		{run(0, row{1000, LimitChanged, 0}, row{3100, 0, 5}, row{3200, 0, 1}), 1},
		{run(2, row{1000, 0, 5}, row{1001, FaultBegan, 0}, row{1101, 0, 3}), 0},
		{run(2, row{1000, 0, 5}, row{1001, FaultBegan, 0}, row{1101, 0, 4}), 1},
		{run(2, row{1000, FaultBegan, 0}, row{1001, FaultEnded, 0}, row{9000, 0, 5}, row{9100, 0, 2}), 1},
	} {
		if c.got.Count != c.want {
			t.Errorf("%d: %+v", i, c.got)
		}
	}
}

// Verdicts on a server that is well, that one member misses, or that are not kept to are found; those on an ill one are not.
func TestVerdictsRule(t *testing.T) {
	judged := func(when control.Micros, who, held string) Event {
		e := at(when, VerdictsRead, who)
		e.Peer = held
		return e
	}
	run := func(ill bool, sent control.Micros, events ...Event) Finding {
		v := NewVerdicts("front-", map[string][]uint32{"1 hang": {3}}, nil)
		c := New("front-", nil, v)
		for _, name := range []string{"g1", "g2"} {
			e := at(0, Ready, name)
			c.Event(&e)
		}
		if ill {
			e := at(7500, FaultBegan, "")
			e.What = "1 hang"
			c.Event(&e)
		}
		for _, e := range events {
			c.Event(&e)
		}
		if sent > 0 {
			c.Record(&history.Event{At: sent * ms, Kind: history.Sent, Node: "g1", Server: 3}, Place{})
		}
		return find(t, c.Result(), RuleVerdicts)
	}
	var both []Event
	for when := control.Micros(8000); when <= 14000; when += 200 {
		both = append(both, judged(when, "g1", "3"), judged(when, "g2", "3"))
	}
	phase := func(when control.Micros, phase string) Event {
		e := at(when, VerdictPhaseChanged, "g1")
		e.Peer, e.What = "3", phase
		return e
	}
	tried := func(phases ...Event) []Event {
		all := append(slices.Clone(both), phases...)
		slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
		return all
	}
	var one []Event
	for when := control.Micros(8000); when <= 14000; when += 200 {
		one = append(one, judged(when, "g1", "3"), judged(when, "g2", ""))
	}
	for i, row := range []struct {
		got  Finding
		want int
	}{
		{run(true, 0, both...), 0},
		{run(false, 0, both...), 1},
		{run(true, 0, one...), 1},
		{run(true, 10000, both...), 1},
		{run(true, 8300, both...), 0},
		{run(true, 10050, tried(phase(7950, "out"), phase(10010, "trial"), phase(10090, "out"))...), 0}, // a trial between two readings
		{run(true, 10120, tried(phase(7950, "out"), phase(10010, "trial"), phase(10090, "out"))...), 1},
		{run(true, 10005, tried(phase(7950, "out"), phase(10010, "trial"), phase(10090, "out"))...), 1},
		{run(true, 0, append([]Event{way(7900, LinkFaulty, "g1", "g2")}, one...)...), 0},
	} {
		if row.got.Count != row.want {
			t.Errorf("%d: %+v", i, row.got)
		}
	}
}
