package outlier

import (
	"cmp"
	"slices"

	"beammux/control"
)

// Thresholds for blocking callers' addresses.
const (
	CallerBlockTime      = control.Micros(10000000) // a block lasts so long from the lastFailure failed connection
	minCallerFailures    = 2.5                      // decayed failed connections that make a member a witness
	minCallerFailureRate = 0.9                      // part of an address's connections that must have failed
)

// CallerObservation is what one member has observed of one caller's address. A connection is a success if it brought a whole
// message, a failure if it brought one that can't be parsed or none in time. Counts decay over DecayTime.
type CallerObservation struct {
	Address    string         `cbor:"1,keyasint"`
	Successes  float64        `cbor:"2,keyasint,omitempty"`
	Failures   float64        `cbor:"3,keyasint"`
	FailureAge control.Micros `cbor:"4,keyasint"`
}

// CallerEvidence is what one member that is up published of callers, at least Age ago.
type CallerEvidence struct {
	Member  string
	Age     control.Micros
	Callers []CallerObservation
}

// BlockedCaller is an address whose connections are closed at once.
type BlockedCaller struct {
	Address   string         `json:"address"`
	Remaining control.Micros `json:"left_us"`
	Witnesses []string       `json:"witnesses"`
}

// CallerFilter holds which addresses are blocked. It is not safe for concurrent use.
type CallerFilter struct {
	blocked map[string]*callerBlock
}

type callerBlock struct {
	until     control.Micros
	witnesses []string
}

// NewCallerFilter makes a filter that blocks nobody.
func NewCallerFilter() *CallerFilter { return &CallerFilter{blocked: map[string]*callerBlock{}} }

// Update takes the evidence that counts now and returns the addresses that are blocked. An address is blocked when nearly all
// of its connections to the fleet fail and at least minWitnesses members are witnesses. An address that good callers share,
// as behind a proxy or a translator, is not. Connections that were closed are no evidence, so a block ends by itself.
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
		if t := f.blocked[address]; t == nil || s.lastFailure+CallerBlockTime > t.until {
			f.blocked[address] = &callerBlock{s.lastFailure + CallerBlockTime, s.witnesses}
		}
	}
	for address, t := range f.blocked {
		if now >= t.until {
			delete(f.blocked, address)
			continue
		}
		blockedNow = append(blockedNow, BlockedCaller{address, t.until - now, slices.Clone(t.witnesses)})
	}
	slices.SortFunc(blockedNow, func(a, b BlockedCaller) int { return cmp.Compare(a.Address, b.Address) })
	return blockedNow
}
