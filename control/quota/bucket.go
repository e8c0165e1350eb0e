package quota

import (
	"math"

	"beammux/control"
)

// bucket is a token bucket whose rate and capacity may change while it is in use. Tokens are added only by the rate, and tokens
// above the capacity are lost. Over any time, the bucket therefore yields at most its initial tokens plus rate times time.
//
// A share of the tokens is reserved for calls of the greatest worth. The reserve fills with the same share of the rate, and
// other calls take only tokens beyond the reserve.
type bucket struct {
	rate          float64 // tokens per second
	capacity      float64
	tokens        float64
	reservedShare float64 // share of the rate and of the capacity that is reserved
	reserved      float64 // tokens in the reserve
	updatedAt     control.Micros
}

// refill adds the tokens due since the last update.
func (b *bucket) refill(now control.Micros) {
	if now <= b.updatedAt { // no time has passed, or the clock was set back
		return
	}
	refill := b.rate * float64(now-b.updatedAt) / 1e6
	b.updatedAt = now
	b.tokens = min(b.capacity, b.tokens+refill)
	b.reserved = min(b.maxReserved(), b.reserved+b.reservedShare*refill)
}

// maxReserved returns the capacity of the reserve. It leaves one token for calls without access to the reserve.
func (b *bucket) maxReserved() float64 { return max(0, min(b.reservedShare*b.capacity, b.capacity-1)) }

// set changes the rate and the capacity as of now.
func (b *bucket) set(now control.Micros, rate, capacity float64) {
	b.refill(now)
	b.rate, b.capacity = rate, capacity
	b.tokens = min(b.tokens, capacity)
	b.reserved = min(b.reserved, b.maxReserved())
}

// wholeToken is one token, less an allowance for floating-point errors.
const wholeToken = 1 - 1e-9

// has reports whether a token is available, including the reserve if fromReserve is set.
func (b *bucket) has(fromReserve bool) bool {
	if fromReserve {
		return b.tokens >= wholeToken
	}
	return b.tokens-b.reserved >= wholeToken
}

// take removes one token.
func (b *bucket) take(fromReserve bool) {
	b.tokens--
	if fromReserve {
		b.reserved = max(0, b.reserved-1)
	}
	b.reserved = min(b.reserved, max(0, b.tokens))
}

// wait returns the microseconds until a token is available if no other call takes one, or +Inf if the rate or the capacity never
// yields one.
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
