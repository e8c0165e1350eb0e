package controlmachine

import (
	"fmt"
	"io"
	"runtime"
	runtimemetrics "runtime/metrics"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"beammux/internal/store"
)

// figures are written as a gatekeeper's are (internal/node): read when asked.
type figures struct {
	set *metrics.Set

	mu     sync.Mutex // one is written at a time
	status store.Status
}

func newFigures(m *Machine) *figures {
	f := &figures{set: metrics.NewSet()}
	of := func(name string, value func(store.Status) float64) {
		f.set.NewGauge("proxy_control_"+name, func() float64 { return value(f.status) })
	}
	f.set.NewGauge("proxy_control_ready", func() float64 { return oneIf(m.Ready()) })
	of("leads", func(s store.Status) float64 { return oneIf(s.LeaderNode == s.Node) })
	of("leader_known", func(s store.Status) float64 { return oneIf(s.Leader != "") })
	of("leader_contact_seconds", func(s store.Status) float64 { return s.SinceLeaderContact.Seconds() })
	of("votes", func(s store.Status) float64 { return oneIf(votes(s)) })
	of("members", func(s store.Status) float64 { return float64(len(s.Members)) })
	of("records", func(s store.Status) float64 { return float64(s.Records) })
	of("applied", func(s store.Status) float64 { return float64(s.Applied) })
	f.set.NewGauge("proxy_control_sessions", func() float64 { return float64(m.store.SessionCount()) })
	f.set.NewGauge("proxy_control_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	f.set.NewGauge("proxy_control_heap_bytes", heapBytes)
	fleet := func(name string, value func(*store.FleetCounts) float64) {
		f.set.NewGauge("proxy_control_fleet"+name, func() float64 {
			if c := m.store.FleetCounts(); c != nil {
				return value(c)
			}
			return 0
		})
	}
	state := func(name string, count func(*store.FleetCounts) int) {
		fleet(fmt.Sprintf("{state=%q}", name), func(c *store.FleetCounts) float64 { return float64(count(c)) })
	}
	state("holding", func(c *store.FleetCounts) int { return c.Holding })
	state("behind", func(c *store.FleetCounts) int { return c.Behind })
	state("refused", func(c *store.FleetCounts) int { return c.Refused })
	fleet("_oldest_behind_seconds", func(c *store.FleetCounts) float64 { return c.OldestBehind.Seconds() })
	return f
}

// heapBytes is the memory of the heap's objects, live or not yet collected.
func heapBytes() float64 {
	sample := []runtimemetrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	runtimemetrics.Read(sample)
	return float64(sample[0].Value.Uint64())
}

// WriteMetrics implements ops.Process.
func (m *Machine) WriteMetrics(w io.Writer) {
	m.figures.mu.Lock()
	defer m.figures.mu.Unlock()
	m.figures.status = m.store.Status()
	m.figures.set.WritePrometheus(w)
}

// votes tells whether a member has a vote in its group.
func votes(s store.Status) bool {
	for _, member := range s.Members {
		if member.Node == s.Node {
			return member.Voter
		}
	}
	return false
}

func oneIf(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
