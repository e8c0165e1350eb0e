// Package limits enforces the fleet's limits (control/quota) at one gatekeeper: it renews leases from the store, exchanges
// claims by gossip, and admits or refuses calls for the core. Its state lies under a lock of its own: the core never waits for
// the store or the gossip.
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
	maxRules      = 1024 // that are read from another member
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
	Start  uint64 // of this process; later ones have a greater
	Limits quota.Limits
	Gossip Gossip                // nil: near is not used
	Lease  Leaser                // nil: leased is not used
	Now    func() control.Micros // the core's clock
	Log    logrus.FieldLogger
}

// Limiter enforces the limits at this gatekeeper. It is safe for concurrent use.
type Limiter struct {
	options  Options
	stop     context.CancelFunc
	done     sync.WaitGroup
	decoding cbor.DecMode
	mu       sync.Mutex
	member   *quota.Member
	faults   [sources]*Fault
	// Of the leases: since when none could be renewed.
	failingSince time.Time
}

// Fault is what is wrong with the limits now, as operators read it.
type Fault struct {
	Message string `json:"what"`
	Advice  string `json:"advice"`
}

// Open puts limits in force.
func Open(o Options) (*Limiter, error) {
	read, err := cbor.DecOptions{MaxMapPairs: maxRules, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Limiter{options: o, stop: stop, decoding: read, member: quota.NewMember(o.Name, o.Start, o.Limits, o.Now())}
	if o.Gossip != nil {
		l.done.Go(func() { every(ctx, time.Duration(claimInterval)*time.Microsecond, l.exchangeClaims) })
	}
	if o.Lease != nil {
		l.done.Go(func() { every(ctx, time.Duration(quota.RenewInterval)*time.Microsecond, func() { l.renewLeases(ctx) }) })
	}
	return l, nil
}

// every calls f at once and then at each interval, until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
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

// Change puts other limits in force for the calls that come from now on.
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
		if r.Origin != l.options.Name && l.decoding.Unmarshal(r.Value, &claims) == nil {
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
	l.setFault(ofGossip, err)
	if len(claims) == 0 {
		return
	}
	if text, err := encoding.Marshal(claims); err == nil {
		l.options.Gossip.Publish(registers.Limits, text) // an error is logged by the fleet
	}
}

// canonical writes equal claims as equal bytes.
var encoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCanonical, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// lease renews this member's leases.
func (l *Limiter) renewLeases(ctx context.Context) {
	l.mu.Lock()
	request, ok := l.member.NextRequest(l.options.Now())
	l.mu.Unlock()
	if !ok {
		return
	}
	text, err := json.Marshal(request)
	if err == nil {
		var answer []byte
		within, cancel := context.WithTimeout(ctx, renewTimeout)
		answer, err = l.options.Lease(within, text)
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
		l.setFault(ofStore, nil)
		return
	}
	if l.failingSince.IsZero() {
		l.failingSince = time.Now()
	}
	if failed := time.Since(l.failingSince); failed > time.Duration(quota.LeaseDuration)*time.Microsecond {
		l.setFault(ofStore, &quota.LeaseExpiredError{ForMs: failed.Milliseconds(), Err: err})
	}
}

// source tells which of the two loops a fault comes from: a success of one does not clear a fault of the other.
type source int

const (
	ofGossip source = iota
	ofStore
	sources
)

// setFault keeps the error of a loop for operators, nil for none, and logs when a fault begins and ends.
func (l *Limiter) setFault(from source, err error) {
	var now *Fault
	if err != nil {
		now = &Fault{err.Error(), advice.Of(err)}
	}
	l.mu.Lock()
	before := l.faults[from]
	l.faults[from] = now
	l.mu.Unlock()
	switch {
	case before == nil && now != nil:
		l.options.Log.WithError(err).WithField("advice", now.Advice).Warn("limits: not as they should be")
	case before != nil && now == nil:
		l.options.Log.Info("limits: as they should be again")
	}
}

// Status is this gatekeeper's side of the limits, as operators read it.
type Status struct {
	Rules  []quota.Status `json:"rules"`
	Faults []Fault        `json:"faults"` // what is wrong now
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

// call is one call under limits.
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
