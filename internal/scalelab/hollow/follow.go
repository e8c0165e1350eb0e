package hollow

import (
	"fmt"
	"time"

	"beammux/control"
	"beammux/control/scope"
	"beammux/control/session"
	"beammux/internal/config"
	"beammux/internal/follow"
)

// staleAfter is the age of the last contact after which a gatekeeper counts as behind: a few heartbeats, one per second.
const staleAfter = 5 * time.Second

// settingsFollower is the settings follower of one gatekeeper.
type settingsFollower struct{ *follow.Follower }

func (f settingsFollower) state() followState {
	s := f.Status()
	return followState{inForce: s.InForce, highest: s.Seen, replica: s.Replica, behind: s.Age < 0 || s.Age > staleAfter || s.InForce < s.Seen}
}

// openFollower starts to follow the settings of a gatekeeper. apply is called for each valid candidate; an error refuses it.
func openFollower(g *gatekeeper, dir string, apply func(candidate) error) (*settingsFollower, error) {
	p := g.process
	var replicas []session.Replica
	for _, r := range p.config.Replicas {
		replicas = append(replicas, session.Replica(r))
	}
	f, err := follow.Open(follow.Options{
		Self:     scope.Target{Name: g.Name, Region: g.Region, Zone: g.Zone, Service: g.Service},
		Replicas: replicas, Dir: dir, Dial: p.network.dialer(g.Region, &g.traffic), Log: errorLogger(), Seed: p.config.Seed,
		Apply: func(c follow.Candidate) error {
			parsed, err := readCandidate(c, p.site)
			if err != nil {
				return err
			}
			return apply(parsed)
		},
	})
	if err != nil {
		return nil, err
	}
	return &settingsFollower{f}, nil
}

// readCandidate validates a candidate as a gatekeeper does, and returns the markers of its sections.
func readCandidate(c follow.Candidate, site *control.Site) (parsed candidate, err error) {
	parsed.revision = c.Revision
	for _, name := range scope.Sections() {
		record, ok := c.Sections[name]
		if !ok {
			continue
		}
		if err := config.CheckSettings(record.Key, record.Value, site); err != nil {
			return parsed, err
		}
		marker, refusable, err := MarkerOf(record.Value)
		if err != nil {
			return parsed, fmt.Errorf("%s: %w", record.Key, err)
		}
		parsed.sections = append(parsed.sections, Section{marker, record.Revision})
		parsed.refusable = parsed.refusable || refusable
	}
	return parsed, nil
}

// loadSite loads the gatekeeper's configuration that settings are checked against. It returns nil if file is empty.
func loadSite(file string) (*control.Site, error) {
	if file == "" {
		return nil, nil
	}
	c, err := config.Load(file)
	if err != nil {
		return nil, err
	}
	return c.Site, nil
}
