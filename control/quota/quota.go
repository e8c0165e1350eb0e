// Package quota enforces limits that hold for a whole fleet: calls a second, and calls open at once, by tenant, class and
// number. It does no I/O and reads no clock.
//
// There are three modes. In "leased", members lease parts of a limit from the replicated store (Table), and all gatekeepers
// together admit at most per_s x t + burst calls over any time t, whatever links fail and whoever dies. In "near", each member
// publishes its demand by gossip and spends what the others appear to leave (near.go states the bound). In "alone", each
// gatekeeper has the whole limit. docs/design-limits.md argues the bounds.
package quota

import (
	"math"
	"math/rand/v2"
	"strings"

	"beammux/control"
)

// Mode tells how a limit is shared.
type Mode uint8

// The modes.
const (
	Alone Mode = iota
	Near
	Leased
)

var modeNames = [...]string{"alone", "near", "leased"}

func (m Mode) String() string {
	if int(m) >= len(modeNames) {
		return "unknown"
	}
	return modeNames[m]
}

// MarshalText implements encoding.TextMarshaler.
func (m Mode) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// ParseMode finds a mode by its name.
func ParseMode(name string) (Mode, bool) {
	for i, n := range modeNames {
		if n == name {
			return Mode(i), true
		}
	}
	return 0, false
}

// ModeNames are all of them.
func ModeNames() []string { return modeNames[:] }

// Rule is one limit on the calls that it matches.
type Rule struct {
	Name          string
	Tenant, Class int    // -1: any
	Number        string // number called, or its beginning where Prefix is set; "" with Prefix: any
	Prefix        bool
	Mode          Mode
	PerS, Burst   float64 // calls admitted a second, and at once; PerS 0: no such limit
	Open          int     // calls established or being set up; 0: no such limit
	Reserve       float64 // part reserved for the classes of the greatest worth
	Floor         float64 // leased: part of PerS that all members together may spend without a lease
}

// matches tells whether a call is under the rule.
func (r *Rule) matches(tenant, class int, number string) bool {
	return (r.Tenant < 0 || r.Tenant == tenant) && (r.Class < 0 || r.Class == class) &&
		(number == r.Number || r.Prefix && strings.HasPrefix(number, r.Number))
}

// Limits are the rules in force.
type Limits struct {
	Rules         []Rule
	Parts         int    // gatekeepers that run at most: each may count on that part of a limit
	MayUseReserve []bool // by class: whether it is of the greatest worth
}

// Parameters of the modes.
const (
	LeaseDuration = control.Micros(1500000) // leased: of a lease, from the request that renewed it
	RenewInterval = control.Micros(400000)  // leased: between two requests

	SettleTime       = control.Micros(1000000) // near: a demand may be spent once it was published so long ago
	TransitAllowance = control.Micros(200000)  // near: time on the wire, which no age includes, that is allowed for
	ReportLifetime   = control.Micros(200000)  // near: for which the others' demands are used as last reported
	GrowTime         = control.Micros(700000)  // near: in which a published demand may grow by the whole limit
	minClaimShare    = 0.002                   // near: part of the limit that is claimed whatever the demand

	demandDecayTime = control.Micros(700000) // time constant of the measured demand
	headroom        = 1.15                   // asked for, as a multiple of the demand: calls come unevenly
	minDemand       = 0.05                   // calls a second; less counts as none
	floorTokens     = 1.0                    // capacity of a member's bucket without a lease
	spareSlots      = 2.0                    // slots asked for beyond those in use

	minWait    = 100000 // us; least advice to a refused caller
	maxWait    = 30e6   // us
	waitJitter = 0.5    // random addition to the advice, at most, as a part of it
)

// state is one rule at this member.
type ruleState struct {
	Rule
	bucket   bucket
	demand   demand // calls that arrived
	admitted int64
	refused  int64

	open        int
	slots       float64 // calls that may be open at this member
	refusedOpen demand

	rateLease, slotLease leasedShare
	rateClaim, slotClaim claim
}

// part is what this member holds of a leased capacity.
type leasedShare struct {
	rate, target float64
}

// demand measures a rate with exponential decay. It decays faster in a silence that the rate makes unlikely: of calls that
// arrive at random at a rate r, none arrives in a time t with probability exp(-r t).
type demand struct {
	perS       float64
	at, last   control.Micros
	rateAtLast float64 // rate at the last call
}

