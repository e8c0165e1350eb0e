// Package quota enforces limits that hold for a whole fleet: calls per second and concurrent calls, by tenant, class and
// number. It does no I/O and reads no clock.
//
// A limit has one of three modes. In mode "leased", members lease shares of the limit from the replicated store (Table), and
// all gatekeepers together admit at most per_s x t + burst calls over any time t, whichever links or members fail. In mode
// "near", each member publishes its demand by gossip and uses the part that the other members appear to leave (near.go states
// the bound). In mode "alone", each gatekeeper enforces the whole limit by itself. docs/design-limits.md derives the bounds.
package quota

import (
	"math"
	"math/rand/v2"
	"strings"

	"beammux/control"
)

// Mode is the way in which the members share a limit.
type Mode uint8

// Modes of a limit.
const (
	Alone  Mode = iota // each member has the whole limit
	Near               // members share the limit by claims that they publish by gossip
	Leased             // members share the limit by leases from the replicated store
)

var modeNames = [...]string{"alone", "near", "leased"}

// String returns the mode's name in the settings.
func (m Mode) String() string {
	if int(m) >= len(modeNames) {
		return "unknown"
	}
	return modeNames[m]
}

// MarshalText implements encoding.TextMarshaler.
func (m Mode) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// ParseMode returns the mode with a name of the settings, and whether there is one.
func ParseMode(name string) (Mode, bool) {
	for i, n := range modeNames {
		if n == name {
			return Mode(i), true
		}
	}
	return 0, false
}

// ModeNames returns the names of all modes.
func ModeNames() []string { return modeNames[:] }

// Rule is one limit, on the calls that it matches.
type Rule struct {
	Name          string
	Tenant, Class int    // -1: any
	Number        string // called number, or its prefix if Prefix is set; "" with Prefix: any
	Prefix        bool
	Mode          Mode
	PerS, Burst   float64 // admitted calls per second, and at the same moment; PerS 0: no limit on the rate
	Open          int     // concurrent calls, established or being set up; 0: no limit on these
	Reserve       float64 // share of the rate that is reserved for the classes of the greatest worth
	Floor         float64 // mode Leased: share of PerS that all members together may use without a lease
}

// matches reports whether the rule applies to a call.
func (r *Rule) matches(tenant, class int, number string) bool {
	return (r.Tenant < 0 || r.Tenant == tenant) && (r.Class < 0 || r.Class == class) &&
		(number == r.Number || r.Prefix && strings.HasPrefix(number, r.Number))
}

// Limits holds the rules in force.
type Limits struct {
	Rules         []Rule
	Parts         int    // greatest number of gatekeepers that run; each is entitled to 1/Parts of a limit
	MayUseReserve []bool // by class: whether the class is of the greatest worth and may use the reserve
}

// Parameters of the modes.
const (
	LeaseDuration = control.Micros(1500000) // Leased: duration of a lease from the request that renewed it
	RenewInterval = control.Micros(400000)  // Leased: interval between requests

	SettleTime       = control.Micros(1000000) // Near: a claim may be used once it was published this long ago
	TransitAllowance = control.Micros(200000)  // Near: allowance for time on the wire, which reported ages do not include
	ReportLifetime   = control.Micros(200000)  // Near: time for which the others' claims are used as last reported
	GrowTime         = control.Micros(700000)  // Near: time in which a claim may grow by the whole limit
	minClaimShare    = 0.002                   // Near: share of the limit that is claimed regardless of the demand

	demandDecayTime = control.Micros(700000) // time constant of the measured demand
	headroom        = 1.15                   // requested rate as a multiple of the demand, since calls arrive unevenly
	minDemand       = 0.05                   // calls per second; a lower demand counts as 0
	floorTokens     = 1.0                    // bucket capacity of a member without a lease
	spareSlots      = 2.0                    // slots requested beyond those in use

	minWait    = 100000 // us; least wait that a refused caller is told
	maxWait    = 30e6   // us; greatest wait before jitter
	waitJitter = 0.5    // greatest random addition to the wait, as a fraction of it
)

// ruleState is the state of one rule at this member.
type ruleState struct {
	Rule
	bucket   bucket
	demand   demand // rate of arriving calls
	admitted int64
	refused  int64

	open           int
	slots          float64 // calls that may be open at this member
	refusedBySlots demand  // rate of calls refused for lack of a slot

	rateLease, slotLease leasedShare
	rateClaim, slotClaim claim
}

