package history

import "beammux/control"

const rateSlots = 10 // seconds

// Rates counts the calls of the last 10 s by class, each in the second of its event.
type Rates struct {
	slots [rateSlots][]Counts
	at    int64 // Unix second of the newest slot
}

// Event takes one event; class is that of its call, which Taken alone brings.
func (r *Rates) Event(e *Event, class int) {
	r.advance(e.At)
	if class < 0 || int64(e.At/1e6) <= r.at-rateSlots {
		return
	}
	slot := &r.slots[int64(e.At/1e6)%rateSlots]
	for len(*slot) <= class {
		*slot = append(*slot, Counts{})
	}
	c := &(*slot)[class]
	switch e.Kind {
	case Received:
		c.Offered++
	case Established:
		c.Served++
	case Refused:
		c.Refused++
	case Failed:
		c.Failed++
	case Gone:
		c.Gone++
	}
}

func (r *Rates) advance(now control.Micros) {
	s := int64(now / 1e6)
	for n := min(s-r.at, rateSlots); n > 0; n-- {
		clear(r.slots[(s-n+1)%rateSlots])
	}
	r.at = max(r.at, s)
}

// Last gives the calls of a class in the 10 s up to now.
func (r *Rates) Last(now control.Micros, class int) (sum Counts) {
	r.advance(now)
	for _, slot := range r.slots {
		if class < len(slot) {
			sum.add(slot[class])
		}
	}
	return sum
}
