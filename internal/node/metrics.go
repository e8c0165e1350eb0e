package node

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"beammux/control"
	"beammux/control/drain"
	"beammux/control/fleetview"
	"beammux/control/outlier"
	"beammux/control/quota"
	"beammux/internal/ejection"
	"beammux/internal/fleet"
	"beammux/internal/limits"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

// exporter exports the gatekeeper's metrics in the Prometheus text format. Each value is read from its source when the metrics
// are written, so it is never older than the request. VictoriaMetrics/metrics is used because it is small, needs no protobuf
// and offers a separate set per gatekeeper, which isolates gatekeepers that share a test process. Rejected:
// prometheus/client_golang, which adds protobuf, a global registry and collectors for seven metrics.
type exporter struct {
	set    *metrics.Set
	limits []string // names of the metrics of the limit rules in force
}

// newExporter registers the metrics of calls, by class, and of the servers.
func newExporter(f *routing.Stats, classes []string) *exporter {
	set := metrics.NewSet()
	names := append(append([]string(nil), classes...), "unknown")
	for i, name := range names {
		c := f.Class(i) // the last index is "unknown", like -1
		for _, m := range []struct {
			name  string
			count interface{ Load() int64 }
		}{{"success_total", &c.Success}, {"overload_total", &c.Overload}, {"error_total", &c.Error},
			{"dispatches_total", &c.Dispatches}} {
			set.NewGauge(fmt.Sprintf("proxy_%s{type=%q}", m.name, name), func() float64 { return float64(m.count.Load()) })
		}
	}
	set.NewGauge("proxy_concurrent", func() float64 { return float64(f.Open.Load()) })
	set.NewGauge("proxy_calls_lost_total", func() float64 { return float64(f.CallsLost.Load()) })
	set.NewGauge("proxy_targets", func() float64 { return float64(f.Targets.Load()) })
	set.NewGauge("proxy_targets_disabled", func() float64 { return float64(f.Disabled.Load()) })
	return &exporter{set: set}
}

// addBus registers the metric of discovery: the time that its last answer took to begin.
func (e *exporter) addBus(firstByte func() time.Duration) {
	e.set.NewGauge("proxy_bus_first_byte_seconds", func() float64 { return firstByte().Seconds() })
}

// addConnections registers the metrics of the clients' connections at one front, by what they are used for.
func (e *exporter) addConnections(front string, usages func() []transport.Usage) {
	for state, matches := range map[string]func(transport.Usage) bool{
		"unanswered":  func(u transport.Usage) bool { return u.Unanswered > 0 },
		"established": func(u transport.Usage) bool { return u.Unanswered == 0 && u.Established > 0 },
		"idle":        func(u transport.Usage) bool { return u.Unanswered == 0 && u.Established == 0 },
	} {
		e.set.NewGauge(fmt.Sprintf("proxy_client_connections{front=%q,state=%q}", front, state), func() float64 {
			count := 0
			for _, u := range usages() {
				if matches(u) {
					count++
				}
			}
			return float64(count)
		})
	}
}

// addEvacuation registers the metrics of the evacuation: the decisions on connections at all sweeps, and how many connections were
// found open past their time.
func (e *exporter) addEvacuation(evacuation *evacuation) {
	for decision := range drain.Decisions {
		e.set.NewGauge(fmt.Sprintf("proxy_evacuation_decisions_total{decision=%q}", decision), func() float64 {
			return float64(evacuation.decisions[decision].Load())
		})
	}
	e.set.NewGauge("proxy_evacuation_overdue_total", func() float64 { return float64(evacuation.overdue.Load()) })
}

// addFleet registers the metrics of the fleet's membership view. They exist only where the fleet is enabled.
func (e *exporter) addFleet(v *fleet.Fleet) {
	for _, h := range fleetview.AllHealths {
		e.set.NewGauge(fmt.Sprintf("proxy_fleet_members{state=%q}", h), func() float64 {
			n, _ := v.Count(h)
			return float64(n)
		})
	}
	e.set.NewGauge("proxy_fleet_view_changes_total", func() float64 {
		_, changes := v.Count(fleetview.Alive)
		return float64(changes)
	})
}

// addRegisters registers the metrics of the fleet's registers.
func (e *exporter) addRegisters(v *fleet.Fleet) {
	for t := range fleet.Topics {
		e.set.NewGauge(fmt.Sprintf("proxy_fleet_registers{topic=%q}", t), func() float64 { return float64(len(v.Read(t))) })
		e.set.NewGauge(fmt.Sprintf("proxy_fleet_register_oldest_seconds{topic=%q}", t), func() float64 {
			oldest := control.Micros(0)
			for _, r := range v.Read(t) {
				oldest = max(oldest, r.Age)
			}
			return float64(oldest) / 1e6
		})
	}
	e.set.NewGauge("proxy_fleet_registers_news_total", func() float64 {
		news, _ := v.RegisterCounts()
		return float64(news)
	})
	e.set.NewGauge("proxy_fleet_registers_not_newer_total", func() float64 {
		_, old := v.RegisterCounts()
		return float64(old)
	})
}

// setLimits replaces the metrics of the previous limit rules by those of the rules in force at this gatekeeper.
func (e *exporter) setLimits(inForce quota.Limits, limiter *limits.Limiter) {
	for _, name := range e.limits {
		e.set.UnregisterMetric(name)
	}
	e.limits = nil
	for _, r := range inForce.Rules {
		addGauge := func(name string, value func(quota.Status) float64) {
			metric := fmt.Sprintf("proxy_fleet_limit_%s{rule=%q}", name, r.Name)
			e.limits = append(e.limits, metric)
			e.set.GetOrCreateGauge(metric, func() float64 {
				for _, s := range limiter.Status().Rules {
					if s.Name == r.Name {
						return value(s)
					}
				}
				return 0
			})
		}
		addGauge("rate", func(s quota.Status) float64 { return s.Rate })
		addGauge("demand", func(s quota.Status) float64 { return s.Demand })
		addGauge("standing", func(s quota.Status) float64 { return float64(s.OpenCalls) })
		addGauge("taken_total", func(s quota.Status) float64 { return float64(s.Admitted) })
		addGauge("turned_away_total", func(s quota.Status) float64 { return float64(s.Refused) })
		if r.Mode == quota.Leased {
			addGauge("lease_seconds", func(s quota.Status) float64 { return float64(s.LeaseRemaining) / 1e6 })
		}
	}
}

// addEjections registers the metrics of the ejections in force at this gatekeeper. Their names are part of the documented
// interface (docs/verdicts.md).
func (e *exporter) addEjections(monitor *ejection.Monitor) {
	for _, p := range []outlier.Phase{outlier.Ejected, outlier.Trial} {
		e.set.NewGauge(fmt.Sprintf("proxy_fleet_verdicts{phase=%q}", p), func() float64 {
			now, _ := monitor.Count(p)
			return float64(now)
		})
	}
	e.set.NewGauge("proxy_fleet_convictions_total", func() float64 {
		_, total := monitor.Count(outlier.Ejected)
		return float64(total)
	})
	e.set.NewGauge("proxy_fleet_callers_turned_away_total", func() float64 { return float64(monitor.BlockedConnections()) })
	e.set.NewGauge("proxy_fleet_busy_numbers", func() float64 { return float64(len(monitor.Status().Numbers)) })
	e.set.NewGauge("proxy_fleet_apart", func() float64 { return float64(len(monitor.Status().Isolated)) })
}

// write writes all metrics in the Prometheus text format.
func (e *exporter) write(w io.Writer) { e.set.WritePrometheus(w) }