// leasedShare is this member's lease on one capacity: the leased rate, and its fair share as of the last response.
type leasedShare struct {
	rate, target float64
}

// demand measures a rate of calls with exponential decay. It decays faster during a silence that is unlikely at the measured
// rate: if calls arrive at random at rate r, none arrives during time t with probability exp(-r t).
type demand struct {
	perS                float64
	decayedAt, lastCall control.Micros
	rateAtLast          float64 // measured rate at the last call
}

// A silence reduces the measured rate only after shortSilence: on any machine, a process or its callers may be delayed by some
// tens of milliseconds, and at 100 calls per second 50 ms without a call are unlikely already. A claim that falls for such a
// delay is unavailable for SettleTime or longer.
const (
	shortSilence     = control.Micros(150000)
	toleratedMissing = 3 // calls that may be missing after shortSilence before the rate is reduced
)

// count records one call.
func (d *demand) count(now control.Micros) {
	d.decay(now)
	d.perS += 1e6 / float64(demandDecayTime)
	d.lastCall, d.rateAtLast = max(d.lastCall, now), d.perS
}

// decay brings the rate up to date.
func (d *demand) decay(now control.Micros) {
	if now > d.decayedAt {
		d.perS *= math.Exp(-float64(now-d.decayedAt) / float64(demandDecayTime))
		d.decayedAt = now
	}
}

// read returns the rate in calls per second, reduced if the silence since the last call is unlikely.
func (d *demand) read(now control.Micros) float64 {
	d.decay(now)
	missing := d.rateAtLast * float64(max(0, now-d.lastCall-shortSilence)) / 1e6
	return min(d.perS, d.rateAtLast*math.Exp(-max(0, missing-toleratedMissing)))
}

// Member enforces the limits at one gatekeeper. It is not safe for concurrent use.
type Member struct {
	name        string
	incarnation uint64
	limits      Limits
	startedAt   control.Micros
	rng         *rand.Rand
	states      []*ruleState
	byName      map[string]*ruleState

	seq         uint64
	sentAt      control.Micros // time of the last request
	leasedUntil control.Micros // end of the leases, by this member's clock
	tooMany     bool           // more members are up than Parts
}

// NewMember returns the member of a process that starts now. Its buckets start empty, since a former process of the same member
// may have used up their burst already.
func NewMember(name string, start uint64, limits Limits, now control.Micros) *Member {
	m := &Member{name: name, incarnation: start, startedAt: now, rng: rand.New(rand.NewPCG(start, 0x71756f7461)), byName: map[string]*ruleState{}}
	m.Change(now, limits)
	return m
}

// Change replaces the limits. A rule that keeps its name, mode and scope keeps its tokens and leases, as far as the new limit
// allows.
func (m *Member) Change(now control.Micros, updated Limits) {
	m.limits = updated
	m.limits.Parts = max(1, updated.Parts)
	previous := m.byName
	m.byName, m.states = map[string]*ruleState{}, nil
	for _, r := range updated.Rules {
		s := previous[r.Name]
		if s == nil || s.Mode != r.Mode || s.Tenant != r.Tenant || s.Class != r.Class || s.Number != r.Number || s.Prefix != r.Prefix {
			// A rule with another mode or scope is a new one even under the same name: the calls of one customer do not count
			// against another.
			s = &ruleState{}
			s.bucket.updatedAt = now
		}
		s.Rule = r
		s.bucket.reservedShare = r.Reserve
		s.rateLease.rate = min(s.rateLease.rate, r.PerS*(1-r.Floor))
		m.states = append(m.states, s)
		m.byName[r.Name] = s
		m.refresh(now, s)
	}
}

// SetMembersUp sets the number of members that are up. While it exceeds Parts, no member admits calls without a lease, and the
// result is a *TooManyMembersError.
func (m *Member) SetMembersUp(now control.Micros, up int) error {
	m.tooMany = up > m.limits.Parts
	for _, s := range m.states {
		m.refresh(now, s)
	}
	if m.tooMany {
		return &TooManyMembersError{up, m.limits.Parts}
	}
	return nil
}

