package fleet

import (
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// largestDatagram is the least burst of a budget: a register and what goes around it fit into it (Topics).
const largestDatagram = 1400

// MinRegisterBytes is the least budget of registers, bytes a second: about one register of the largest size. How many registers
// still count under a budget is measured for 3,500 and 4,500 alone (docs/fleet.md, docs/measured/groups.json).
const MinRegisterBytes = 1000

// registerBudget bounds the bytes of registers that a member sends a second. Registers beyond it stay in the queue, where a newer
// one of the same origin takes the place of an older one: what gets less is how often a register is retransmitted, and how
// fresh the others have it, never the order. Fresh registers go first, by the queue's own order.
type registerBudget struct {
	queue   *memberlist.TransmitLimitedQueue
	limiter *rate.Limiter // nil: no bound
}

func newRegisterBudget(queue *memberlist.TransmitLimitedQueue, bytesPerSecond float64) *registerBudget {
	b := &registerBudget{queue: queue}
	if bytesPerSecond > 0 {
		b.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), max(largestDatagram, int(bytesPerSecond)/2))
	}
	return b
}

// take gives the registers to send now, of at most so many bytes with what goes around each.
func (b *registerBudget) take(now time.Time, overhead, limit int) [][]byte {
	if b.limiter == nil {
		return b.queue.GetBroadcasts(overhead, limit)
	}
	messages := b.queue.GetBroadcasts(overhead, min(limit, int(b.limiter.TokensAt(now))))
	spent := 0
	for _, m := range messages {
		spent += overhead + len(m)
	}
	b.limiter.AllowN(now, spent) // always: no more was asked for than there is
	return messages
}
