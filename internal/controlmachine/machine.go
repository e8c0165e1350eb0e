// Package controlmachine runs a control machine: a member of the replicated store that serves no callers. It checks what
// operators write, and serves the sessions in which gatekeepers follow their settings.
package controlmachine

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/quota"
	"beammux/control/scope"
	"beammux/internal/config"
	"beammux/internal/jsonfile"
	"beammux/internal/limits"
	"beammux/internal/ops"
	"beammux/internal/store"
)

const (
	sayEvery = 10 * time.Second       // how often a start that goes on waiting for the group says so
	drainFor = 500 * time.Millisecond // between "not ready" and the end: for those who ask whether it is ready
)

// What a control machine takes on at a time, where its file does not say: the sessions of the largest fleet that is planned
// for (2,200 gatekeepers) within 11 s at one machine.
const (
	sessionsPerS   = 200
	sessionsBurst  = 200
	snapshotsPerS  = 200
	snapshotsBurst = 200
)

// Machine is a running control machine.
type Machine struct {
	cfg     *config.ControlMachine
	log     logrus.FieldLogger
	store   *store.Node
	server  *ops.Server // nil: off
	figures *figures
	site    atomic.Pointer[control.Site] // that writes are proved against; nil: their form alone is checked
	up      atomic.Bool
	ending  atomic.Bool
}

// Start brings a control machine up, and returns once it has replayed its log and caught up with a leader, however long that
// takes, or when begin ends. The operators' address opens first, and says not ready until then.
func Start(begin context.Context, cfg *config.ControlMachine, log logrus.FieldLogger) (_ *Machine, err error) {
	m := &Machine{cfg: cfg, log: log}
	m.site.Store(cfg.Site)
	defer func() {
		if err != nil {
			m.Close()
		}
	}()
	if err = m.openStore(); err != nil {
		return nil, err
	}
	m.figures = newFigures(m)
	if cfg.AdminAddr != "" {
		if m.server, err = ops.ListenProcess(cfg.AdminAddr, m, log); err != nil {
			return nil, err
		}
		log.WithField("listen", m.server.Addr()).Info("operators' address serving")
	}
	if err = m.awaitStore(begin); err != nil {
		return nil, err
	}
	m.up.Store(true)
	st := m.store.Status()
	log.WithFields(logrus.Fields{"listen": cfg.Store.Listen, "records": st.Records, "applied": st.Applied, "votes": votes(st),
		"proved": cfg.Site != nil}).Info("control machine ready")
	return m, nil
}

// openStore opens this machine's member of the store, which takes connections from then on.
func (m *Machine) openStore() error {
	s := m.cfg.Store
	o := store.Options{Node: s.Node, Dir: s.Dir, Sync: s.Sync, Join: s.Join, Via: s.Via, Log: m.log,
		Election: m.cfg.ElectionTimeout,
		Reducers: map[string]store.Reducer{limits.LeaseKey: quota.Reduce},
		Check:    func(writes []store.Write) error { return Check(writes, m.site.Load()) },
		Serve: &store.ServeOptions{Name: m.cfg.Name, Zone: m.cfg.Zone, Region: m.cfg.Region, Prefix: scope.Prefix,
			Admission: admission(m.cfg.Admission)},
	}
	for _, p := range s.Peers {
		o.Peers = append(o.Peers, store.Peer{Node: p.Node, Address: p.Address, NonVoter: p.NonVoter})
	}
	var err error
	if o.Listener, err = net.Listen("tcp", s.Listen); err != nil {
		return err
	}
	if m.store, err = store.Open(o); err != nil {
		o.Listener.Close()
		return err
	}
	m.log.WithField("listen", o.Listener.Addr().String()).Info("store listening")
	return nil
}

// admission fills in what the file leaves out.
func admission(a config.Admission) store.AdmissionOptions {
	return store.AdmissionOptions{
		Sessions:          a.Sessions,
		SessionsPerSecond: cmp.Or(a.SessionsPerS, sessionsPerS), SessionsBurst: cmp.Or(a.SessionsBurst, sessionsBurst),
		SnapshotsPerSecond: cmp.Or(a.SnapshotsPerS, snapshotsPerS), SnapshotsBurst: cmp.Or(a.SnapshotsBurst, snapshotsBurst),
	}
}

// awaitStore waits until the member is ready, and says every few seconds that it waits.
func (m *Machine) awaitStore(begin context.Context) error {
	began := time.Now()
	for {
		ctx, cancel := context.WithTimeout(begin, sayEvery)
		err := m.store.WaitReady(ctx)
		cancel()
		if err == nil {
			return nil
		}
		if begin.Err() != nil {
			return fmt.Errorf("start ended while it waited for the group: %w", context.Cause(begin))
		}
		m.log.WithError(err).WithFields(logrus.Fields{"waited_ms": time.Since(began).Milliseconds(),
			"advice": "bring a majority of the voting control machines up; gatekeepers go on with their last good settings"}).
			Warn("control machine: not ready, the start waits for the group")
	}
}

// Check refuses writes of settings records that no gatekeeper could take. Other records, and deletes, are not looked at.
// The error has a line for each fault, with the record's key in place of the file's name. site may be nil: then only the
// form is checked.
func Check(writes []store.Write, site *control.Site) error {
	var faults jsonfile.Faults
	for _, w := range writes {
		if w.Delete || !strings.HasPrefix(w.Key, scope.Prefix) {
			continue
		}
		err := config.CheckSettings(w.Key, w.Value, site)
		var found jsonfile.Faults
		switch {
		case errors.As(err, &found):
			faults = append(faults, found...)
		case err != nil:
			faults = append(faults, jsonfile.Fault{File: w.Key, Reason: err.Error()})
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return faults
}

// Reload reads the file again and proves what is written from now on against the gatekeeper's configuration that it names.
// All else takes effect at the next start. A bad file leaves all as it was.
func (m *Machine) Reload(file string) {
	cfg, err := config.LoadControlMachine(file)
	if err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			m.log.WithField("error", line).Error("reload: file is bad, last good one kept")
		}
		return
	}
	m.site.Store(cfg.Site)
	m.log.WithFields(logrus.Fields{"gatekeeper": cfg.GatekeeperConfig, "proved": cfg.Site != nil}).
		Info("reloaded the gatekeeper's configuration that settings are proved against; other changes take effect at the next start")
}

// Ready implements ops.Process: yes once the member has caught up with its group, and until it ends.
func (m *Machine) Ready() bool { return m.up.Load() && !m.ending.Load() }

// OperatorsAddr is where the operators' address listens, or "" where it is off.
func (m *Machine) OperatorsAddr() string {
	if m.server == nil {
		return ""
	}
	return m.server.Addr()
}

// Drain says not ready for a short while, then ends the machine. Its gatekeepers move to other control machines by
// themselves, each after a wait of its own.
func (m *Machine) Drain() {
	m.ending.Store(true)
	m.log.Info("draining: sessions move to other control machines")
	if err := m.store.StepDown(); err != nil {
		m.log.WithError(err).Warn("store: the lead was not handed on, the group elects a leader by itself")
	}
	time.Sleep(drainFor)
	m.Close()
	m.log.Info("drained")
}

// Close ends the machine at once.
func (m *Machine) Close() {
	m.ending.Store(true)
	if m.server != nil {
		m.server.Close()
	}
	if m.store != nil {
		if err := m.store.Close(); err != nil {
			m.log.WithError(err).Warn("store: not closed cleanly")
		}
	}
}
