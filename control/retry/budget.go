package retry

import "beammux/control"

const (
	windowSlots = 10                  // slots of the sliding window
	slotSpan    = control.Micros(1e6) // duration of a slot
	windowS     = 10                  // duration of the window in seconds
)

// Budget bounds the retries of all calls together, so that retries can't amplify an overload. A retry must be allowed by both:
//
//   - the window: over the last 10 s, the retries are at most Ratio times the first attempts, or MinPerS times 10 s if that
//     is more;
//   - the bucket: it holds at most Burst tokens and fills at the rate that the window allows, so that the retries allowed by
//     the window are not sent all at once.
//
// Classes of greater worth have priority. The share of the window earned by a class's own first attempts is reserved for it
// against classes of less worth, as far as the class has not used it, and a share of the bucket is reserved in the same
// proportion. Classes of less worth have no reserve against the class, so it may use the whole budget.
//
// A clock that steps back neither adds to the budget nor takes from it; one that steps ahead empties the window.
type Budget struct {
	config BudgetConfig
	worth  []float64 // by class
	*counts
}

// counts is the state of a budget, which is kept when the configuration changes.
type counts struct {
	slots          [windowSlots][]tally // by class
	sum            []tally              // of the window, by class
	first, retries int                  // of the window and all classes
	slot           int64                // number of the current slot
	latest         control.Micros       // latest time, after correction by shift
	shift          control.Micros       // total of the clock's backward steps
	tokens         float64
	started        bool // the first time is known
}

// tally counts first attempts and retries.
type tally struct{ first, retries int }

// NewBudget returns a budget with a full bucket for the classes of the settings. It is not safe for concurrent use.
func NewBudget(f BudgetConfig, classes []control.Class) *Budget {
	b := &Budget{config: f, counts: &counts{sum: make([]tally, len(classes)), tokens: float64(f.Burst)}}
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

// Take reports whether a retry of a class is allowed now, and counts it if so.
func (b *Budget) Take(now control.Micros, class int) bool {
	b.advance(now)
	if class < 0 || class >= len(b.sum) {
		return false
	}
	allowed := b.allowed()
	reserved, reservedShare := 0.0, 0.0
	if b.first > 0 {
		for other, count := range b.sum {
			if b.worth[other] > b.worth[class] {
				earnedShare := float64(count.first) / float64(b.first)
				reservedShare += earnedShare
				reserved += max(0, allowed*earnedShare-float64(count.retries))
			}
		}
	}
	if float64(b.retries+1)+reserved > allowed || b.tokens-1 < reservedShare*float64(b.config.Burst-1) {
		return false
	}
	b.tokens--
	b.retries++
	b.sum[class].retries++
	b.slots[b.slot%windowSlots][class].retries++
	return true
}

// allowed returns the greatest number of retries in the window.
func (b *Budget) allowed() float64 {
	return max(b.config.Ratio*float64(b.first), float64(b.config.MinPerS*windowS))
}

// advance brings the window and the bucket up to date.
func (b *Budget) advance(now control.Micros) {
	now += b.shift
	if !b.started {
		b.started, b.latest, b.slot = true, now, int64(now/slotSpan)
	}
	if now < b.latest { // the clock stepped back: continue from the latest time
		b.shift += b.latest - now
		now = b.latest
	}
	rate := b.allowed() / windowS
	b.tokens = min(b.tokens+rate*float64(now-b.latest)/1e6, float64(b.config.Burst))
	b.latest = now
	slot := int64(now / slotSpan)
	for n := min(slot-b.slot, windowSlots); n > 0; n-- {
		for class, count := range b.slots[(slot-n+1)%windowSlots] {
			b.sum[class].first -= count.first
			b.sum[class].retries -= count.retries
			b.first -= count.first
			b.retries -= count.retries
			b.slots[(slot-n+1)%windowSlots][class] = tally{}
		}
	}
	b.slot = slot
}
