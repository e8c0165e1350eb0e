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

// settingsWithin bounds how long a start that has no last good settings waits for the control machines. Past it the
// gatekeeper serves with its deploy file, and takes the settings when they come.
const settingsWithin = time.Second

const settingsFiles = 2 // descriptors: the session, and the next one while it moves

const settingsPoll = 5 * time.Millisecond // how often a start that waits looks

// sections are the parts of the settings that may change while a gatekeeper runs.
type sections struct {
	calls  *retry.Policy  // nil: as the deployment's settings say
	limits *config.Limits // of the whole fleet; nil: none
	hosts  []routing.Host // of the inventory
}

// settings say what is in force. A section that a record of the control machines names wins over the deploy file's; the
// others are the file's. Neither a reload of the file nor a change of the records undoes what the other one brought.
type settings struct {
	mu       sync.Mutex
	file     sections
	records  sections
	named    map[string]scope.Record // the sections that records name
	changes  atomic.Int64            // candidates put in force
	refusals atomic.Int64            // candidates refused
	follower atomic.Pointer[follow.Follower]
}

// inForce is asked with the lock held.
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

// names are the sections that records name, in the order of the alphabet; asked with the lock held.
func (s *settings) names() []string {
	names := []string{}
	for name := range s.named {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// openSettings follows the settings of the control machines, where the deploy file names any. What was kept over a restart
// is in force when it returns, and its servers are loaded.
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

// settingsName is the name of this gatekeeper in the keys of settings.
func (n *Node) settingsName() string {
	if n.deploy.Control.Name != "" {
		return n.deploy.Control.Name
	}
	return n.cfg.Name
}

// awaitSettings gives control machines a short while to answer a gatekeeper that has kept no settings.
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
	log := n.log.WithFields(logrus.Fields{"revision": st.InForce, "kept": st.RestoredFromDir, "waited_ms": time.Since(began).Milliseconds()})
	if !answered(st) {
		log.WithField("advice", "look whether the control machines run and are reached from here; the gatekeeper goes on trying by itself").
			Warn("settings: no control machine has answered; serving with the deploy file, the settings follow")
		return
	}
	log.Info("settings ready")
}

// answered tells whether there is something to serve with: settings from before the restart, or a control machine's word.
func answered(s follow.Status) bool { return s.InForce > 0 || s.Connected || s.Refused != nil }

// listLoaded returns once the module has what was given to the list before.
func (n *Node) listLoaded() {
	loaded := make(chan struct{})
	n.list.Apply(routing.Update{Source: fromFile}, func() { close(loaded) })
	<-loaded
}

// applySettings checks a candidate whole and puts it in force, or returns what is wrong and changes nothing.
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

// SettingsFault is what is wrong with settings that a gatekeeper was to put in force.
type SettingsFault struct{ Faults jsonfile.Faults }

func (e *SettingsFault) Error() string { return e.Faults.Error() }

func (e *SettingsFault) Unwrap() error { return e.Faults }

// Advice implements advice.Error.
func (e *SettingsFault) Advice() string {
	return "correct the record at the place named and write it again, or write another one for this gatekeeper in a narrower scope"
}

// readSettings reads all sections of a candidate. The error has every fault of all of them.
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
			faults = append(faults, jsonfile.Fault{File: r.Key, Reason: err.Error()})
		}
	}
	if len(faults) > 0 {
		return sections{}, &SettingsFault{faults}
	}
	return all, nil
}

// around is what this gatekeeper has that limits of the fleet may need.
func (n *Node) around() config.Features {
	return config.Features{Gossip: n.deploy.Fleet != nil, Store: n.storeShared()}
}

// storeShared tells whether this gatekeeper is a member of a store that others are members of too.
func (n *Node) storeShared() bool { return len(n.deploy.StorePeers) > 0 || n.deploy.StoreJoin }

// reloadSections takes the sections of a deploy file that was read again, and gives what is in force now.
func (n *Node) reloadSections(file sections) (now sections, fromRecords []string) {
	n.settings.mu.Lock()
	defer n.settings.mu.Unlock()
	n.settings.file = file
	return n.putInForce(), n.settings.names()
}

// putInForce puts the sections in force that the file and the records give together. The limits of calls and those of the
// fleet change in one turn of the core; the list of servers follows. It is called with the lock held.
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
	n.list.Apply(routing.Update{Source: fromFile, Complete: true, Hosts: now.hosts}, nil)
	if limiter != nil {
		n.figures.setLimits(quotaLimits(now.limits), limiter)
	}
	return now
}

// quotaLimits are limits of the fleet as the limiter takes them; without any, nothing is limited.
func quotaLimits(l *config.Limits) quota.Limits {
	if l == nil {
		return quota.Limits{Parts: 1}
	}
	return l.Limits
}

// leaseAddresses are where the limits name members of a store that leases them.
func leaseAddresses(l *config.Limits) *[]string {
	if l == nil {
		return &[]string{}
	}
	return &l.Store
}

// settingsStatus is how this gatekeeper stands to the settings of the control machines; nil where it follows none.
func (n *Node) settingsStatus() *follow.Status {
	f := n.settings.follower.Load()
	if f == nil {
		return nil
	}
	st := f.Status()
	return &st
}

// closeSettings ends the session; what is in force stays so.
func (n *Node) closeSettings() {
	if f := n.settings.follower.Load(); f != nil {
		f.Close()
	}
}
