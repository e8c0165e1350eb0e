package quota

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"beammux/control"
)

// CapacityRequest is the part of a request for one capacity.
type CapacityRequest struct {
	Name     string  `json:"name"`
	Capacity float64 `json:"capacity"` // as configured at the member; the lowest of all holders applies
	Keep     float64 `json:"keep"`     // rate of its lease that the member keeps; it no longer uses more when it sends the request
	Want     float64 `json:"want"`
}

// Request is a member's request for new or renewed leases on all capacities that it shares.
type Request struct {
	Member      string            `json:"member"`
	Incarnation uint64            `json:"start"` // start of the member's process
	Seq         uint64            `json:"seq"`   // sequence number of the process's requests
	Duration    control.Micros    `json:"for_us"`
	Capacities  []CapacityRequest `json:"asks"`
}

// Lease is a member's share of one capacity.
type Lease struct {
	Name   string  `json:"name"`
	Rate   float64 `json:"rate"`
	Target float64 `json:"target"` // the member's fair share now, to which it reduces its rate before the next request
}

// Response is the response to a Request.
type Response struct {
	Seq    uint64  `json:"seq"` // of the last request that was applied; older requests are ignored
	Leases []Lease `json:"leases"`
}

// Table holds all leases, as stored in the replicated store. Only Reduce changes the stored record.
type Table struct {
	Epoch   uint64            `json:"epoch"`  // term of the store leader whose clock Now is read from
	Now     control.Micros    `json:"now_us"` // latest time of that clock
	Pools   map[string]*pool  `json:"pools"`
	LastSeq map[string]uint64 `json:"seqs"` // sequence number of the last request, by process
}

// pool holds the leases on one capacity.
type pool struct {
	Holders map[string]*holder `json:"holders"` // by process
}

// holder is one process's lease on a capacity.
type holder struct {
	Capacity float64        `json:"capacity"`
	Rate     float64        `json:"rate"`
	Want     float64        `json:"want"`
	Duration control.Micros `json:"for_us"`
	Expiry   control.Micros `json:"until_us"` // by the leader's clock, including the margin
}

// Drift is the greatest relative drift between the clocks of two machines, and Margin is a fixed allowance on top of it. Both
// err on the safe side: a holder ends its lease early, the table ends it late.
const (
	Drift  = 0.002
	Margin = control.Micros(50000)
)

// expiryAtTable returns how long the table keeps a lease of the given duration.
func expiryAtTable(lease control.Micros) control.Micros {
	return lease + control.Micros(2*Drift*float64(lease)) + Margin
}

// Reduce applies an encoded request to an encoded table, as a deterministic step of the store's state machine. epoch is the
// leader's term and now its monotonic clock at the time it received the request. That is after the holder sent the request, so
// a lease ends at its holder, which counts from the sending, before it ends in the table. The clock of a new leader is
// unrelated to that of the previous one, so all leases restart with a new leader. Errors are *Unreadable and *StaleEpochError.
func Reduce(old, request []byte, epoch uint64, now control.Micros) (table, response []byte, err error) {
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
	applied, err := t.Apply(r, epoch, now)
	if err != nil {
		return nil, nil, err
	}
	if table, err = json.Marshal(t); err == nil {
		response, err = json.Marshal(applied)
	}
	if err != nil {
		return nil, nil, &Unreadable{"table of leases", err} // a number that JSON can't represent, such as NaN
	}
	return table, response, nil
}

// Apply is Reduce on a decoded table and request.
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
	holderName := fmt.Sprintf("%s@%d", r.Member, r.Incarnation)
	response := &Response{Seq: t.LastSeq[holderName]}
	if r.Seq > response.Seq {
		response.Seq = r.Seq
		t.LastSeq[holderName] = r.Seq
		for _, entry := range r.Capacities {
			t.grant(holderName, &r, entry)
		}
	}
	for _, entry := range r.Capacities {
		p := t.Pools[entry.Name]
		if p == nil || p.Holders[holderName] == nil {
			continue
		}
		response.Leases = append(response.Leases, Lease{entry.Name, p.Holders[holderName].Rate, p.target(holderName)})
	}
	return response, nil
}

// expire deletes leases that have ended, and the sequence numbers of processes without a lease.
func (t *Table) expire() {
	live := map[string]bool{}
	for name, p := range t.Pools {
		for holderName, h := range p.Holders {
			if h.Expiry <= t.Now {
				delete(p.Holders, holderName)
			} else {
				live[holderName] = true
			}
		}
		if len(p.Holders) == 0 {
			delete(t.Pools, name)
		}
	}
	for holderName := range t.LastSeq {
		if !live[holderName] {
			delete(t.LastSeq, holderName)
		}
	}
}

// grant renews a holder's lease. The lease grows at most by the capacity that is not leased. A delayed copy of a request from a
// process whose lease has ended has no lease to keep.
func (t *Table) grant(holderName string, r *Request, entry CapacityRequest) {
	p := t.Pools[entry.Name]
	if p == nil {
		p = &pool{Holders: map[string]*holder{}}
		t.Pools[entry.Name] = p
	}
	h := p.Holders[holderName]
	if h == nil {
		h = &holder{}
		p.Holders[holderName] = h
	}
	h.Capacity, h.Want, h.Duration = entry.Capacity, max(0, entry.Want), r.Duration
	h.Expiry = t.Now + expiryAtTable(r.Duration)
	h.Rate = max(0, min(h.Rate, entry.Keep))
	if target := p.target(holderName); target > h.Rate {
		h.Rate += max(0, min(target-h.Rate, p.capacity()-p.leased()))
	}
}

// capacity returns the least capacity that a holder requested, so that the lower limit applies while the members' settings
// differ, as during a reload.
func (p *pool) capacity() float64 {
	least := -1.0
	for _, h := range p.Holders {
		if least < 0 || h.Capacity < least {
			least = h.Capacity
		}
	}
	return max(0, least)
}

// names returns the holders in order.
func (p *pool) names() []string { return slices.Sorted(maps.Keys(p.Holders)) }

// leased returns the sum of all leases. It adds in the order of names, since the order of floating-point additions affects the
// result, which must be the same at every member of the store.
func (p *pool) leased() (sum float64) {
	for _, holderName := range p.names() {
		sum += p.Holders[holderName].Rate
	}
	return sum
}

// target returns a holder's fair share of the capacity.
func (p *pool) target(holderName string) float64 {
	names := p.names()
	wants := make([]float64, len(names))
	for i, name := range names {
		wants[i] = p.Holders[name].Want
	}
	return fairShares(p.capacity(), wants)[slices.Index(names, holderName)]
}
