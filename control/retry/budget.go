package retry

import "beammux/control"

const (
	windowSlots = 10                  // of the moving window
	slotSpan    = control.Micros(1e6) // of each
	windowS     = 10                  // all of it in seconds
)

// Budget bounds the further attempts of all calls together, so that retries can't multiply an overload. A further
// attempt needs both:
//
//   - the window: over the last 10 s, further attempts are at most Ratio of the first attempts, or MinPerS times 10 s
//     where that is more;
//   - the bucket: it holds Burst at most and fills at the pace that the window allows, so what the window leaves isn't
//     sent in one moment.
//
// The dearer classes go last: what a class's own first attempts brought into the window is kept for it against classes
// worth less, as far as it has not used it, and a part of the bucket is kept in the same proportion. Classes worth less
// keep nothing against it, so it may use the whole budget.
//
// A clock that steps back loses nothing and brings nothing; one that steps ahead empties the window.
type Budget struct {
	figures BudgetConfig
	worth   []float64 // by class
	*counts
}

// counts outlive a change of the figures.
type counts struct {
	slots        [windowSlots][]tally // by class
	sum          []tally              // over the window, by class
	first, again int                  // over the window and all classes
	slot         int64                // number of the current slot
	last         control.Micros       // latest time told
	shift        control.Micros       // what the clock has stepped back in all
	tokens       float64
	begun        bool
}

type tally struct{ first, again int }

// NewBudget makes a full budget for the classes of the settings. Not safe for concurrent use.
func NewBudget(f BudgetConfig, classes []control.Class) *Budget {
	b := &Budget{figures: f, counts: &counts{sum: make([]tally, len(classes)), tokens: float64(f.Burst)}}
	for i := range b.slots {
		b.slots[i] = make([]tally, len(classes))
	}
	for _, c := range classes {
		b.worth = append(b.worth, c.Worth)
	}
	return b
}

// First counts a first attempt of a class.
func (b *Budget) First(now control.Micros, class int) {
	b.advance(now)
	b.first++
	if class >= 0 && class < len(b.sum) {
		b.sum[class].first++
		b.slots[b.slot%windowSlots][class].first++
	}
}

// Take asks for a further attempt of a class and counts it if it may go.
func (b *Budget) Take(now control.Micros, class int) bool {
	b.advance(now)
	if class < 0 || class >= len(b.sum) {
		return false
	}
	allowed := b.allowed()
	kept, part := 0.0, 0.0
	if b.first > 0 {
		for d, t := range b.sum {
			if b.worth[d] > b.worth[class] {
				own := float64(t.first) / float64(b.first)
				part += own
				kept += max(0, allowed*own-float64(t.again))
			}
		}
	}
	if float64(b.again+1)+kept > allowed || b.tokens-1 < part*float64(b.figures.Burst-1) {
		return false
	}
	b.tokens--
	b.again++
	b.sum[class].again++
	b.slots[b.slot%windowSlots][class].again++
	return true
}

// allowed is the most further attempts in the window.
func (b *Budget) allowed() float64 {
	return max(b.figures.Ratio*float64(b.first), float64(b.figures.MinPerS*windowS))
}

// advance brings the window and the bucket up to a time.
func (b *Budget) advance(now control.Micros) {
	now += b.shift
	if !b.begun {
		b.begun, b.last, b.slot = true, now, int64(now/slotSpan)
	}
	if now < b.last { // the clock stepped back: go on from where it was
		b.shift += b.last - now
		now = b.last
	}
	pace := b.allowed() / windowS
	b.tokens = min(b.tokens+pace*float64(now-b.last)/1e6, float64(b.figures.Burst))
	b.last = now
	slot := int64(now / slotSpan)
	for n := min(slot-b.slot, windowSlots); n > 0; n-- {
		for class, t := range b.slots[(slot-n+1)%windowSlots] {
			b.sum[class].first -= t.first
			b.sum[class].again -= t.again
			b.first -= t.first
			b.again -= t.again
			b.slots[(slot-n+1)%windowSlots][class] = tally{}
		}
	}
	b.slot = slot
}
