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

// settingsTimeout bounds how long a start without stored settings waits for the control machines. After that the gatekeeper
// serves with its deploy file, and applies the settings when they arrive.
const settingsTimeout = time.Second

// settingsDescriptors is the number of descriptors of the session: its connection, and the next one while it changes replicas.
const settingsDescriptors = 2

// settingsPollInterval is the interval at which a waiting start checks for settings.
const settingsPollInterval = 5 * time.Millisecond

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
	mu        sync.Mutex
	file      sections
	records   sections
	bySection map[string]scope.Record // the records, by section
	changes   atomic.Int64            // candidates put in force
	refusals  atomic.Int64            // candidates refused
	follower  atomic.Pointer[follow.Follower]
}

// inForce returns the sections that apply. The caller must hold mu.
func (s *settings) inForce() sections {
	current := s.file
	if _, ok := s.bySection[scope.SectionCalls]; ok {
		current.calls = s.records.calls
	}
	if _, ok := s.bySection[scope.SectionLimits]; ok {
		current.limits = s.records.limits
	}
	if _, ok := s.bySection[scope.SectionInventory]; ok {
		current.hosts = s.records.hosts
	}
	return current
}

// sectionNames returns the sorted names of the sections that records contain. The caller must hold mu.
func (s *settings) sectionNames() []string {
	sectionNames := []string{}
	for name := range s.bySection {
		sectionNames = append(sectionNames, name)
	}
	slices.Sort(sectionNames)
	return sectionNames
}

// openSettings follows the settings of the control machines if the deploy file names any. When it returns, the settings stored
// by an earlier process are in force and their servers are loaded.
func (n *Node) openSettings(startCtx context.Context) error {
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
		Dial:     (&net.Dialer{Timeout: defaultDialTimeout}).DialContext,
		Apply:    n.applySettings,
		Log:      n.log,
		Seed:     n.cfg.Seed,
	})
	if err != nil {
		return err
	}
	n.settings.follower.Store(f)
	n.exporter.addSettings(n)
	n.awaitSettings(startCtx, f)
	n.waitForList()
	return nil
}

// settingsName returns the name of this gatekeeper in the keys of settings.
func (n *Node) settingsName() string {
	if n.deploy.Control.Name != "" {
		return n.deploy.Control.Name
	}
	return n.cfg.Name
}

// awaitSettings waits until settings are in force or a control machine has answered, for settingsTimeout at most.
func (n *Node) awaitSettings(startCtx context.Context, f *follow.Follower) {
	ctx, cancel := context.WithTimeout(startCtx, settingsTimeout)
	defer cancel()
	began := time.Now()
	st := f.Status()
	for !hasAnswer(st) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(settingsPollInterval):
		}
		st = f.Status()
	}
	log := n.log.WithFields(logrus.Fields{"revision": st.InForce, "kept": st.RestoredFromDir, "waited_ms": time.Since(began).Milliseconds()})
	if !hasAnswer(st) {
		log.WithField("advice", "check that the control machines run and are reachable from here; the gatekeeper keeps trying").
			Warn("settings: no control machine has answered; serving with the deploy file, the settings follow")
		return
	}
	log.Info("settings ready")
}

// hasAnswer reports whether the start need not wait: settings are in force, or a control machine has answered.
func hasAnswer(s follow.Status) bool { return s.InForce > 0 || s.Connected || s.Refused != nil }

// waitForList returns once the core has applied all updates given to the list before.
func (n *Node) waitForList() {
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
	s.records, s.bySection = records, c.Sections
	current := n.applySections(0)
	s.changes.Add(1)
	n.log.WithFields(logrus.Fields{"revision": c.Revision, "sections": strings.Join(s.sectionNames(), " "),
		"calls": current.calls.Version(), "servers": len(current.hosts)}).Info("settings in force")
	return nil
}

// SettingsFault reports the faults of settings that a gatekeeper refuses to put in force.
type SettingsFault struct{ Faults jsonfile.Faults }

// Error implements error. It returns one line per fault.
func (e *SettingsFault) Error() string { return e.Faults.Error() }

// Unwrap returns the faults.
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
			all.limits, err = config.ParseLimits(r.Key, r.Value, n.cfg.Site, n.facilities())
		case scope.SectionInventory:
			all.hosts, err = config.ParseInventory(r.Key, r.Value)
		}
		var found jsonfile.Faults
		switch {
		case errors.As(err, &found):
			faults = append(faults, found...)
		case err != nil:
			faults = append(faults, jsonfile.Fault{File: r.Key, Reason: err.Error()})
		}
	}
	if len(faults) > 0 {
		return sections{}, &SettingsFault{faults}
	}
	return all, nil
}

// facilities returns the facilities of this gatekeeper that limits of the fleet may require.
func (n *Node) facilities() config.Features {
	return config.Features{Gossip: n.deploy.Fleet != nil, Store: n.storeShared()}
}

// storeShared reports whether this gatekeeper's store has other members.
func (n *Node) storeShared() bool { return len(n.deploy.StorePeers) > 0 || n.deploy.StoreJoin }

// fileHosts returns the servers of the deploy file's inventory, as it was read last.
func (n *Node) fileHosts() []routing.Host {
	n.settings.mu.Lock()
	defer n.settings.mu.Unlock()
	return n.settings.file.hosts
}

// reloadSections applies the sections of a reloaded deploy file. It returns the sections in force and the names of those that
// come from records.
func (n *Node) reloadSections(file sections) (current sections, fromRecords []string) {
	n.settings.mu.Lock()
	defer n.settings.mu.Unlock()
	n.settings.file = file
	return n.applySections(n.removalDelay), n.settings.sectionNames()
}

// applySections applies the sections that result from the file and the records. The limits of calls and of the fleet change
// together in one event of the core; the list of servers follows, with a delay for removals. The caller must hold settings.mu.
func (n *Node) applySections(removalDelay time.Duration) sections {
	current := n.settings.inForce()
	limiter := n.limits
	n.leaseMembers.Store(leaseAddresses(current.limits))
	n.core.Change(current.calls, func() {
		if limiter != nil {
			limiter.Change(quotaLimits(current.limits))
		}
	})
	n.calls.Store(current.calls.Version())
	n.core.Note(history.Event{Kind: history.Reloaded, Name: current.calls.Version()})
	n.list.Apply(routing.Update{Source: fromFile, Complete: true, Hosts: current.hosts, RemovalDelay: removalDelay}, nil)
	if limiter != nil {
		n.exporter.setLimits(quotaLimits(current.limits), limiter)
	}
	return current
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
