// Package controlmachine runs a control machine: a member of the replicated store that serves no callers. It validates the
// settings that operators write, and serves the watch sessions over which gatekeepers follow their settings.
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
	waitLogInterval = 10 * time.Second       // between log lines of a start that waits for the group
	drainDelay      = 500 * time.Millisecond // between reporting "not ready" and closing, so that readiness probes notice it
)

// Default admission limits. One machine admits the sessions of the largest planned fleet (2,200 gatekeepers) within 11 s.
const (
	defaultSessionsPerSecond  = 200
	defaultSessionsBurst      = 200
	defaultSnapshotsPerSecond = 200
	defaultSnapshotsBurst     = 200
)

// Machine is a running control machine.
type Machine struct {
	cfg      *config.ControlMachine
	log      logrus.FieldLogger
	store    *store.Node
	server   *ops.Server // nil: no operators' address
	gauges   *gauges
	site     atomic.Pointer[control.Site] // writes are validated against it; nil: only their structure is checked
	caughtUp atomic.Bool                  // the member has caught up with its group
	closing  atomic.Bool                  // Drain or Close was called
}

// Start starts a control machine. It returns once the machine has replayed its log and caught up with a leader, without a time
// limit, or when startCtx is done. The operators' address is opened first and reports not ready until then.
func Start(startCtx context.Context, cfg *config.ControlMachine, log logrus.FieldLogger) (_ *Machine, err error) {
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
	m.gauges = newGauges(m)
	if cfg.AdminAddr != "" {
		if m.server, err = ops.ListenProcess(cfg.AdminAddr, m, log); err != nil {
			return nil, err
		}
		log.WithField("listen", m.server.Addr()).Info("operators' address serving")
	}
	if err = m.awaitStore(startCtx); err != nil {
		return nil, err
	}
	m.caughtUp.Store(true)
	st := m.store.Status()
	log.WithFields(logrus.Fields{"listen": cfg.Store.Listen, "records": st.Records, "applied": st.Applied, "votes": isVoter(st),
		"proved": cfg.Site != nil}).Info("control machine ready")
	return m, nil
}

// openStore opens this machine's member of the store, which accepts connections from then on.
func (m *Machine) openStore() error {
	storeConfig := m.cfg.Store
	options := store.Options{Node: storeConfig.Node, Dir: storeConfig.Dir, Sync: storeConfig.Sync, Join: storeConfig.Join, Via: storeConfig.Via, Log: m.log,
		Election: m.cfg.ElectionTimeout,
		Reducers: map[string]store.Reducer{limits.LeaseKey: quota.Reduce},
		Check:    func(writes []store.Write) error { return Check(writes, m.site.Load()) },
		Serve: &store.ServeOptions{Name: m.cfg.Name, Zone: m.cfg.Zone, Region: m.cfg.Region, Prefix: scope.Prefix,
			Admission: admissionOptions(m.cfg.Admission)},
	}
	for _, peer := range storeConfig.Peers {
		options.Peers = append(options.Peers, store.Peer{Node: peer.Node, Address: peer.Address, NonVoter: peer.NonVoter})
	}
	var err error
	if options.Listener, err = net.Listen("tcp", storeConfig.Listen); err != nil {
		return err
	}
	if m.store, err = store.Open(options); err != nil {
		options.Listener.Close()
		return err
	}
	m.log.WithField("listen", options.Listener.Addr().String()).Info("store listening")
	return nil
}

// admissionOptions returns the store's admission options, with defaults for rates that the file does not set.
func admissionOptions(a config.Admission) store.AdmissionOptions {
	return store.AdmissionOptions{
		Sessions:          a.Sessions,
		SessionsPerSecond: cmp.Or(a.SessionsPerS, defaultSessionsPerSecond), SessionsBurst: cmp.Or(a.SessionsBurst, defaultSessionsBurst),
		SnapshotsPerSecond: cmp.Or(a.SnapshotsPerS, defaultSnapshotsPerSecond), SnapshotsBurst: cmp.Or(a.SnapshotsBurst, defaultSnapshotsBurst),
	}
}

// awaitStore waits until the member is ready or startCtx is done, and logs a warning every waitLogInterval.
func (m *Machine) awaitStore(startCtx context.Context) error {
	startTime := time.Now()
	for {
		ctx, cancel := context.WithTimeout(startCtx, waitLogInterval)
		err := m.store.WaitReady(ctx)
		cancel()
		if err == nil {
			return nil
		}
		if startCtx.Err() != nil {
			return fmt.Errorf("start canceled while waiting for the group: %w", context.Cause(startCtx))
		}
		m.log.WithError(err).WithFields(logrus.Fields{"waited_ms": time.Since(startTime).Milliseconds(),
			"advice": "start a majority of the voting control machines; gatekeepers keep their last good settings meanwhile"}).
			Warn("control machine: not ready, the start waits for the group")
	}
}

// Check validates writes of settings records and returns an error if gatekeepers would refuse them. Deletes and writes of other
// records are not checked. The error has one line per fault, which names the record's key in place of a file. If site is nil,
// only their structure is checked.
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

// Reload reads the machine's file again. Later writes are validated against the gatekeeper configuration that the file names;
// other changes take effect at the next start. An invalid file is logged and changes nothing.
func (m *Machine) Reload(file string) {
	cfg, err := config.LoadControlMachine(file)
	if err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			m.log.WithField("error", line).Error("reload: file is invalid, the last good one stays in force")
		}
		return
	}
	m.site.Store(cfg.Site)
	m.log.WithFields(logrus.Fields{"gatekeeper": cfg.GatekeeperConfig, "proved": cfg.Site != nil}).
		Info("reloaded the gatekeeper configuration that settings are validated against; other changes take effect at the next start")
}

// Ready implements ops.Process. It reports whether the member has caught up with its group and is not shutting down.
func (m *Machine) Ready() bool { return m.caughtUp.Load() && !m.closing.Load() }

// OperatorsAddr returns the listen address for operators, or "" if there is none.
func (m *Machine) OperatorsAddr() string {
	if m.server == nil {
		return ""
	}
	return m.server.Addr()
}

// Drain reports not ready for drainDelay, then closes the machine. Its gatekeepers reconnect to other control machines, each
// after its own random delay.
func (m *Machine) Drain() {
	m.closing.Store(true)
	m.log.Info("draining: sessions move to other control machines")
	if err := m.store.StepDown(); err != nil {
		m.log.WithError(err).Warn("store: leadership was not transferred; the group elects a new leader")
	}
	time.Sleep(drainDelay)
	m.Close()
	m.log.Info("drained")
}

// Close shuts the machine down immediately.
func (m *Machine) Close() {
	m.closing.Store(true)
	if m.server != nil {
		m.server.Close()
	}
	if m.store != nil {
		if err := m.store.Close(); err != nil {
			m.log.WithError(err).Warn("store: not closed cleanly")
		}
	}
}
