package history

import "beammux/control"

const rateSlots = 10 // one slot per second

// Rates counts the events of calls of the last 10 s by class, each in the second in which it happened.
type Rates struct {
	slots  [rateSlots][]Counts
	newest int64 // Unix second of the newest slot
}

// Event counts one event. The caller passes the class of the call, since only the event Received carries it.
func (r *Rates) Event(e *Event, class int) {
	r.advance(e.At)
	if class < 0 || int64(e.At/1e6) <= r.newest-rateSlots {
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

// advance clears the slots between the newest one and now.
func (r *Rates) advance(now control.Micros) {
	s := int64(now / 1e6)
	for n := min(s-r.newest, rateSlots); n > 0; n-- {
		clear(r.slots[(s-n+1)%rateSlots])
	}
	r.newest = max(r.newest, s)
}

// Last returns the counts of a class over the 10 s up to now.
func (r *Rates) Last(now control.Micros, class int) (sum Counts) {
	r.advance(now)
	for _, slot := range r.slots {
		if class < len(slot) {
			sum.add(slot[class])
		}
	}
	return sum
}
