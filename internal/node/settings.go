package node

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control/quota"
	"beammux/control/retry"
	"beammux/control/scope"
	"beammux/control/session"
	"beammux/internal/config"
	"beammux/internal/follow"
	"beammux/internal/history"
	"beammux/internal/jsonfile"
	"beammux/internal/routing"
)

// settingsWithin bounds how long a start without stored settings waits for the control machines. After that the gatekeeper
// serves with its deploy file, and applies the settings when they arrive.
const settingsWithin = time.Second

// settingsFiles is the number of descriptors of the session: its connection, and the next one while it changes replicas.
const settingsFiles = 2

// settingsPoll is the interval at which a waiting start checks for settings.
const settingsPoll = 5 * time.Millisecond

// sections are the parts of the settings that may change while a gatekeeper runs.
type sections struct {
	calls  *retry.Policy  // nil for the defaults of the deployment's settings
	limits *config.Limits // of the whole fleet; nil for none
	hosts  []routing.Host // of the inventory
}

// settings holds the settings of the deploy file and of the control machines' records. A section that a record contains takes
// precedence over the same section of the deploy file. Neither a reload of the file nor a change of the records overwrites
// the other source.
type settings struct {
	mu       sync.Mutex
	file     sections
	records  sections
	named    map[string]scope.Record // the records, by section
	changes  atomic.Int64            // candidates put in force
	refusals atomic.Int64            // candidates refused
	follower atomic.Pointer[follow.Follower]
}

// inForce returns the sections that apply. The caller must hold mu.
func (s *settings) inForce() sections {
	now := s.file
	if _, ok := s.named[scope.SectionCalls]; ok {
		now.calls = s.records.calls
	}
	if _, ok := s.named[scope.SectionLimits]; ok {
		now.limits = s.records.limits
	}
	if _, ok := s.named[scope.SectionInventory]; ok {
		now.hosts = s.records.hosts
	}
	return now
}

// names returns the sorted names of the sections that records contain. The caller must hold mu.
func (s *settings) names() []string {
	names := []string{}
	for name := range s.named {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// openSettings follows the settings of the control machines if the deploy file names any. When it returns, the settings stored
// by an earlier process are in force and their servers are loaded.
func (n *Node) openSettings(begin context.Context) error {
	c := n.deploy.Control
	if c == nil {
		return nil
	}
	var replicas []session.Replica
	for _, r := range c.Replicas {
		replicas = append(replicas, session.Replica(r))
	}
	f, err := follow.Open(follow.Options{
		Self:     scope.Target{Name: n.settingsName(), Region: c.Region, Zone: c.Zone, Service: c.Service},
		Replicas: replicas,
		Dir:      c.Dir,
		Dial:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Apply:    n.applySettings,
		Log:      n.log,
		Seed:     n.cfg.Seed,
	})
	if err != nil {
		return err
	}
	n.settings.follower.Store(f)
	n.figures.addSettings(n)
	n.awaitSettings(begin, f)
	n.listLoaded()
	return nil
}

// settingsName returns the name of this gatekeeper in the keys of settings.
func (n *Node) settingsName() string {
	if n.deploy.Control.Name != "" {
		return n.deploy.Control.Name
	}
	return n.cfg.Name
}

// awaitSettings waits until settings are in force or a control machine has answered, for settingsWithin at most.
func (n *Node) awaitSettings(begin context.Context, f *follow.Follower) {
	ctx, cancel := context.WithTimeout(begin, settingsWithin)
	defer cancel()
	began := time.Now()
	st := f.Status()
	for !answered(st) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(settingsPoll):
		}
		st = f.Status()
	}
	log := n.log.WithFields(logrus.Fields{"revision": st.InForce, "kept": st.Kept, "waited_ms": time.Since(began).Milliseconds()})
	if !answered(st) {
		log.WithField("advice", "check that the control machines run and are reachable from here; the gatekeeper keeps trying").
			Warn("settings: no control machine has answered; serving with the deploy file, the settings follow")
		return
	}
	log.Info("settings ready")
}

// answered reports whether the start need not wait: settings are in force, or a control machine has answered.
func answered(s follow.Status) bool { return s.InForce > 0 || s.Connected || s.Refused != nil }

// listLoaded returns once the core has applied all updates given to the list before.
func (n *Node) listLoaded() {
	loaded := make(chan struct{})
	n.list.Apply(routing.Update{Source: fromFile}, func() { close(loaded) })
	<-loaded
}

