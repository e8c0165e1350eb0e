package quota

import (
	"math"

	"beammux/control"
)

// bucket is a token bucket whose rate and capacity change while it is used. Tokens come by the rate alone, and what exceeds the
// capacity is lost. So over any time it gives at most what it held at the beginning plus its rate times the time.
//
// A part of its tokens is reserved for calls of the greatest worth: it fills with the same part of the rate, and other calls
// take only what lies above it.
type bucket struct {
	rate          float64 // tokens a second
	capacity      float64
	tokens        float64
	reservedShare float64 // part of the rate and of the capacity that is reserved
	reserved      float64
	updatedAt     control.Micros
}

func (b *bucket) refill(now control.Micros) {
	if now <= b.updatedAt { // the first use, or a clock that went back
		return
	}
	refill := b.rate * float64(now-b.updatedAt) / 1e6
	b.updatedAt = now
	b.tokens = min(b.capacity, b.tokens+refill)
	b.reserved = min(b.maxReserved(), b.reserved+b.reservedShare*refill)
}

// maxReserved leaves room for one call without access to the reserve.
func (b *bucket) maxReserved() float64 { return max(0, min(b.reservedShare*b.capacity, b.capacity-1)) }

// set changes rate and capacity as of a time.
func (b *bucket) set(now control.Micros, rate, capacity float64) {
	b.refill(now)
	b.rate, b.capacity = rate, capacity
	b.tokens = min(b.tokens, capacity)
	b.reserved = min(b.reserved, b.maxReserved())
}

// whole is a token but for what floating point loses.
const wholeToken = 1 - 1e-9

func (b *bucket) has(fromReserve bool) bool {
	if fromReserve {
		return b.tokens >= wholeToken
	}
	return b.tokens-b.reserved >= wholeToken
}

func (b *bucket) take(fromReserve bool) {
	b.tokens--
	if fromReserve {
		b.reserved = max(0, b.reserved-1)
	}
	b.reserved = min(b.reserved, max(0, b.tokens))
}

// wait is the time until a call could go if no other came, +Inf where none ever can at this rate.
func (b *bucket) wait(fromReserve bool) float64 {
	missing, rate := 1-b.tokens, b.rate
	if !fromReserve {
		missing += b.reserved
		if b.reserved < b.maxReserved() {
			rate *= 1 - b.reservedShare
		}
	}
	if missing <= 0 {
		return 0
	}
	if rate <= 0 || b.capacity < wholeToken {
		return math.Inf(1)
	}
	return missing / rate * 1e6
}
