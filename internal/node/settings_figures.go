package node

import (
	"fmt"

	"beammux/internal/follow"
	"beammux/internal/store"
)

// addSettings registers the metrics of the control machines' settings at this gatekeeper.
func (f *figures) addSettings(n *Node) {
	of := func(name string, value func(*follow.Status) float64) {
		f.set.NewGauge("proxy_settings_"+name, func() float64 { return value(n.settingsStatus()) })
	}
	of("revision", func(s *follow.Status) float64 { return float64(s.InForce) })
	of("seen_revision", func(s *follow.Status) float64 { return float64(s.Seen) })
	of("age_seconds", func(s *follow.Status) float64 { return secondsOrNever(s.Age.Seconds()) })
	of("connected", func(s *follow.Status) float64 { return oneIf(s.Connected) })
	of("refused", func(s *follow.Status) float64 { return oneIf(s.Refused != nil) })
	f.set.NewGauge("proxy_settings_refused_total", func() float64 { return float64(n.settings.refusals.Load()) })
	f.set.NewGauge("proxy_settings_changes_total", func() float64 { return float64(n.settings.changes.Load()) })
	fleet := func(state string, count func(*store.FleetCounts) int) {
		f.set.NewGauge(fmt.Sprintf("proxy_settings_fleet{state=%q}", state), func() float64 {
			if s := n.settingsStatus(); s.Fleet != nil {
				return float64(count(s.Fleet))
			}
			return 0
		})
	}
	fleet("holding", func(c *store.FleetCounts) int { return c.Holding })
	fleet("behind", func(c *store.FleetCounts) int { return c.Behind })
	fleet("refused", func(c *store.FleetCounts) int { return c.Refused })
}

// secondsOrNever returns s, or -1 for any negative s (no value).
func secondsOrNever(s float64) float64 {
	if s < 0 {
		return -1
	}
	return s
}

// oneIf converts a bool to the value of a gauge.
func oneIf(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
