package node

import (
	"fmt"

	"beammux/internal/follow"
	"beammux/internal/store"
)

// addSettings registers the metrics of the control machines' settings at this gatekeeper.
func (e *exporter) addSettings(n *Node) {
	addGauge := func(name string, value func(*follow.Status) float64) {
		e.set.NewGauge("proxy_settings_"+name, func() float64 { return value(n.settingsStatus()) })
	}
	addGauge("revision", func(s *follow.Status) float64 { return float64(s.InForce) })
	addGauge("seen_revision", func(s *follow.Status) float64 { return float64(s.Seen) })
	addGauge("age_seconds", func(s *follow.Status) float64 { return secondsOrMinusOne(s.Age.Seconds()) })
	addGauge("connected", func(s *follow.Status) float64 { return boolToFloat(s.Connected) })
	addGauge("refused", func(s *follow.Status) float64 { return boolToFloat(s.Refused != nil) })
	e.set.NewGauge("proxy_settings_refused_total", func() float64 { return float64(n.settings.refusals.Load()) })
	e.set.NewGauge("proxy_settings_changes_total", func() float64 { return float64(n.settings.changes.Load()) })
	addFleetGauge := func(state string, count func(*store.FleetCounts) int) {
		e.set.NewGauge(fmt.Sprintf("proxy_settings_fleet{state=%q}", state), func() float64 {
			if s := n.settingsStatus(); s.Fleet != nil {
				return float64(count(s.Fleet))
			}
			return 0
		})
	}
	addFleetGauge("holding", func(c *store.FleetCounts) int { return c.Holding })
	addFleetGauge("behind", func(c *store.FleetCounts) int { return c.Behind })
	addFleetGauge("refused", func(c *store.FleetCounts) int { return c.Refused })
}

// secondsOrMinusOne returns s, or -1 for any negative s (no value).
func secondsOrMinusOne(s float64) float64 {
	if s < 0 {
		return -1
	}
	return s
}

// boolToFloat converts a bool to the value of a gauge.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
