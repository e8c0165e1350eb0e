// Package limits enforces the fleet's limits (control/quota) at one gatekeeper: it renews leases from the store, exchanges
// claims by gossip, and admits or refuses calls for the core. Its state has its own lock, so that the core never waits for the
// store or the gossip.
package limits

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/advice"
	"beammux/control/quota"
	"beammux/control/registers"
	"beammux/internal/routing"
)

// LeaseKey is the store's record that holds the leases.
const LeaseKey = "limits/leases"

const (
	claimInterval = quota.SettleTime / 10
	renewTimeout  = 1200 * time.Millisecond
	maxRules      = 1024 // accepted from another member
)

// Gossip publishes and reads registers, for the near mode. *fleet.Fleet implements it.
type Gossip interface {
	Publish(t registers.Topic, value []byte) error
	Read(t registers.Topic) []registers.Register
	UpCount() int
}

// Leaser hands a request to the reducer of LeaseKey in the store.
type Leaser func(ctx context.Context, request []byte) (answer []byte, err error)

// Options of a limiter.
type Options struct {
	Name   string
	Start  uint64 // start number of this process; a later process has a greater one
	Limits quota.Limits
	Gossip Gossip                // nil if no limit uses the near mode
	Lease  Leaser                // nil if no limit uses the leased mode
	Now    func() control.Micros // the core's clock
	Log    logrus.FieldLogger
}

// Limiter enforces the limits at this gatekeeper. It is safe for concurrent use.
type Limiter struct {
	options Options
	stop    context.CancelFunc
	done    sync.WaitGroup
	decoder cbor.DecMode
	mu      sync.Mutex
	member  *quota.Member
	faults  [sourceCount]*Fault
	// failingSince is the time of the first failed renewal of the leases after the last successful one; zero if none failed.
	failingSince time.Time
}

// Fault is a current problem of the limits, as shown to operators.
type Fault struct {
	Message string `json:"what"`
	Advice  string `json:"advice"`
}

// Open puts limits in force and starts the renewal of leases and the exchange of claims.
func Open(o Options) (*Limiter, error) {
	decMode, err := cbor.DecOptions{MaxMapPairs: maxRules, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Limiter{options: o, stop: stop, decoder: decMode, member: quota.NewMember(o.Name, o.Start, o.Limits, o.Now())}
	if o.Gossip != nil {
		l.done.Go(func() { runPeriodically(ctx, time.Duration(claimInterval)*time.Microsecond, l.exchangeClaims) })
	}
	if o.Lease != nil {
		l.done.Go(func() {
			runPeriodically(ctx, time.Duration(quota.RenewInterval)*time.Microsecond, func() { l.renewLeases(ctx) })
		})
	}
	return l, nil
}

// runPeriodically calls f at once and then at each interval, until ctx ends.
func runPeriodically(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		f()
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// Close stops the renewals and exchanges.
func (l *Limiter) Close() {
	l.stop()
	l.done.Wait()
}

// Change puts other limits in force for the calls that arrive from now on.
func (l *Limiter) Change(limits quota.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.member.Change(l.options.Now(), limits)
}

// exchangeClaims publishes this member's claims and applies those of the others.
func (l *Limiter) exchangeClaims() {
	var reports []quota.Report
	for _, r := range l.options.Gossip.Read(registers.Limits) {
		var claims map[string]quota.Claims
		if r.Origin != l.options.Name && l.decoder.Unmarshal(r.Value, &claims) == nil {
			reports = append(reports, quota.Report{Origin: r.Origin, Age: r.Age, Claims: claims})
		}
	}
	up := l.options.Gossip.UpCount()
	l.mu.Lock()
	now := l.options.Now()
	claims := l.member.OwnClaims(now)
	l.member.ApplyReports(now, reports)
	err := l.member.SetMembersUp(now, up)
	l.mu.Unlock()
	l.setFault(fromGossip, err)
	if len(claims) == 0 {
		return
	}
	if encoded, err := encoder.Marshal(claims); err == nil {
		l.options.Gossip.Publish(registers.Limits, encoded) // an error is logged by the fleet
	}
}

// encoder encodes equal claims as equal bytes.
var encoder = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCanonical, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// renewLeases renews this member's leases.
func (l *Limiter) renewLeases(ctx context.Context) {
	l.mu.Lock()
	request, ok := l.member.NextRequest(l.options.Now())
	l.mu.Unlock()
	if !ok {
		return
	}
	encoded, err := json.Marshal(request)
	if err == nil {
		var answer []byte
		renewCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		answer, err = l.options.Lease(renewCtx, encoded)
		cancel()
		if err == nil {
			a := &quota.Response{}
			if err = json.Unmarshal(answer, a); err == nil {
				l.mu.Lock()
				l.member.ApplyResponse(l.options.Now(), a)
				l.mu.Unlock()
			}
		}
	}
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		l.failingSince = time.Time{}
		l.setFault(fromStore, nil)
		return
	}
	if l.failingSince.IsZero() {
		l.failingSince = time.Now()
	}
	if failingFor := time.Since(l.failingSince); failingFor > time.Duration(quota.LeaseDuration)*time.Microsecond {
		l.setFault(fromStore, &quota.LeaseExpiredError{ForMs: failingFor.Milliseconds(), Err: err})
	}
}

// source is the loop that a fault comes from: a success of one does not clear a fault of the other.
type source int

const (
	fromGossip source = iota
	fromStore
	sourceCount
)

// setFault stores the error of a loop for operators, nil for none, and logs when a fault begins and ends.
func (l *Limiter) setFault(from source, err error) {
	var current *Fault
	if err != nil {
		current = &Fault{err.Error(), advice.Of(err)}
	}
	l.mu.Lock()
	previous := l.faults[from]
	l.faults[from] = current
	l.mu.Unlock()
	switch {
	case previous == nil && current != nil:
		l.options.Log.WithError(err).WithField("advice", current.Advice).Warn("limits: degraded")
	case previous != nil && current == nil:
		l.options.Log.Info("limits: recovered")
	}
}

// Status is the state of the limits at this gatekeeper, as shown to operators.
type Status struct {
	Rules  []quota.Status `json:"rules"`
	Faults []Fault        `json:"faults"` // current problems
}

// Status gives it.
func (l *Limiter) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{Rules: l.member.Status(l.options.Now()), Faults: []Fault{}}
	for _, f := range l.faults {
		if f != nil {
			s.Faults = append(s.Faults, *f)
		}
	}
	return s
}

// For implements routing.Quotas.
func (l *Limiter) For(s *routing.Setup) routing.Quota {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.member.CountArrival(l.options.Now(), s.Tenant, s.Class, s.Key) {
		return nil
	}
	return &admission{limiter: l, tenant: s.Tenant, class: s.Class, number: s.Key}
}

// admission is the routing.Quota of one call.
type admission struct {
	limiter       *Limiter
	tenant, class int
	number        string
	claim         *quota.Permit
}

// Take implements control.Quota.
func (c *admission) Take(now control.Micros) (ok bool, wait control.Micros) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.claim, ok, wait = c.limiter.member.Take(now, c.tenant, c.class, c.number)
	return ok, wait
}

// Done implements routing.Quota.
func (c *admission) Done() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.member.Done(c.claim)
	c.claim = nil
}
