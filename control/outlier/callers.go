package outlier

import (
	"cmp"
	"slices"

	"beammux/control"
)

// Thresholds for blocking the addresses of callers.
const (
	CallerBlockTime      = control.Micros(10000000) // duration of a block, from the newest failed connection
	minCallerFailures    = 2.5                      // decayed failed connections for a member to be a witness
	minCallerFailureRate = 0.9                      // fraction of an address's connections that must have failed
)

// CallerObservation is the evidence of one member on one caller's address. A connection succeeds if a complete message arrives
// on it. It fails if a message can't be parsed, or if none arrives in time. Counts decay over DecayTime.
type CallerObservation struct {
	Address    string         `cbor:"1,keyasint"`
	Successes  float64        `cbor:"2,keyasint,omitempty"`
	Failures   float64        `cbor:"3,keyasint"`
	FailureAge control.Micros `cbor:"4,keyasint"`
}

// CallerEvidence holds the observations of callers of one member that is up, published at least Age ago.
type CallerEvidence struct {
	Member  string
	Age     control.Micros
	Callers []CallerObservation
}

// BlockedCaller is an address whose connections are closed as soon as they are accepted.
type BlockedCaller struct {
	Address   string         `json:"address"`
	Remaining control.Micros `json:"left_us"`
	Witnesses []string       `json:"witnesses"`
}

// CallerFilter decides which callers' addresses are blocked. It is not safe for concurrent use.
type CallerFilter struct {
	blocked map[string]*callerBlock
}

// callerBlock is the block of one address.
type callerBlock struct {
	until     control.Micros
	witnesses []string
}

// NewCallerFilter returns a filter that blocks no address.
func NewCallerFilter() *CallerFilter { return &CallerFilter{blocked: map[string]*callerBlock{}} }

// Update applies the evidence that is valid now and returns the blocked addresses in order. An address is blocked when nearly
// all of its connections to the fleet fail and at least minWitnesses members are witnesses. An address that well-behaved
// callers share, such as that of a proxy or a NAT, is not blocked. Connections closed by a block are not evidence, so a block
// ends by itself.
func (f *CallerFilter) Update(now control.Micros, all []CallerEvidence) (blockedNow []BlockedCaller) {
	type sum struct {
		successes, failures float64
		lastFailure         control.Micros
		witnesses           []string
	}
	sums := map[string]*sum{}
	for _, e := range all {
		for _, c := range e.Callers {
			s := sums[c.Address]
			if s == nil {
				s = &sum{}
				sums[c.Address] = s
			}
			s.successes, s.failures = s.successes+max(0, c.Successes), s.failures+max(0, c.Failures)
			if c.FailureAge >= 0 && c.Failures >= minCallerFailures {
				s.lastFailure = max(s.lastFailure, now-e.Age-c.FailureAge)
				s.witnesses = append(s.witnesses, e.Member)
			}
		}
	}
	for address, s := range sums {
		if len(s.witnesses) < minWitnesses || s.failures < minCallerFailureRate*(s.successes+s.failures) || now-s.lastFailure >= CallerBlockTime {
			continue
		}
		if block := f.blocked[address]; block == nil || s.lastFailure+CallerBlockTime > block.until {
			f.blocked[address] = &callerBlock{s.lastFailure + CallerBlockTime, s.witnesses}
		}
	}
	for address, block := range f.blocked {
		if now >= block.until {
			delete(f.blocked, address)
			continue
		}
		blockedNow = append(blockedNow, BlockedCaller{address, block.until - now, slices.Clone(block.witnesses)})
	}
	slices.SortFunc(blockedNow, func(a, b BlockedCaller) int { return cmp.Compare(a.Address, b.Address) })
	return blockedNow
}