// A silence is held against the rate only past shortSilence: a process, or its callers, is held up for some tens of milliseconds
// on any machine, and at 100 calls a second 50 ms without one are unlikely already. A claim that falls for it is missing for
// SettleTime and more.
const (
	shortSilence     = control.Micros(150000)
	toleratedMissing = 3 // calls that may fail to arrive after that before the rate is doubted
)

func (d *demand) count(now control.Micros) {
	d.decay(now)
	d.perS += 1e6 / float64(demandDecayTime)
	d.last, d.rateAtLast = max(d.last, now), d.perS
}

func (d *demand) decay(now control.Micros) {
	if now > d.at {
		d.perS *= math.Exp(-float64(now-d.at) / float64(demandDecayTime))
		d.at = now
	}
}

func (d *demand) read(now control.Micros) float64 {
	d.decay(now)
	missing := d.rateAtLast * float64(max(0, now-d.last-shortSilence)) / 1e6
	return min(d.perS, d.rateAtLast*math.Exp(-max(0, missing-toleratedMissing)))
}

// Member holds the limits of one gatekeeper. It is not safe for concurrent use.
type Member struct {
	name        string
	incarnation uint64
	limits      Limits
	startedAt   control.Micros
	rng         *rand.Rand
	states      []*ruleState
	byName      map[string]*ruleState

	seq         uint64
	sentAt      control.Micros // of the last request
	leasedUntil control.Micros // end of the leases, by this member's clock
	tooMany     bool           // more members are up than Parts
}

// NewMember makes the limits of a process that starts now. Its buckets start empty, since a former process of the same member
// may have spent their burst already.
func NewMember(name string, start uint64, l Limits, now control.Micros) *Member {
	m := &Member{name: name, incarnation: start, startedAt: now, rng: rand.New(rand.NewPCG(start, 0x71756f7461)), byName: map[string]*ruleState{}}
	m.Change(now, l)
	return m
}

