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

// gauges holds the gauges of a control machine. As in internal/node, they are evaluated when they are written.
type gauges struct {
	set *metrics.Set

	mu     sync.Mutex // serializes WriteMetrics, whose gauges read status
	status store.Status
}

// newGauges registers the gauges of a machine.
func newGauges(m *Machine) *gauges {
	g := &gauges{set: metrics.NewSet()}
	addStoreGauge := func(name string, value func(store.Status) float64) {
		g.set.NewGauge("proxy_control_"+name, func() float64 { return value(g.status) })
	}
	g.set.NewGauge("proxy_control_ready", func() float64 { return boolToFloat(m.Ready()) })
	addStoreGauge("leads", func(s store.Status) float64 { return boolToFloat(s.LeaderNode == s.Node) })
	addStoreGauge("leader_known", func(s store.Status) float64 { return boolToFloat(s.Leader != "") })
	addStoreGauge("leader_contact_seconds", func(s store.Status) float64 { return s.SinceLeaderContact.Seconds() })
	addStoreGauge("votes", func(s store.Status) float64 { return boolToFloat(isVoter(s)) })
	addStoreGauge("members", func(s store.Status) float64 { return float64(len(s.Members)) })
	addStoreGauge("records", func(s store.Status) float64 { return float64(s.Records) })
	addStoreGauge("applied", func(s store.Status) float64 { return float64(s.Applied) })
	g.set.NewGauge("proxy_control_sessions", func() float64 { return float64(m.store.SessionCount()) })
	g.set.NewGauge("proxy_control_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	g.set.NewGauge("proxy_control_heap_bytes", heapBytes)
	addFleetGauge := func(name string, value func(*store.FleetCounts) float64) {
		g.set.NewGauge("proxy_control_fleet"+name, func() float64 {
			if c := m.store.FleetCounts(); c != nil {
				return value(c)
			}
			return 0
		})
	}
	addStateGauge := func(name string, count func(*store.FleetCounts) int) {
		addFleetGauge(fmt.Sprintf("{state=%q}", name), func(c *store.FleetCounts) float64 { return float64(count(c)) })
	}
	addStateGauge("holding", func(c *store.FleetCounts) int { return c.Holding })
	addStateGauge("behind", func(c *store.FleetCounts) int { return c.Behind })
	addStateGauge("refused", func(c *store.FleetCounts) int { return c.Refused })
	addFleetGauge("_oldest_behind_seconds", func(c *store.FleetCounts) float64 { return c.OldestBehind.Seconds() })
	return g
}

// heapBytes returns the memory of heap objects, live or not yet collected.
func heapBytes() float64 {
	sample := []runtimemetrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	runtimemetrics.Read(sample)
	return float64(sample[0].Value.Uint64())
}

// WriteMetrics implements ops.Process. It writes the metrics in the Prometheus text format.
func (m *Machine) WriteMetrics(w io.Writer) {
	m.gauges.mu.Lock()
	defer m.gauges.mu.Unlock()
	m.gauges.status = m.store.Status()
	m.gauges.set.WritePrometheus(w)
}

// isVoter reports whether the member that s describes is a voter of its group.
func isVoter(s store.Status) bool {
	for _, member := range s.Members {
		if member.Node == s.Node {
			return member.Voter
		}
	}
	return false
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
