package hollow

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/quota"
	"beammux/control/registers"
	"beammux/internal/fleet"
	"beammux/internal/limits"
	"beammux/internal/store"
)

const (
	registerBytes    = 100 // size of the register that each gatekeeper publishes
	registerInterval = time.Second
	leaseTimeout     = 600 * time.Millisecond // of a request to one control machine, as in a real gatekeeper
)

// followState is the state of a follower. inForce and highest are revisions.
type followState struct {
	inForce, highest uint64
	replica          string // control machine that the follower is connected to; "": none
	behind           bool   // the settings in force may be out of date
}

// candidate is a set of settings to be put in force, with its sections in the order of Content.
type candidate struct {
	revision  uint64
	sections  []Section
	refusable bool
}

// gatekeeper is one hollow gatekeeper of this process.
type gatekeeper struct {
	Gatekeeper
	process      *process
	traffic      traffic
	leaseTraffic traffic      // of lease requests: store.ReduceAt dials by itself, so the bytes of requests and responses are counted instead
	gossipBytes  atomic.Int64 // sent before the last restart

	mu         sync.Mutex
	startCount int
	follower   *settingsFollower
	fleet      *fleet.Fleet
	limiter    *limits.Limiter
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
}

// start opens the parts of the gatekeeper's control side that the configuration asks for.
func (g *gatekeeper) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.process.config
	g.startCount++
	startCount := g.startCount
	g.process.emit(Event{Kind: GatekeeperUp, Name: g.Name, StartCount: startCount})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	if c.Membership {
		if err := g.joinFleet(ctx); err != nil {
			return err
		}
	}
	if c.Limits {
		if err := g.openLimiter(); err != nil {
			return err
		}
	}
	if len(c.Replicas) == 0 {
		return nil
	}
	dir := ""
	if c.Dir != "" {
		dir = filepath.Join(c.Dir, g.Name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
	}
	f, err := openFollower(g, dir, func(c candidate) error { return g.apply(startCount, c) })
	if err != nil {
		return fmt.Errorf("%s: %w", g.Name, err)
	}
	g.follower = f
	return nil
}

// apply reports that a candidate is in force or, with an error, that the gatekeeper refuses it.
func (g *gatekeeper) apply(startCount int, c candidate) error {
	marker := uint64(0)
	if len(c.sections) > 0 {
		marker = c.sections[0].Marker
	}
	if c.refusable && g.Refuses {
		g.process.emit(Event{Kind: CandidateRefused, Name: g.Name, StartCount: startCount, Revision: c.revision, Marker: marker})
		return fmt.Errorf("change %d is refused by this gatekeeper", marker)
	}
	g.process.emit(Event{Kind: CandidateApplied, Name: g.Name, StartCount: startCount, Revision: c.revision, Sections: c.sections})
	return nil
}

// joinFleet joins the gossip group, and starts to publish a register if the configuration asks for it.
func (g *gatekeeper) joinFleet(ctx context.Context) error {
	f, err := fleet.Open(fleet.Options{Name: g.Name, Zone: g.Zone, Region: g.Region, Group: g.Group, Program: "hollow", Bind: g.Bind, RegisterBytes: g.process.config.RegisterBytes,
		Seeds: g.process.config.Groups[g.Group].Seeds, Log: errorLogger()})
	if err != nil {
		return err
	}
	g.fleet = f
	if !g.process.config.Registers {
		return nil
	}
	g.tasks.Go(func() {
		tick := time.NewTicker(registerInterval)
		defer tick.Stop()
		for n := 0; ; n++ {
			f.Publish(registers.Rates, fmt.Appendf(nil, "%0*d", registerBytes, n))
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return nil
}

// openLimiter opens the limiter with one leased rule.
func (g *gatekeeper) openLimiter() error {
	options := limits.Options{Name: g.Name, Start: uint64(time.Now().UnixMilli()), Now: func() control.Micros { return control.Micros(time.Now().UnixMicro()) }, Log: errorLogger(),
		Limits: quota.Limits{Parts: g.process.config.Parts, Rules: []quota.Rule{{Name: "all", Tenant: -1, Class: -1, Prefix: true, Mode: quota.Leased,
			PerS: 100 * float64(g.process.config.Parts), Burst: 100 * float64(g.process.config.Parts), Floor: 0.02}}}}
	if g.fleet != nil {
		options.Gossip = g.fleet
	}
	machines := g.process.config.Replicas
	options.Lease = func(ctx context.Context, request []byte) ([]byte, error) {
		within, cancel := context.WithTimeout(ctx, leaseTimeout)
		defer cancel()
		machine := machines[int(g.leaseTraffic.opened.Add(1))%len(machines)]
		answer, err := store.ReduceAt(within, machine.Address, limits.LeaseKey, request)
		g.leaseTraffic.sent.Add(int64(len(request)))
		g.leaseTraffic.received.Add(int64(len(answer)))
		return answer, err
	}
	l, err := limits.Open(options)
	g.limiter = l
	return err
}

// shutDown stops the gatekeeper's control side.
func (g *gatekeeper) shutDown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cancel != nil {
		g.cancel()
	}
	if g.follower != nil {
		g.follower.Close()
	}
	if g.limiter != nil {
		g.limiter.Close()
	}
	if g.fleet != nil {
		g.gossipBytes.Add(g.fleet.Status().Bytes)
		g.fleet.Close()
	}
	g.tasks.Wait()
	g.follower, g.limiter, g.fleet = nil, nil, nil
}

// restart stops the gatekeeper and starts it again after a delay of down.
func (g *gatekeeper) restart(down time.Duration) error {
	g.process.emit(Event{Kind: GatekeeperDown, Name: g.Name})
	g.shutDown()
	time.Sleep(down)
	return g.start()
}

// state returns the state of the follower and the number of members that the gatekeeper considers up.
func (g *gatekeeper) state() (s followState, membersUp int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.follower != nil {
		s = g.follower.state()
	}
	if g.fleet != nil {
		membersUp = g.fleet.UpCount()
	}
	return s, membersUp
}

// counts returns the counters of the gatekeeper.
func (g *gatekeeper) counts() GatekeeperCounts {
	s, membersUp := g.state()
	gossipBytes := g.gossipBytes.Load()
	g.mu.Lock()
	fresh, oldest := 0, control.Micros(0)
	if g.fleet != nil {
		gossipBytes += g.fleet.Status().Bytes
		for _, r := range g.fleet.Read(registers.Rates) {
			fresh++
			oldest = max(oldest, r.Age)
		}
	}
	g.mu.Unlock()
	return GatekeeperCounts{FreshRegisters: fresh, OldestRegisterMicros: int64(oldest), Name: g.Name, Sent: g.traffic.sent.Load(), Received: g.traffic.received.Load(), ConnectionsOpened: g.traffic.opened.Load(),
		GossipBytes: gossipBytes, LeaseBytes: g.leaseTraffic.sent.Load() + g.leaseTraffic.received.Load(), InForce: s.inForce, HighestSeen: s.highest, MembersUp: membersUp}
}

// errorLogger returns a logger for errors only: lower levels from many gatekeepers would flood the log.
func errorLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	l.SetLevel(logrus.ErrorLevel)
	return l
}