// applySettings validates a candidate as a whole and puts it in force. If it is invalid, it returns all faults and changes
// nothing.
func (n *Node) applySettings(c follow.Candidate) error {
	records, err := n.readSettings(c)
	if err != nil {
		n.settings.refusals.Add(1)
		return err
	}
	s := &n.settings
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records, s.named = records, c.Sections
	now := n.putInForce()
	s.changes.Add(1)
	n.log.WithFields(logrus.Fields{"revision": c.Revision, "sections": strings.Join(s.names(), " "),
		"calls": now.calls.Version(), "servers": len(now.hosts)}).Info("settings in force")
	return nil
}

// SettingsFault reports the faults of settings that a gatekeeper refuses to put in force.
type SettingsFault struct{ Faults jsonfile.Faults }

func (e *SettingsFault) Error() string { return e.Faults.Error() }

func (e *SettingsFault) Unwrap() error { return e.Faults }

// Advice implements advice.Error.
func (e *SettingsFault) Advice() string {
	return "correct the record at the given position and write it again, or write another one for this gatekeeper in a narrower scope"
}

// readSettings parses all sections of a candidate. The error contains the faults of all sections.
func (n *Node) readSettings(c follow.Candidate) (sections, error) {
	var all sections
	var faults jsonfile.Faults
	for _, name := range scope.Sections() {
		r, ok := c.Sections[name]
		if !ok {
			continue
		}
		var err error
		switch name {
		case scope.SectionCalls:
			all.calls, err = config.ParseCalls(r.Key, r.Value, n.cfg.Site)
		case scope.SectionLimits:
			all.limits, err = config.ParseLimits(r.Key, r.Value, n.cfg.Site, n.around())
		case scope.SectionInventory:
			all.hosts, err = config.ParseInventory(r.Key, r.Value)
		}
		var found jsonfile.Faults
		switch {
		case errors.As(err, &found):
			faults = append(faults, found...)
		case err != nil:
			faults = append(faults, jsonfile.Fault{File: r.Key, What: err.Error()})
		}
	}
	if len(faults) > 0 {
		return sections{}, &SettingsFault{faults}
	}
	return all, nil
}

// around returns the facilities of this gatekeeper that limits of the fleet may require.
func (n *Node) around() config.Around {
	return config.Around{Gossip: n.deploy.Fleet != nil, Store: n.storeShared()}
}

// storeShared reports whether this gatekeeper's store has other members.
func (n *Node) storeShared() bool { return len(n.deploy.StorePeers) > 0 || n.deploy.StoreJoin }

// reloadSections applies the sections of a reloaded deploy file. It returns the sections in force and the names of those that
// come from records.
func (n *Node) reloadSections(file sections) (now sections, fromRecords []string) {
	n.settings.mu.Lock()
	defer n.settings.mu.Unlock()
	n.settings.file = file
	return n.putInForce(), n.settings.names()
}

// putInForce applies the sections that result from the file and the records. The limits of calls and of the fleet change
// together in one event of the core; the list of servers follows. The caller must hold settings.mu.
func (n *Node) putInForce() sections {
	now := n.settings.inForce()
	limiter := n.limits
	n.leaseAt.Store(leaseAddresses(now.limits))
	n.core.Change(now.calls, func() {
		if limiter != nil {
			limiter.Change(quotaLimits(now.limits))
		}
	})
	n.calls.Store(now.calls.Version())
	n.core.Note(history.Event{Kind: history.Reloaded, Name: now.calls.Version()})
	n.list.Apply(routing.Update{Source: fromFile, Whole: true, Hosts: now.hosts}, nil)
	if limiter != nil {
		n.figures.setLimits(quotaLimits(now.limits), limiter)
	}
	return now
}

// quotaLimits returns the fleet's limits in the form of the limiter; nil gives limits without rules.
func quotaLimits(l *config.Limits) quota.Limits {
	if l == nil {
		return quota.Limits{Parts: 1}
	}
	return l.Limits
}

// leaseAddresses returns the addresses of the store members that grant the leases of the limits.
func leaseAddresses(l *config.Limits) *[]string {
	if l == nil {
		return &[]string{}
	}
	return &l.Store
}

// settingsStatus returns the status of the control machines' settings at this gatekeeper, or nil if it follows none.
func (n *Node) settingsStatus() *follow.Status {
	f := n.settings.follower.Load()
	if f == nil {
		return nil
	}
	st := f.Status()
	return &st
}

// closeSettings closes the session with the control machines. The settings in force stay.
func (n *Node) closeSettings() {
	if f := n.settings.follower.Load(); f != nil {
		f.Close()
	}
}