// refresh sets a rule's bucket and slots to what this member may use now.
func (m *Member) refresh(now control.Micros, s *ruleState) {
	parts := float64(m.limits.Parts)
	switch s.Mode {
	case Alone:
		s.bucket.set(now, s.PerS, s.Burst)
		s.slots = float64(s.Open)
	case Leased:
		// The floor is available only after every lease of a former process of this member has ended, since that process may
		// still be running.
		withoutFloor := m.tooMany || now-m.startedAt < expiryAtTable(LeaseDuration)
		if now >= m.leasedUntil && s.rateLease.rate+s.slotLease.rate > 0 {
			s.rateLease, s.slotLease = leasedShare{}, leasedShare{}
			s.applyLease(m.leasedUntil, parts, withoutFloor) // there was no lease since leasedUntil, even if refresh was not called
		}
		s.applyLease(now, parts, withoutFloor)
	case Near:
		m.refreshNear(now, s)
	}
}

// applyLease sets the bucket and the slots from the leases and the floor as of a time.
func (s *ruleState) applyLease(now control.Micros, parts float64, withoutFloor bool) {
	floor, capacity, slots := s.Floor*s.PerS/parts, floorTokens, s.slotFloor(parts)
	if withoutFloor {
		floor, capacity, slots = 0, 0, 0
	}
	if leasable := s.PerS * (1 - s.Floor); leasable > 0 {
		capacity += (s.Burst - parts*floorTokens) * min(1, s.rateLease.rate/leasable)
	}
	s.bucket.set(now, (floor+s.rateLease.rate)*(1-Drift), capacity)
	s.slots = slots + math.Floor(s.slotLease.rate+1e-9)
}

// slotFloor returns how many slots each member has without a lease.
func (s *ruleState) slotFloor(parts float64) float64 {
	if s.Open == 0 {
		return 0
	}
	return max(1, math.Floor(float64(s.Open)*s.Floor/parts))
}

// Permit holds the slots of an admitted call until Done.
type Permit struct{ states []*ruleState }

// CountArrival counts an arriving call, whether or not it is admitted later, and reports whether any rule matches it.
func (m *Member) CountArrival(now control.Micros, tenant, class int, number string) (limited bool) {
	for _, s := range m.states {
		if s.matches(tenant, class, number) {
			s.demand.count(now)
			limited = true
		}
	}
	return limited
}

// Take admits a call, or returns the time with jitter after which a retry may be admitted. A call is admitted if every rule that
// matches it has a token and a slot left. The permit is nil if no rule matches.
func (m *Member) Take(now control.Micros, tenant, class int, number string) (permit *Permit, ok bool, wait control.Micros) {
	reserved := class >= 0 && class < len(m.limits.MayUseReserve) && m.limits.MayUseReserve[class]
	longestWait := 0.0
	var matching []*ruleState
	for _, s := range m.states {
		if !s.matches(tenant, class, number) {
			continue
		}
		matching = append(matching, s)
		if s.Mode == Leased && now >= m.leasedUntil || s.Mode == Near && now > s.rateClaim.reportedAt+ReportLifetime {
			m.refresh(now, s) // the lease or the reports have expired, for example while the process was suspended
		}
		s.bucket.refill(now)
		if s.PerS > 0 && !s.bucket.has(reserved) {
			longestWait = max(longestWait, s.wait(now, reserved))
		}
		if s.Open > 0 && float64(s.open+1) > s.slots {
			s.refusedBySlots.count(now)
			longestWait = max(longestWait, 1e6)
		}
	}
	if longestWait > 0 {
		for _, s := range matching {
			s.refused++
		}
		return nil, false, control.Micros(longestWait * (1 + waitJitter*m.rng.Float64()))
	}
	if matching == nil {
		return nil, true, 0
	}
	for _, s := range matching {
		if s.PerS > 0 {
			s.bucket.take(reserved)
		}
		s.open++
		s.admitted++
	}
	return &Permit{matching}, true, 0
}

// wait returns the microseconds until a refused call may be admitted, given the demand of the calls that arrived before it.
func (s *ruleState) wait(now control.Micros, reserved bool) float64 {
	w := s.bucket.wait(reserved)
	if d := s.demand.read(now); !math.IsInf(w, 1) && s.bucket.rate > 0 && d > s.bucket.rate {
		w += (d/s.bucket.rate - 1) * 1e6
	}
	if math.IsInf(w, 1) {
		w = 2 * float64(RenewInterval)
	}
	return max(minWait, min(w, maxWait))
}

