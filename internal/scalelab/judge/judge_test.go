package judge

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

// validLog returns a run of two gatekeepers and three changes that breaks no rule. Gatekeeper "b" refuses the second change.
func validLog() Log {
	section := func(marker, revision uint64) []Section {
		return []Section{{marker, revision}, {marker, revision}}
	}
	return Log{
		Gatekeepers: []string{"a", "b"}, Refusing: map[string]bool{"b": true}, Sections: 2, End: 60 * second, TimeLimit: 17 * second,
		Changes: []Change{{Marker: 1, Revision: 10, WriteStarted: 1 * second, Committed: 1 * second},
			{Marker: 2, Revision: 20, WriteStarted: 5 * second, Committed: 5 * second, Refusable: true},
			{Marker: 3, Revision: 30, WriteStarted: 9 * second, Committed: 10 * second}},
		Applied: []Applied{
			{"a", 1, 2 * second, 10, section(1, 10)}, {"a", 1, 6 * second, 20, section(2, 20)}, {"a", 1, 11 * second, 30, section(3, 30)},
			{"b", 1, 2 * second, 10, section(1, 10)}, {"b", 1, 12 * second, 31, section(3, 30)},
		},
		Refusals: []Refusal{{"b", 6 * second, 2}},
	}
}

func TestValidRunPasses(t *testing.T) {
	v := Check(validLog())
	require.True(t, v.Passed(), "%v", v.Listed)
	require.Len(t, v.Delays, 5)
	require.Equal(t, Delay{Marker: 3, Gatekeeper: "b", AfterCommit: 2 * second, AfterWrite: 3 * second}, v.Delays[4])
	require.Zero(t, v.NotDue)
}

// The records of a change may be applied again at the revision at which they were restored, but at no other.
func TestRestoredRecords(t *testing.T) {
	l := validLog()
	l.Applied = append(l.Applied, Applied{"a", 1, 14 * second, 5000, []Section{{3, 5000}, {3, 5000}}})
	require.Positive(t, Check(l).Counts[NeverWritten])
	l.Changes[2].Restamped = []uint64{5000}
	v := Check(l)
	require.True(t, v.Passed(), "%v", v.Listed)
	l.Applied = append(l.Applied, Applied{"a", 1, 15 * second, 5001, []Section{{3, 5001}, {3, 5001}}})
	require.Positive(t, Check(l).Counts[NeverWritten])
}

