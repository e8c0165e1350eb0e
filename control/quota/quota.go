// Package quota holds limits for a whole fleet: calls a second, and calls that stand at once, by tenant, class and number. It
// does no I/O and reads no clock.
//
// Three modes. In "leased", parts of a limit are leased from the replicated store (Table), and the sum over all gatekeepers
// is within per_s x t + burst over any time t, whatever links fail and whoever dies. In "near", each member tells its demand
// by gossip and spends what the others seem to leave (near.go has the bound). In "alone", each gatekeeper has the whole limit.
// docs/design-limits.md argues the bounds.
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

// ModeNamed finds a mode by its name.
func ModeNamed(name string) (Mode, bool) {
	for i, n := range modeNames {
		if n == name {
			return Mode(i), true
		}
	}
	return 0, false
}

// ModeNames are all of them.
func ModeNames() []string { return modeNames[:] }

// Rule is one limit. What it leaves open matches all.
type Rule struct {
	Name          string
	Tenant, Class int    // -1: any
	Number        string // number called, or its beginning where Prefix is set; "" with Prefix: any
	Prefix        bool
	Mode          Mode
	PerS, Burst   float64 // calls let in; PerS 0: no such bound
	Open          int     // calls that stand or are being set up; 0: no such bound
	Reserve       float64 // part kept for the classes of the greatest worth
	Floor         float64 // leased: part of PerS that all members together may spend without a lease
}

// takes tells whether a call is under the rule.
func (r *Rule) takes(tenant, class int, number string) bool {
	return (r.Tenant < 0 || r.Tenant == tenant) && (r.Class < 0 || r.Class == class) &&
		(number == r.Number || r.Prefix && strings.HasPrefix(number, r.Number))
}

// Limits are the rules in force.
type Limits struct {
	Rules []Rule
	Parts int    // gatekeepers that run at most: each may count on that part of a limit
	Dear  []bool // by class: whether it is of the greatest worth
}

// Figures of the sharing.
const (
	LeaseFor     = control.Micros(1500000) // a lease lasts so long from the request that renewed it
	AskEvery     = control.Micros(400000)  // and is renewed so often
	Settle       = control.Micros(1000000) // near: a demand is spent so long after it was told
	Unseen       = control.Micros(200000)  // near: time on the wire that no age tells of and that does no harm
	HearFor      = control.Micros(200000)  // near: what was worked out from reports holds so long
	memory       = control.Micros(700000)  // of the demand
	GrowIn       = control.Micros(700000)  // near: in which a told demand may grow by the whole limit
	headroom     = 1.15                    // of the demand that is asked for, for what comes unevenly
	floorTokens  = 1.0                     // each member may hold one call without a lease
	leastWait    = 100000                  // us; advice where there is room in less
	mostWait     = 30e6                    // us
	refusedPart  = 0.5                     // of the wait, drawn on top of it
	leastWant    = 0.05                    // a second; less is nothing
	leastClaim   = 0.002                   // near: part of the limit that is claimed whatever the demand
	openHeadroom = 2.0                     // slots asked for beyond those in use
)

// state is one rule at this member.
type state struct {
	Rule
	bucket bucket
	rate   demand // calls that asked to go
	taken  int64
	turned int64

	standing   int
	slots      float64 // most of Open that may stand here
	openTurned demand

	lease, openLease part
	near, openNear   claim
}

// part is what this member holds of a leased capacity.
type part struct {
	rate, target float64
}

// demand is a rate by exponential forgetting. A silence that the rate makes unlikely lets it go faster: of calls that come by
// chance at a rate r, none comes in a time t with the likelihood exp(-r t).
type demand struct {
	perS     float64
	at, last control.Micros
	then     float64 // rate at the last call
}

const likely = 3 // calls that may be missing before the rate is doubted

func (d *demand) count(now control.Micros) {
	d.fade(now)
	d.perS += 1e6 / float64(memory)
	d.last, d.then = max(d.last, now), d.perS
}

func (d *demand) fade(now control.Micros) {
	if now > d.at {
		d.perS *= math.Exp(-float64(now-d.at) / float64(memory))
		d.at = now
	}
}

func (d *demand) read(now control.Micros) float64 {
	d.fade(now)
	missing := d.then * float64(max(0, now-d.last)) / 1e6
	return min(d.perS, d.then*math.Exp(-max(0, missing-likely)))
}

// Member is one gatekeeper's side of all limits. It is not safe for use by several goroutines.
type Member struct {
	name   string
	start  uint64
	limits Limits
	born   control.Micros
	rng    *rand.Rand
	states []*state
	by     map[string]*state

	seq     uint64
	sentAt  control.Micros // of the last request
	until   control.Micros // when the leases end, by this member's clock
	crowded bool           // more members are up than Parts
}