// Done releases the slots of an admitted call. It must be called once for each permit; nil is allowed.
func (m *Member) Done(permit *Permit) {
	if permit == nil {
		return
	}
	for _, s := range permit.states {
		s.open--
	}
}

const slotPoolSuffix = " open" // appended to a rule's name for its pool of slots; names of rules contain no space

// NextRequest returns the next request for leases; ok is false if no rule is leased. The member first reduces its rate to its fair
// share: from now on it uses no more than the request keeps, whether or not the request arrives.
func (m *Member) NextRequest(now control.Micros) (r Request, ok bool) {
	parts := float64(m.limits.Parts)
	for _, s := range m.states {
		if s.Mode != Leased {
			continue
		}
		m.refresh(now, s)
		if s.PerS > 0 {
			demand := s.demand.read(now) * headroom
			if demand < minDemand {
				demand = 0
			}
			s.rateLease.rate = min(s.rateLease.rate, s.rateLease.target, demand)
			r.Capacities = append(r.Capacities, CapacityRequest{s.Name, s.PerS * (1 - s.Floor), s.rateLease.rate, demand})
		}
		if s.Open > 0 {
			floor := s.slotFloor(parts)
			used := max(0, float64(s.open)-floor)
			s.slotLease.rate = min(s.slotLease.rate, max(s.slotLease.target, used))
			demand := 0.0
			if s.open > 0 || s.refusedBySlots.read(now) > minDemand {
				demand = math.Ceil(used + spareSlots + s.refusedBySlots.read(now))
			}
			r.Capacities = append(r.Capacities, CapacityRequest{s.Name + slotPoolSuffix, float64(s.Open) - parts*floor, s.slotLease.rate, demand})
		}
		m.refresh(now, s)
	}
	m.seq++
	m.sentAt = now
	r.Member, r.Incarnation, r.Seq, r.Duration = m.name, m.incarnation, m.seq, LeaseDuration
	return r, len(r.Capacities) > 0
}

// ApplyResponse applies the response to the last request. Responses to older requests are ignored, since this member may have
// reduced its rate since then.
func (m *Member) ApplyResponse(now control.Micros, response *Response) {
	if response.Seq != m.seq {
		return
	}
	m.leasedUntil = max(m.leasedUntil, m.sentAt+control.Micros(float64(LeaseDuration)*(1-Drift)))
	for _, lease := range response.Leases {
		name, open := strings.CutSuffix(lease.Name, slotPoolSuffix)
		if s := m.byName[name]; s != nil && s.Mode == Leased {
			if open {
				s.slotLease = leasedShare{lease.Rate, lease.Target}
			} else {
				s.rateLease = leasedShare{lease.Rate, lease.Target}
			}
		}
	}
	for _, s := range m.states {
		m.refresh(now, s)
	}
}

// Status describes a rule at this member to operators.
type Status struct {
	Name           string         `json:"name"`
	Mode           Mode           `json:"mode"`
	PerS           float64        `json:"per_s,omitempty"`
	Burst          float64        `json:"burst,omitempty"`
	Open           int            `json:"open,omitempty"`
	Rate           float64        `json:"rate"`   // calls per second that this member may admit now
	Demand         float64        `json:"demand"` // calls per second that arrive at this member
	OpenCalls      int            `json:"standing"`
	Slots          float64        `json:"slots"`
	Admitted       int64          `json:"taken"`
	Refused        int64          `json:"turned_away"`
	LeaseRemaining control.Micros `json:"lease_left_us,omitempty"` // mode Leased: time until the leases end; 0: none is held
}

// Status returns the status of all rules, in the order of the settings.
func (m *Member) Status(now control.Micros) []Status {
	all := []Status{}
	for _, s := range m.states {
		m.refresh(now, s)
		st := Status{Name: s.Name, Mode: s.Mode, PerS: s.PerS, Burst: s.Burst, Open: s.Open, Rate: s.bucket.rate,
			Demand: s.demand.read(now), OpenCalls: s.open, Slots: s.slots, Admitted: s.admitted, Refused: s.refused}
		if s.Mode == Leased {
			st.LeaseRemaining = max(0, m.leasedUntil-now)
		}
		all = append(all, st)
	}
	return all
}