// Each case breaks one rule on purpose: the checker must report that rule and no unrelated one.
func TestEachRuleIsChecked(t *testing.T) {
	for _, row := range []struct {
		rule   Rule
		also   []Rule // rules that the same change of the log inevitably breaks too
		modify func(l *Log)
	}{
		{WentBack, []Rule{OutOfOrder}, func(l *Log) { l.Applied = append(l.Applied, Applied{"a", 1, 13 * second, 10, l.Applied[0].Sections}) }},
		{WentBack, nil, func(l *Log) { // a higher candidate revision with old records, as from a lagging replica
			l.Applied = append(l.Applied, Applied{"a", 1, 13 * second, 35, l.Applied[1].Sections})
		}},
		{WentBack, nil, func(l *Log) { // across a restart
			l.Applied = append(l.Applied, Applied{"a", 2, 13 * second, 35, l.Applied[1].Sections})
		}},
		{OutOfOrder, nil, func(l *Log) { // a lower candidate revision with the same records
			l.Applied[4].Revision = 40
			l.Applied = append(l.Applied, Applied{"b", 2, 13 * second, 39, l.Applied[4].Sections})
		}},
		{AppliedTwice, nil, func(l *Log) { l.Applied = append(l.Applied, Applied{"a", 1, 13 * second, 31, l.Applied[2].Sections}) }},
		{MixedChanges, nil, func(l *Log) { l.Applied[2].Sections = []Section{{3, 30}, {2, 20}} }},
		{MixedChanges, nil, func(l *Log) { l.Applied[2].Sections = []Section{{3, 30}} }},
		{NeverWritten, nil, func(l *Log) { l.Applied[2].Sections = []Section{{9, 30}, {9, 30}} }},
		{NeverWritten, []Rule{WentBack}, func(l *Log) { l.Applied[2].Sections = []Section{{3, 19}, {3, 19}} }},
		{NeverWritten, nil, func(l *Log) { l.Applied[2].Sections = []Section{{3, 31}, {3, 31}} }},
		{AppliedRefused, nil, func(l *Log) {
			l.Applied = slices.Insert(l.Applied, 4, Applied{"b", 1, 7 * second, 20, []Section{{2, 20}, {2, 20}}})
		}},
		{RefusalMissing, nil, func(l *Log) { l.Refusals = nil }},
		{UnexpectedRefusal, nil, func(l *Log) { l.Refusals = append(l.Refusals, Refusal{"a", 7 * second, 2}) }},
		{UnexpectedRefusal, nil, func(l *Log) { l.Refusals = append(l.Refusals, Refusal{"b", 12 * second, 3}) }},
		{Late, nil, func(l *Log) { l.Applied[2].At = 27*second + 1 }},
		{Lost, nil, func(l *Log) { l.Applied = l.Applied[:4] }},
		{Lost, nil, func(l *Log) { l.Applied = l.Applied[:4]; l.Outages = []Outage{{"b", 11 * second, 43 * second}} }},
		{Late, nil, func(l *Log) { // the limit is 17 s from the end of the outage
			l.Outages = []Outage{{"b", 11 * second, 20 * second}}
			l.Applied[4].At = 37*second + 1
		}},
	} {
		l := validLog()
		row.modify(&l)
		v := Check(l)
		require.Positive(t, v.Counts[row.rule], "%s not reported: %v", row.rule, v.Listed)
		for _, rule := range Rules() {
			if rule != row.rule && !slices.Contains(row.also, rule) {
				require.Zero(t, v.Counts[rule], "%s reported along with %s: %v", rule, row.rule, v.Listed)
			}
		}
		require.False(t, v.Passed())
	}
}

// Logs that deviate from the plain run but break no rule are not reported.
func TestAllowedDeviations(t *testing.T) {
	for name, change := range map[string]func(l *Log){
		"late because of an outage":            func(l *Log) { l.Outages = []Outage{{"b", 11 * second, 40 * second}}; l.Applied[4].At = 56 * second },
		"down until the end of the run":        func(l *Log) { l.Outages = []Outage{{"b", 11 * second, 0}}; l.Applied = l.Applied[:4] },
		"run ended before the time limit":      func(l *Log) { l.Applied = l.Applied[:4]; l.End = 26 * second },
		"same records after a restart":         func(l *Log) { l.Applied = append(l.Applied, Applied{"a", 2, 13 * second, 31, l.Applied[2].Sections}) },
		"superseded by a later change":         func(l *Log) { l.Applied = append(l.Applied[:1], l.Applied[2:]...) },
		"write repeated after a lost response": func(l *Log) { l.Applied[2].Sections = []Section{{3, 25}, {3, 25}} },
		"received together with a refused change": func(l *Log) {
			l.Changes[1].Committed, l.Changes[1].WriteStarted = 2*second, 2*second
			l.Changes[2].Committed, l.Applied[4].At = 25*second, 26*second
			l.Applied[2].At = 26 * second
			l.Applied = slices.Delete(l.Applied, 3, 4)
		},
		"in force before the acknowledgement": func(l *Log) { l.Applied[2].At = 9500 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			l := validLog()
			change(&l)
			v := Check(l)
			require.True(t, v.Passed(), "%v", v.Listed)
		})
	}
}

func TestDelayAcrossOutage(t *testing.T) {
	l := validLog()
	l.Outages = []Outage{{"a", 12 * second, 14 * second}, {"b", 11 * second, 40 * second}}
	l.Applied[4].At = 45 * second
	v := Check(l)
	require.False(t, v.Delays[2].Outage, "the change was in force before the outage")
	last := v.Delays[len(v.Delays)-1]
	require.True(t, last.Outage)
	require.Equal(t, 5*second, last.AfterOutage)
}
