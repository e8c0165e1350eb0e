package store

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"
)

// Values of command.Want.
const (
	wantCounts   = "counts"
	wantSessions = "sessions"
)

// counts holds the session counts of one control machine.
type counts struct {
	Applied      uint64        `json:"applied"` // revision up to which its records are applied
	Changed      uint64        `json:"changed"` // revision of the newest change of a served record
	Sessions     int           `json:"sessions"`
	Holding      int           `json:"holding"`
	Behind       int           `json:"behind"`
	Refused      int           `json:"refused"`
	OldestBehind time.Duration `json:"oldest_behind_ns"`
	Age          time.Duration `json:"age_ns"` // since the last contact with the leader
}

// counts returns the counts of this control machine's sessions.
func (s *sessionServer) counts() counts {
	_, applied, changed := s.history.state()
	c := counts{Applied: applied, Changed: changed, Age: s.node.contactAge()}
	now := time.Now()
	for _, sess := range s.allSessions() {
		sess.mu.Lock()
		c.Sessions++
		switch {
		case sess.report.InForce >= sess.target:
			c.Holding++
		case sess.report.Refused >= sess.target:
			c.Refused++
		default:
			c.Behind++
			c.OldestBehind = max(c.OldestBehind, now.Sub(sess.targetSince))
		}
		sess.mu.Unlock()
	}
	return c
}

// allSessions returns the open sessions, in no particular order.
func (s *sessionServer) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	allSessions := make([]*session, 0, len(s.sessions))
	for sess := range s.sessions {
		allSessions = append(allSessions, sess)
	}
	return allSessions
}

// statuses returns the status of each session of this control machine, ordered by name.
func (s *sessionServer) statuses() []SessionStatus {
	statuses := []SessionStatus{}
	for _, sess := range s.allSessions() {
		sess.mu.Lock()
		statuses = append(statuses, SessionStatus{sess.request.Session, sess.report, sess.openedAt, sess.sent, sess.target, s.options.Name})
		sess.mu.Unlock()
	}
	slices.SortFunc(statuses, func(a, b SessionStatus) int { return strings.Compare(a.Name, b.Name) })
	return statuses
}

// gatherCounts collects the counts of all control machines at the report interval until the server closes.
func (s *sessionServer) gatherCounts() {
	tick := time.NewTicker(s.options.ReportInterval)
	defer tick.Stop()
	for {
		fleetCounts := s.gather()
		s.mu.Lock()
		s.fleetCounts = fleetCounts
		s.mu.Unlock()
		select {
		case <-tick.C:
		case <-s.ctx.Done():
			return
		}
	}
}

// gather queries all members concurrently. A member that does not answer within the report interval counts as unheard.
func (s *sessionServer) gather() *FleetCounts {
	ctx, cancel := context.WithTimeout(s.ctx, max(s.options.ReportInterval, memberTimeout))
	defer cancel()
	received, unheard := []counts{s.counts()}, 0
	var mu sync.Mutex
	var queries sync.WaitGroup
	for _, address := range s.node.otherAddresses() {
		queries.Go(func() {
			c, err := countsFrom(ctx, dialAddress(s.node.via, address))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unheard++
				return
			}
			received = append(received, c)
		})
	}
	queries.Wait()
	return sumCounts(received, unheard)
}

// otherAddresses returns the addresses of the other members.
func (n *Node) otherAddresses() (addresses []string) {
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

// countsFrom reads the session counts of the control machine at an address.
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

// sumCounts adds up the counts of several control machines. A control machine that lacks the newest change can't have
// sent it, so all its sessions count as behind, at least since its last contact with the leader.
func sumCounts(received []counts, unheard int) *FleetCounts {
	f := &FleetCounts{Replicas: len(received), Unreachable: unheard}
	for _, c := range received {
		f.Revision = max(f.Revision, c.Changed)
	}
	for _, c := range received {
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
	if err == nil && r.Sessions == nil && r.Status != nil { // an earlier version answers with a status; an empty list is omitted from the answer
		err = &NotControl{address}
	}
	return r.Sessions, err
}
