package outlier

import (
	"cmp"
	"slices"

	"beammux/control"
)

// BusyTime is how long a number counts as busy after the newest answer that reports it as busy. It equals the time for which a
// single gatekeeper remembers such an answer.
const BusyTime = control.Micros(5000000)

// NumberObservation is the evidence of one member on one number whose lines were all busy.
type NumberObservation struct {
	Number     string         `cbor:"1,keyasint"`
	Busy       int            `cbor:"2,keyasint"` // busy answers within BusyTime
	BusyAge    control.Micros `cbor:"3,keyasint"` // since the newest busy answer
	SuccessAge control.Micros `cbor:"4,keyasint"` // since a call to the number was established; -1: none was
}

// NumberEvidence holds the observations of numbers of one member that is up, published at least Age ago.
type NumberEvidence struct {
	Member  string
	Age     control.Micros
	Numbers []NumberObservation
}

// BusyNumber is a number all of whose lines the fleet considers busy.
type BusyNumber struct {
	Number    string         `json:"number"`
	LastBusy  control.Micros `json:"-"` // newest busy answer; the number is busy for BusyTime from then
	Remaining control.Micros `json:"left_us"`
	Witnesses []string       `json:"witnesses"`
}

// BusyNumbers returns the numbers that the fleet considers busy: at least minWitnesses members received busy answers within
// BusyTime, and no call to the number was established since the newest of these. Evidence of isolated members is ignored. The
// function keeps no state: a number is busy as long as its evidence is fresh.
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
			busyAt := now - e.Age - max(0, n.BusyAge)
			if n.Busy < 1 || n.BusyAge < 0 || now-busyAt >= BusyTime {
				continue
			}
			s.LastBusy = max(s.LastBusy, busyAt)
			s.Witnesses = append(s.Witnesses, e.Member)
		}
	}
	var busyNumbers []BusyNumber
	for _, s := range sums {
		if len(s.Witnesses) >= minWitnesses && s.lastSuccess < s.LastBusy {
			s.Remaining = s.LastBusy + BusyTime - now
			busyNumbers = append(busyNumbers, s.BusyNumber)
		}
	}
	slices.SortFunc(busyNumbers, func(a, b BusyNumber) int { return cmp.Compare(a.Number, b.Number) })
	return busyNumbers
}
