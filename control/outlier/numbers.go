package outlier

import (
	"cmp"
	"slices"

	"beammux/control"
)

// BusyTime is how long a number counts as busy from the newest answer that said so: as long as one gatekeeper remembers it.
const BusyTime = control.Micros(5000000)

// NumberObservation is what one member has observed of one number whose lines were all busy.
type NumberObservation struct {
	Number     string         `cbor:"1,keyasint"`
	Busy       int            `cbor:"2,keyasint"` // answers that said so within BusyTime
	BusyAge    control.Micros `cbor:"3,keyasint"` // since the newest of them
	SuccessAge control.Micros `cbor:"4,keyasint"` // since a call to it was established, -1 if none was
}

// NumberEvidence is what one member that is up published of numbers, at least Age ago.
type NumberEvidence struct {
	Member  string
	Age     control.Micros
	Numbers []NumberObservation
}

// BusyNumber is a number whose lines the fleet holds to be all busy.
type BusyNumber struct {
	Number    string         `json:"number"`
	LastBusy  control.Micros `json:"-"` // the newest answer that said so: it holds for BusyTime from then
	Remaining control.Micros `json:"left_us"`
	Witnesses []string       `json:"witnesses"`
}

// BusyNumbers returns the numbers that the fleet holds to be busy: servers said so to at least minWitnesses members within
// BusyTime, and no call to the number was established since the newest of these answers. Isolated members do not count. The
// function keeps no state: a number is busy for as long as its evidence is fresh.
func BusyNumbers(now control.Micros, all []NumberEvidence, isolated []string) []BusyNumber {
	type sum struct {
		BusyNumber
		lastSuccess control.Micros
	}
	sums := map[string]*sum{}
	for _, e := range all {
		if slices.Contains(isolated, e.Member) {
			continue
		}
		for _, n := range e.Numbers {
			s := sums[n.Number]
			if s == nil {
				s = &sum{BusyNumber: BusyNumber{Number: n.Number}, lastSuccess: -1}
				sums[n.Number] = s
			}
			if n.SuccessAge >= 0 {
				s.lastSuccess = max(s.lastSuccess, now-e.Age-n.SuccessAge)
			}
			at := now - e.Age - max(0, n.BusyAge)
			if n.Busy < 1 || n.BusyAge < 0 || now-at >= BusyTime {
				continue
			}
			s.LastBusy = max(s.LastBusy, at)
			s.Witnesses = append(s.Witnesses, e.Member)
		}
	}
	var numbers []BusyNumber
	for _, s := range sums {
		if len(s.Witnesses) >= minWitnesses && s.lastSuccess < s.LastBusy {
			s.Remaining = s.LastBusy + BusyTime - now
			numbers = append(numbers, s.BusyNumber)
		}
	}
	slices.SortFunc(numbers, func(a, b BusyNumber) int { return cmp.Compare(a.Number, b.Number) })
	return numbers
}
