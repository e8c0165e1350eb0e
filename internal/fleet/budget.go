package fleet

import (
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// maxDatagramBytes is the minimum burst of a budget, in bytes. A register of any topic fits into it with its overhead (Topics).
const maxDatagramBytes = 1400

// MinRegisterBytes is the smallest register budget in bytes per second, about one register of the largest size. How many
// registers stay fresh enough to count is known only for budgets of 3,500 and 4,500 (docs/fleet.md,
// docs/measured/groups.json).
const MinRegisterBytes = 1000

// registerBudget bounds the register bytes that a member sends per second. Registers over the budget stay in the queue, where
// a newer register of the same origin replaces an older one. A small budget therefore reduces how often a register is
// retransmitted and how fresh the other members' copies are, but never reorders registers of one origin. The queue itself
// sends the least transmitted registers first.
type registerBudget struct {
	queue   *memberlist.TransmitLimitedQueue
	limiter *rate.Limiter // nil: unlimited
}

// newRegisterBudget returns a budget for the registers in queue; 0 bytes per second means unlimited.
func newRegisterBudget(queue *memberlist.TransmitLimitedQueue, bytesPerSecond float64) *registerBudget {
	b := &registerBudget{queue: queue}
	if bytesPerSecond > 0 {
		b.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), max(maxDatagramBytes, int(bytesPerSecond)/2))
	}
	return b
}

// nextBroadcasts returns the registers to send at time now. Their total size, with overhead bytes added to each, is at most limit.
func (b *registerBudget) nextBroadcasts(now time.Time, overhead, limit int) [][]byte {
	if b.limiter == nil {
		return b.queue.GetBroadcasts(overhead, limit)
	}
	messages := b.queue.GetBroadcasts(overhead, min(limit, int(b.limiter.TokensAt(now))))
	size := 0
	for _, m := range messages {
		size += overhead + len(m)
	}
	b.limiter.AllowN(now, size) // always allowed: spent is at most the tokens available
	return messages
}
