package store

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"
)

// What a status can be asked for in place of the status.
const (
	wantCounts   = "counts"
	wantSessions = "sessions"
)

// counts are those of the sessions of one control machine.
type counts struct {
	Applied      uint64        `json:"applied"` // up to here its records are
	Changed      uint64        `json:"changed"` // revision of the newest change of a served record
	Sessions     int           `json:"sessions"`
	Holding      int           `json:"holding"`
	Behind       int           `json:"behind"`
	Refused      int           `json:"refused"`
	OldestBehind time.Duration `json:"oldest_behind_ns"`
	Age          time.Duration `json:"age_ns"` // since word from the leader
}

// counts of this control machine's sessions.
func (s *sessionServer) counts() counts {
	_, applied, changed := s.history.state()
	c := counts{Applied: applied, Changed: changed, Age: s.node.contactAge()}
	now := time.Now()
	for _, one := range s.all() {
		one.mu.Lock()
		c.Sessions++
		switch {
		case one.report.InForce >= one.target:
			c.Holding++
		case one.report.Refused >= one.target:
			c.Refused++
		default:
			c.Behind++
			c.OldestBehind = max(c.OldestBehind, now.Sub(one.targetSince))
		}
		one.mu.Unlock()
	}
	return c
}

func (s *sessionServer) all() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for one := range s.sessions {
		all = append(all, one)
	}
	return all
}

// statuses of this control machine's sessions, ordered by name.
func (s *sessionServer) statuses() []SessionStatus {
	statuses := []SessionStatus{}
	for _, one := range s.all() {
		one.mu.Lock()
		statuses = append(statuses, SessionStatus{one.request.Session, one.report, one.since, one.sent, one.target, s.options.Name})
		one.mu.Unlock()
	}
	slices.SortFunc(statuses, func(a, b SessionStatus) int { return strings.Compare(a.Name, b.Name) })
	return statuses
}

// gatherCounts asks the other control machines for their counts, again and again.
func (s *sessionServer) gatherCounts() {
	tick := time.NewTicker(s.options.ReportInterval)
	defer tick.Stop()
	for {
		fleet := s.gather()
		s.mu.Lock()
		s.fleet = fleet
		s.mu.Unlock()
		select {
		case <-tick.C:
		case <-s.ctx.Done():
			return
		}
	}
}

// gather asks all at the same time; who does not answer within the interval is unheard.
func (s *sessionServer) gather() *FleetCounts {
	ctx, cancel := context.WithTimeout(s.ctx, max(s.options.ReportInterval, upWithin))
	defer cancel()
	heard, unheard := []counts{s.counts()}, 0
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, address := range s.node.others() {
		asked.Go(func() {
			c, err := countsFrom(ctx, through(s.node.via, address))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unheard++
				return
			}
			heard = append(heard, c)
		})
	}
	asked.Wait()
	return sum(heard, unheard)
}

// others are the addresses of the other members.
func (n *Node) others() (addresses []string) {
	f := n.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	for _, m := range f.Configuration().Servers {
		if string(m.ID) != n.id {
			addresses = append(addresses, string(m.Address))
		}
	}
	return addresses
}

func countsFrom(ctx context.Context, address string) (counts, error) {
	data, err := json.Marshal(command{Op: opStatus, Want: wantCounts})
	if err != nil {
		return counts{}, err
	}
	r, err := exchange(ctx, nil, address, data)
	if err == nil && r.Counts == nil {
		err = &NotControl{address}
	}
	if err != nil {
		return counts{}, err
	}
	return *r.Counts, nil
}

// sum of the counts of several control machines. What one holds that lacks the newest change is not the newest, so all its
// sessions are behind, at least since its last word from the leader.
func sum(heard []counts, unheard int) *FleetCounts {
	f := &FleetCounts{Replicas: len(heard), Unreachable: unheard}
	for _, c := range heard {
		f.Revision = max(f.Revision, c.Changed)
	}
	for _, c := range heard {
		if c.Applied < f.Revision {
			c.Behind, c.Holding = c.Behind+c.Holding, 0
			if c.Behind > 0 {
				c.OldestBehind = max(c.OldestBehind, c.Age)
			}
		}
		f.Sessions += c.Sessions
		f.Holding += c.Holding
		f.Behind += c.Behind
		f.Refused += c.Refused
		f.OldestBehind = max(f.OldestBehind, c.OldestBehind)
	}
	return f
}

// SessionsFrom lists the sessions of the control machine at an address, ordered by name.
func SessionsFrom(ctx context.Context, dial Dial, address string) ([]SessionStatus, error) {
	data, err := json.Marshal(command{Op: opStatus, Want: wantSessions})
	if err != nil {
		return nil, err
	}
	r, err := exchange(ctx, dial, address, data)
	if err == nil && r.Sessions == nil && r.Status != nil { // of an earlier version; an empty list is left out of the answer
		err = &NotControl{address}
	}
	return r.Sessions, err
}