// NewMember makes the side of a process that starts now. Its buckets are empty: what the process before it may have spent of
// a burst is not spent twice.
func NewMember(name string, start uint64, l Limits, now control.Micros) *Member {
	m := &Member{name: name, start: start, born: now, rng: rand.New(rand.NewPCG(start, 0x71756f7461)), by: map[string]*state{}}
	m.Change(now, l)
	return m
}

// Change puts other limits in force. Rules of one name and mode go on with what they hold, as far as it fits.
func (m *Member) Change(now control.Micros, l Limits) {
	m.limits = l
	m.limits.Parts = max(1, l.Parts)
	was := m.by
	m.by, m.states = map[string]*state{}, nil
	for _, r := range l.Rules {
		s := was[r.Name]
		if s == nil || s.Mode != r.Mode || s.Tenant != r.Tenant || s.Class != r.Class || s.Number != r.Number || s.Prefix != r.Prefix {
			// Another rule, whatever its name: what one customer spent is not held against another.
			s = &state{}
			s.bucket.at = now
		}
		s.Rule = r
		s.bucket.keep = r.Reserve
		s.lease.rate = min(s.lease.rate, r.PerS*(1-r.Floor))
		m.states = append(m.states, s)
		m.by[r.Name] = s
		m.settle(now, s)
	}
}

// Crowded tells how many members are up. While they are more than Parts no floor is spent.
func (m *Member) Crowded(now control.Micros, up int) error {
	m.crowded = up > m.limits.Parts
	for _, s := range m.states {
		m.settle(now, s)
	}
	if m.crowded {
		return &TooMany{up, m.limits.Parts}
	}
	return nil
}

// settle sets a rule's bucket and slots by what this member may spend now.
func (m *Member) settle(now control.Micros, s *state) {
	parts := float64(m.limits.Parts)
	switch s.Mode {
	case Alone:
		s.bucket.set(now, s.PerS, s.Burst)
		s.slots = float64(s.Open)
	case Leased:
		// The floor begins once any lease of a process before this one has ended: it may still be at work beside it.
		young := m.crowded || now-m.born < lateBy(LeaseFor)
		if now >= m.until && s.lease.rate+s.openLease.rate > 0 {
			s.lease, s.openLease = part{}, part{}
			s.setLeased(m.until, parts, young) // from there on it had none, also where nobody looked
		}
		s.setLeased(now, parts, young)
	case Near:
		m.settleNear(now, s)
	}
}

func (s *state) setLeased(at control.Micros, parts float64, young bool) {
	floor, room, slots := s.Floor*s.PerS/parts, floorTokens, s.openFloor(parts)
	if young {
		floor, room, slots = 0, 0, 0
	}
	if leasable := s.PerS * (1 - s.Floor); leasable > 0 {
		room += (s.Burst - parts*floorTokens) * min(1, s.lease.rate/leasable)
	}
	s.bucket.set(at, (floor+s.lease.rate)*(1-Drift), room)
	s.slots = slots + math.Floor(s.openLease.rate+1e-9)
}

// openFloor is how many slots each member has without a lease.
func (s *state) openFloor(parts float64) float64 {
	if s.Open == 0 {
		return 0
	}
	return max(1, math.Floor(float64(s.Open)*s.Floor/parts))
}

// Claim is what a call was let in by. It is given back by Done when the call is over.
type Claim struct{ states []*state }

// Arrived counts a call that asks to go, whatever becomes of it, and tells whether any rule takes it.
func (m *Member) Arrived(now control.Micros, tenant, class int, number string) (limited bool) {
	for _, s := range m.states {
		if s.takes(tenant, class, number) {
			s.rate.count(now)
			limited = true
		}
	}
	return limited
}

// Take lets a call in, or says after which wait there is room, with some jitter. A call goes by all rules that take it or by
// none; the claim is nil where none takes it.
func (m *Member) Take(now control.Micros, tenant, class int, number string) (claim *Claim, ok bool, wait control.Micros) {
	dear := class >= 0 && class < len(m.limits.Dear) && m.limits.Dear[class]
	longest := 0.0
	var under []*state
	for _, s := range m.states {
		if !s.takes(tenant, class, number) {
			continue
		}
		under = append(under, s)
		if s.Mode == Leased && now >= m.until || s.Mode == Near && now > s.near.heardAt+HearFor {
			m.settle(now, s) // what it may spend has lapsed, as for one that wakes
		}
		s.bucket.advance(now)
		if s.PerS > 0 && !s.bucket.has(dear) {
			longest = max(longest, s.wait(now, dear))
		}
		if s.Open > 0 && float64(s.standing+1) > s.slots {
			s.openTurned.count(now)
			longest = max(longest, 1e6)
		}
	}
	if longest > 0 {
		for _, s := range under {
			s.turned++
		}
		return nil, false, control.Micros(longest * (1 + refusedPart*m.rng.Float64()))
	}
	if under == nil {
		return nil, true, 0
	}
	for _, s := range under {
		if s.PerS > 0 {
			s.bucket.take(dear)
		}
		s.standing++
		s.taken++
	}
	return &Claim{under}, true, 0
}