// Change puts other limits in force. A rule that keeps its name, mode and scope keeps its tokens and leases, as far as they fit.
func (m *Member) Change(now control.Micros, l Limits) {
	m.limits = l
	m.limits.Parts = max(1, l.Parts)
	was := m.byName
	m.byName, m.states = map[string]*ruleState{}, nil
	for _, r := range l.Rules {
		s := was[r.Name]
		if s == nil || s.Mode != r.Mode || s.Tenant != r.Tenant || s.Class != r.Class || s.Number != r.Number || s.Prefix != r.Prefix {
			// Another rule, whatever its name: what one customer spent is not held against another.
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

// SetMembersUp says how many members are up. While they are more than Parts, no member spends without a lease, and the result is
// a *TooManyMembersError.
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

// refresh sets a rule's bucket and slots to what this member may spend now.
func (m *Member) refresh(now control.Micros, s *ruleState) {
	parts := float64(m.limits.Parts)
	switch s.Mode {
	case Alone:
		s.bucket.set(now, s.PerS, s.Burst)
		s.slots = float64(s.Open)
	case Leased:
		// The floor starts once every lease of a former process of this member has ended: that may still be running.
		withoutFloor := m.tooMany || now-m.startedAt < expiryAtTable(LeaseDuration)
		if now >= m.leasedUntil && s.rateLease.rate+s.slotLease.rate > 0 {
			s.rateLease, s.slotLease = leasedShare{}, leasedShare{}
			s.applyLease(m.leasedUntil, parts, withoutFloor) // since then it has had none, even if this was not called
		}
		s.applyLease(now, parts, withoutFloor)
	case Near:
		m.refreshNear(now, s)
	}
}

func (s *ruleState) applyLease(at control.Micros, parts float64, withoutFloor bool) {
	floor, capacity, slots := s.Floor*s.PerS/parts, floorTokens, s.slotFloor(parts)
	if withoutFloor {
		floor, capacity, slots = 0, 0, 0
	}
	if leasable := s.PerS * (1 - s.Floor); leasable > 0 {
		capacity += (s.Burst - parts*floorTokens) * min(1, s.rateLease.rate/leasable)
	}
	s.bucket.set(at, (floor+s.rateLease.rate)*(1-Drift), capacity)
	s.slots = slots + math.Floor(s.slotLease.rate+1e-9)
}

// slotFloor is how many slots each member has without a lease.
func (s *ruleState) slotFloor(parts float64) float64 {
	if s.Open == 0 {
		return 0
	}
	return max(1, math.Floor(float64(s.Open)*s.Floor/parts))
}

// Permit is what an admitted call holds. Done returns it when the call is over.
type Permit struct{ states []*ruleState }

// CountArrival counts a call, whatever becomes of it, and tells whether any rule matches it.
func (m *Member) CountArrival(now control.Micros, tenant, class int, number string) (limited bool) {
	for _, s := range m.states {
		if s.matches(tenant, class, number) {
			s.demand.count(now)
			limited = true
		}
	}
	return limited
}

// Take admits a call, or returns the wait, with jitter, after which there may be room. A call needs room under every rule that
// matches it; the claim is nil where none does.
func (m *Member) Take(now control.Micros, tenant, class int, number string) (claim *Permit, ok bool, wait control.Micros) {
	reserved := class >= 0 && class < len(m.limits.MayUseReserve) && m.limits.MayUseReserve[class]
	longestWait := 0.0
	var matching []*ruleState
	for _, s := range m.states {
		if !s.matches(tenant, class, number) {
			continue
		}
		matching = append(matching, s)
		if s.Mode == Leased && now >= m.leasedUntil || s.Mode == Near && now > s.rateClaim.reportedAt+ReportLifetime {
			m.refresh(now, s) // what it may spend has expired, as after a suspension
		}
		s.bucket.refill(now)
		if s.PerS > 0 && !s.bucket.has(reserved) {
			longestWait = max(longestWait, s.wait(now, reserved))
		}
		if s.Open > 0 && float64(s.open+1) > s.slots {
			s.refusedOpen.count(now)
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

// wait is the time until there is room for a refused call, after those that arrived before it. It returns microseconds.
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

// Done returns what an admitted call held. It may be called once for each claim; nil is allowed.
func (m *Member) Done(c *Permit) {
	if c == nil {
		return
	}
	for _, s := range c.states {
		s.open--
	}
}

// ---- Leased ----

const slotPoolSuffix = " open" // appended to a rule's name; names of rules hold no space

// NextRequest makes the next request for leases; ok is false where no rule is leased. The member first goes down to its fair share:
// what the request keeps is all that it spends from now on, whether or not the request arrives.
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
			if s.open > 0 || s.refusedOpen.read(now) > minDemand {
				demand = math.Ceil(used + spareSlots + s.refusedOpen.read(now))
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

// ApplyResponse applies the answer to the last request. Answers to older requests are ignored: this member may have gone down since.
func (m *Member) ApplyResponse(now control.Micros, a *Response) {
	if a.Seq != m.seq {
		return
	}
	m.leasedUntil = max(m.leasedUntil, m.sentAt+control.Micros(float64(LeaseDuration)*(1-Drift)))
	for _, l := range a.Leases {
		name, open := strings.CutSuffix(l.Name, slotPoolSuffix)
		if s := m.byName[name]; s != nil && s.Mode == Leased {
			if open {
				s.slotLease = leasedShare{l.Rate, l.Target}
			} else {
				s.rateLease = leasedShare{l.Rate, l.Target}
			}
		}
	}
	for _, s := range m.states {
		m.refresh(now, s)
	}
}

// ---- Status ----

// Status is a rule at this member, as operators read it.
type Status struct {
	Name           string         `json:"name"`
	Mode           Mode           `json:"mode"`
	PerS           float64        `json:"per_s,omitempty"`
	Burst          float64        `json:"burst,omitempty"`
	Open           int            `json:"open,omitempty"`
	Rate           float64        `json:"rate"`   // that this member may spend now, a second
	Demand         float64        `json:"demand"` // that it sees, a second
	OpenCalls      int            `json:"standing"`
	Slots          float64        `json:"slots"`
	Admitted       int64          `json:"taken"`
	Refused        int64          `json:"turned_away"`
	LeaseRemaining control.Micros `json:"lease_left_us,omitempty"` // leased: 0 where it holds none
}

// Status returns all rules, in order.
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
