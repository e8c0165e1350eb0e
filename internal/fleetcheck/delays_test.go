package fleetcheck

import (
	"testing"

	"beammux/control"
	"beammux/internal/history"
)

// A late answer is excused by what its gatekeeper or the laboratory was measured to have waited where that counts, and by no
// more. A program that is really broken is found under any disturbance: one that never answers, one that is later than what was
// waited, and one that is late while another waited.
func TestLateAnswersAreExcusedByMeasuredWaitsAlone(t *testing.T) {
	waited := func(from, to control.Micros, process string, span control.Micros) Event {
		e := at(to, ProcessorDelayed, process)
		e.Span, e.Value = span*ms, float64(to-from)/1000
		return e
	}
	ready, tried := at(0, Ready, "g1"), called(1000, Tried, "") // due at 2000
	expired := called(2050, Expired, "")
	late := func(when control.Micros) Event { return called(when, AnsweredLate, "close") }
	for name, row := range map[string]struct {
		broken, excused int
		events          []Event
	}{
		"never answered, whatever waited":   {1, 0, []Event{ready, tried, expired, waited(2050, 2100, "g1", 5000), waited(2050, 2100, Laboratory, 5000)}},
		"nothing waited":                    {1, 0, []Event{ready, tried, expired, late(2120)}},
		"its gatekeeper waited":             {0, 1, []Event{ready, tried, expired, waited(2050, 2100, "g1", 80), late(2120)}},
		"seen after the answer":             {0, 1, []Event{ready, tried, expired, late(2120), waited(2110, 2300, "g1", 80)}},
		"it waited for less":                {1, 0, []Event{ready, tried, expired, waited(2050, 2100, "g1", 60), late(2120)}},
		"another gatekeeper waited":         {1, 0, []Event{ready, tried, expired, waited(2050, 2100, "g2", 80), late(2120)}},
		"the laboratory waited":             {0, 1, []Event{ready, tried, expired, waited(2010, 2100, Laboratory, 80), late(2120)}},
		"both waited":                       {0, 1, []Event{ready, tried, expired, waited(2010, 2100, Laboratory, 40), waited(2050, 2100, "g1", 40), late(2120)}},
		"on the way to the gatekeeper":      {0, 1, []Event{ready, tried, waited(1010, 1100, "g1", 80), expired, late(2120)}},
		"while the call was out":            {1, 0, []Event{ready, tried, waited(1400, 1450, "g1", 80), expired, late(2120)}},
		"after the answer":                  {1, 0, []Event{ready, tried, expired, late(2120), waited(2130, 2300, "g1", 80)}},
		"answered late, nothing waited":     {1, 0, []Event{ready, tried, called(2200, Refused, "")}},
		"answered late, waited as long":     {0, 1, []Event{ready, tried, waited(2000, 2190, "g1", 150), called(2200, Refused, "")}},
		"answered late, waited for less":    {1, 0, []Event{ready, tried, waited(2000, 2190, "g1", 140), called(2200, Refused, "")}},
		"its connection ended, all waited":  {1, 0, []Event{ready, tried, waited(1050, 1100, "g1", 5000), called(1400, Broken, "")}},
		"a second answer, whatever waited":  {1, 0, []Event{ready, tried, waited(1010, 1100, "g1", 500), called(1200, Refused, ""), called(1300, Failed, "")}},
		"always late, disturbed for a call": {2, 1, broken(ready, waited)},
	} {
		t.Run(name, func(t *testing.T) {
			if f := find(t, judge(t, row.events...), RuleFinal); f.Count != row.broken || f.Excused != row.excused {
				t.Errorf("%+v", f)
			}
		})
	}
}

// broken is a program that is always 100 ms late, of which one call of three was disturbed.
func broken(ready Event, waited func(from, to control.Micros, process string, span control.Micros) Event) []Event {
	all := []Event{ready}
	for i := range control.Micros(3) {
		start := 1000 + 2000*i
		for _, e := range []Event{called(start, Tried, ""), called(start+1050, Expired, ""), called(start+1100, AnsweredLate, "close")} {
			e.Call = string(rune('a' + i))
			all = append(all, e)
		}
	}
	return append(all, waited(6050, 6200, "g1", 500))
}

// The same for the answers in a gatekeeper's own records.
func TestLateRecordsAreExcusedByMeasuredWaitsAlone(t *testing.T) {
	for _, row := range []struct {
		waits            string
		span             control.Micros
		answered         control.Micros
		broken, excluded int
	}{
		{"g1", 0, 2120, 1, 0}, {"g1", 80, 2120, 0, 1}, {"g1", 60, 2120, 1, 0}, {"g2", 80, 2120, 1, 0},
		{Laboratory, 80, 2120, 1, 0}, // its records do not depend on the laboratory
	} {
		c := New("front-", nil)
		for i, e := range []history.Event{
			{Kind: history.Started, Rules: &history.Rules{AnswerSlack: 50 * ms}},
			{Kind: history.Received, Call: "c", At: 1000 * ms, Span: 1000 * ms},
			{Kind: history.Refused, Call: "c", At: row.answered * ms},
		} {
			e.Node, e.Seq = "g1", uint64(i+1)
			if e.Kind == history.Refused && row.span > 0 {
				w := at(2100, ProcessorDelayed, row.waits)
				w.Span, w.Value = row.span*ms, 0.05
				c.Event(&w)
			}
			c.Record(&e, Place{})
		}
		if f := find(t, c.Result(), "records: "+history.RuleAnswer); f.Count != row.broken || f.Excused != row.excluded {
			t.Errorf("%+v: %+v", row, f)
		}
	}
}

// A conviction counts as one while the callers call up to their last try, and not after it.
func TestConvictionsWhileCalled(t *testing.T) {
	for _, row := range []struct {
		lastTry control.Micros
		want    int
	}{{9000, 1}, {8000, 1}, {7999, 0}} {
		v := NewVerdicts("front-", map[string][]uint32{"1 slow": {3}}, nil)
		c := New("front-", nil, v)
		slow := at(1000, FaultBegan, "")
		slow.What = "1 slow"
		judged := at(8000, VerdictsRead, "g1")
		judged.Peer = "3"
		for _, e := range []Event{at(0, Ready, "g1"), slow, called(min(row.lastTry, 8000), Tried, ""), judged} {
			c.Event(&e)
		}
		if row.lastTry > 8000 {
			e := called(row.lastTry, Tried, "")
			c.Event(&e)
		}
		c.Result()
		if s := v.Stats(); s.Convicted != 1 || s.ConvictedWhileCalled != row.want {
			t.Errorf("last try at %d: %+v", row.lastTry, s)
		}
	}
}
