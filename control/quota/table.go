package quota

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"beammux/control"
)

// CapacityRequest is the part of a request that concerns one capacity.
type CapacityRequest struct {
	Name     string  `json:"name"`
	Capacity float64 `json:"capacity"` // as configured at the member; the lowest of all holders counts
	Keep     float64 `json:"keep"`     // of its lease: the member has gone down to that before it asked
	Want     float64 `json:"want"`
}

// Request asks for leases on all capacities that a member shares, and renews them.
type Request struct {
	Member      string            `json:"member"`
	Incarnation uint64            `json:"start"` // of its process
	Seq         uint64            `json:"seq"`   // counts its requests
	Duration    control.Micros    `json:"for_us"`
	Capacities  []CapacityRequest `json:"asks"`
}

// Lease is what a member holds of one capacity.
type Lease struct {
	Name   string  `json:"name"`
	Rate   float64 `json:"rate"`
	Target float64 `json:"target"` // its fair share now: it goes down to that before it asks again
}

// Response is what a request brought.
type Response struct {
	Seq    uint64  `json:"seq"` // of the last request that was applied: an older one was ignored
	Leases []Lease `json:"leases"`
}

// Table is what is leased, as it lies in the store: a record of it is changed by Reduce alone.
type Table struct {
	Epoch   uint64            `json:"epoch"`  // of the leader whose clock Now is
	Now     control.Micros    `json:"now_us"` // by that clock
	Pools   map[string]*pool  `json:"pools"`
	LastSeq map[string]uint64 `json:"seqs"` // last request of each process
}

type pool struct {
	Holders map[string]*holder `json:"holders"` // by process
}

type holder struct {
	Capacity float64        `json:"capacity"`
	Rate     float64        `json:"rate"`
	Want     float64        `json:"want"`
	Duration control.Micros `json:"for_us"`
	Expiry   control.Micros `json:"until_us"` // by the leader's clock, with margin
}

// Drift is how fast clocks of two machines may part, as a part of the time. Margin is added to it. Both are on the safe
// side of each: a holder ends early, the table late.
const (
	Drift  = 0.002
	Margin = control.Micros(50000)
)

func expiryAtTable(lease control.Micros) control.Micros {
	return lease + control.Micros(2*Drift*float64(lease)) + Margin
}

// Reduce carries a request out on a table, as the store's machine does, alike at every member. epoch is the leader's term and
// now its monotonic clock when it took the request: after its holder sent it, so a lease ends at its holder, which counts
// from then, before it ends here. A new leader's clock has nothing to do with the last one's: each lease begins anew with it.
func Reduce(old, request []byte, epoch uint64, now control.Micros) (table, answer []byte, err error) {
	t := &Table{}
	if len(old) > 0 {
		if err := json.Unmarshal(old, t); err != nil {
			return nil, nil, &Unreadable{"table of leases", err}
		}
	}
	var r Request
	if err := json.Unmarshal(request, &r); err != nil {
		return nil, nil, &Unreadable{"request for leases", err}
	}
	a, err := t.Apply(r, epoch, now)
	if err != nil {
		return nil, nil, err
	}
	if table, err = json.Marshal(t); err == nil {
		answer, err = json.Marshal(a)
	}
	if err != nil {
		return nil, nil, &Unreadable{"table of leases", err} // a number that is none
	}
	return table, answer, nil
}

// Take is Reduce on a table that is read.
func (t *Table) Apply(r Request, epoch uint64, now control.Micros) (*Response, error) {
	if epoch < t.Epoch {
		return nil, &StaleEpochError{epoch, t.Epoch}
	}
	if t.Pools == nil {
		t.Pools, t.LastSeq = map[string]*pool{}, map[string]uint64{}
	}
	if epoch > t.Epoch {
		for _, p := range t.Pools {
			for _, h := range p.Holders {
				h.Expiry = now + expiryAtTable(h.Duration)
			}
		}
		t.Epoch, t.Now = epoch, now
	}
	t.Now = max(t.Now, now)
	t.expire()
	who := fmt.Sprintf("%s@%d", r.Member, r.Incarnation)
	a := &Response{Seq: t.LastSeq[who]}
	if r.Seq > a.Seq {
		a.Seq = r.Seq
		t.LastSeq[who] = r.Seq
		for _, ask := range r.Capacities {
			t.grant(who, &r, ask)
		}
	}
	for _, ask := range r.Capacities {
		p := t.Pools[ask.Name]
		if p == nil || p.Holders[who] == nil {
			continue
		}
		a.Leases = append(a.Leases, Lease{ask.Name, p.Holders[who].Rate, p.target(who)})
	}
	return a, nil
}

// expire drops leases that have ended, and what is left of processes without any.
func (t *Table) expire() {
	live := map[string]bool{}
	for name, p := range t.Pools {
		for who, h := range p.Holders {
			if h.Expiry <= t.Now {
				delete(p.Holders, who)
			} else {
				live[who] = true
			}
		}
		if len(p.Holders) == 0 {
			delete(t.Pools, name)
		}
	}
	for who := range t.LastSeq {
		if !live[who] {
			delete(t.LastSeq, who)
		}
	}
}

// grant renews a holder's lease: it never grows by more than nobody else holds. A late copy of a request of a process whose
// lease has ended finds nothing to keep.
func (t *Table) grant(who string, r *Request, ask CapacityRequest) {
	p := t.Pools[ask.Name]
	if p == nil {
		p = &pool{Holders: map[string]*holder{}}
		t.Pools[ask.Name] = p
	}
	h := p.Holders[who]
	if h == nil {
		h = &holder{}
		p.Holders[who] = h
	}
	h.Capacity, h.Want, h.Duration = ask.Capacity, max(0, ask.Want), r.Duration
	h.Expiry = t.Now + expiryAtTable(r.Duration)
	h.Rate = max(0, min(h.Rate, ask.Keep))
	if target := p.target(who); target > h.Rate {
		h.Rate += max(0, min(target-h.Rate, p.capacity()-p.leased()))
	}
}

// capacity is the least that a holder names: while files differ, as during a reload, the tighter one counts.
func (p *pool) capacity() float64 {
	least := -1.0
	for _, h := range p.Holders {
		if least < 0 || h.Capacity < least {
			least = h.Capacity
		}
	}
	return max(0, least)
}

func (p *pool) names() []string { return slices.Sorted(maps.Keys(p.Holders)) }

// held is summed in the order of names, since the order of a sum shows in its last digits.
func (p *pool) leased() (sum float64) {
	for _, who := range p.names() {
		sum += p.Holders[who].Rate
	}
	return sum
}

func (p *pool) target(who string) float64 {
	names := p.names()
	wants := make([]float64, len(names))
	for i, name := range names {
		wants[i] = p.Holders[name].Want
	}
	return fairShares(p.capacity(), wants)[slices.Index(names, who)]
}