// wait is when there is room for a call that was turned away: those that came before it go first.
func (s *state) wait(now control.Micros, dear bool) float64 {
	w := s.bucket.wait(dear)
	if d := s.rate.read(now); !math.IsInf(w, 1) && s.bucket.rate > 0 && d > s.bucket.rate {
		w += (d/s.bucket.rate - 1) * 1e6
	}
	if math.IsInf(w, 1) {
		w = 2 * float64(AskEvery)
	}
	return max(leastWait, min(w, mostWait))
}

// Done gives back what a call that was let in held while it stood. It may be called once for each claim.
func (m *Member) Done(c *Claim) {
	if c == nil {
		return
	}
	for _, s := range c.states {
		s.standing--
	}
}

// ---- Leased ----

const openPool = " open" // the pool of a rule's slots is named so after it; names of rules hold no space

// Ask makes the next request for leases; ok is unset where no rule is leased. It goes down to its fair part first: what it
// says that it keeps is all that it spends from now on, whether or not the request arrives.
func (m *Member) Ask(now control.Micros) (r Request, ok bool) {
	parts := float64(m.limits.Parts)
	for _, s := range m.states {
		if s.Mode != Leased {
			continue
		}
		m.settle(now, s)
		if s.PerS > 0 {
			want := s.rate.read(now) * headroom
			if want < leastWant {
				want = 0
			}
			s.lease.rate = min(s.lease.rate, s.lease.target, want)
			r.Asks = append(r.Asks, Ask{s.Name, s.PerS * (1 - s.Floor), s.lease.rate, want})
		}
		if s.Open > 0 {
			floor := s.openFloor(parts)
			used := max(0, float64(s.standing)-floor)
			s.openLease.rate = min(s.openLease.rate, max(s.openLease.target, used))
			want := 0.0
			if s.standing > 0 || s.openTurned.read(now) > leastWant {
				want = math.Ceil(used + openHeadroom + s.openTurned.read(now))
			}
			r.Asks = append(r.Asks, Ask{s.Name + openPool, float64(s.Open) - parts*floor, s.openLease.rate, want})
		}
		m.settle(now, s)
	}
	m.seq++
	m.sentAt = now
	r.Member, r.Start, r.Seq, r.For = m.name, m.start, m.seq, LeaseFor
	return r, len(r.Asks) > 0
}

// Answered takes what the last request brought. Answers to older ones are not heard: this member has said since that it
// keeps less.
func (m *Member) Answered(now control.Micros, a *Answer) {
	if a.Seq != m.seq {
		return
	}
	m.until = max(m.until, m.sentAt+control.Micros(float64(LeaseFor)*(1-Drift)))
	for _, l := range a.Leases {
		name, open := strings.CutSuffix(l.Name, openPool)
		if s := m.by[name]; s != nil && s.Mode == Leased {
			if open {
				s.openLease = part{l.Rate, l.Target}
			} else {
				s.lease = part{l.Rate, l.Target}
			}
		}
	}
	for _, s := range m.states {
		m.settle(now, s)
	}
}

// ---- Status ----

// Status is a rule at this member, as operators read it.
type Status struct {
	Name     string         `json:"name"`
	Mode     Mode           `json:"mode"`
	PerS     float64        `json:"per_s,omitempty"`
	Burst    float64        `json:"burst,omitempty"`
	Open     int            `json:"open,omitempty"`
	Rate     float64        `json:"rate"`   // that this member may spend now, a second
	Demand   float64        `json:"demand"` // that it sees, a second
	Standing int            `json:"standing"`
	Slots    float64        `json:"slots"`
	Taken    int64          `json:"taken"`
	Turned   int64          `json:"turned_away"`
	LeaseFor control.Micros `json:"lease_left_us,omitempty"` // leased: 0 where it holds none
}

// Status gives all rules, in order.
func (m *Member) Status(now control.Micros) []Status {
	all := []Status{}
	for _, s := range m.states {
		m.settle(now, s)
		st := Status{Name: s.Name, Mode: s.Mode, PerS: s.PerS, Burst: s.Burst, Open: s.Open, Rate: s.bucket.rate,
			Demand: s.rate.read(now), Standing: s.standing, Slots: s.slots, Taken: s.taken, Turned: s.turned}
		if s.Mode == Leased {
			st.LeaseFor = max(0, m.until-now)
		}
		all = append(all, st)
	}
	return all
}
