package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beammux/control/registers"
)

// For random queue contents and send times, no time window has more register bytes than burst + rate * length, and the sequence
// numbers sent for an origin never decrease.
func TestRegisterBudget(t *testing.T) {
	const members, overhead = 34, 2
	rapid.Check(t, func(t *rapid.T) {
		perSecond := float64(rapid.IntRange(MinRegisterBytes, 20_000).Draw(t, "bytes per second"))
		burst := max(maxDatagramBytes, int(perSecond)/2)
		f := &Fleet{startTime: time.Now()}
		queue := &memberlist.TransmitLimitedQueue{RetransmitMult: registerRetransmitMult, NumNodes: func() int { return members }}
		budget := newRegisterBudget(queue, perSecond)
		now, seq := time.Unix(1000, 0), uint64(0)
		type batch struct {
			at    time.Time
			bytes int
		}
		var batches []batch
		last := map[string]uint64{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "elapsed ms")) * time.Millisecond)
			for range rapid.IntRange(0, 6).Draw(t, "registers") {
				seq++
				r := registers.Register{Topic: registers.Rates, Origin: fmt.Sprint("g", rapid.IntRange(1, members).Draw(t, "origin")), Start: 1, Seq: seq,
					Value: make([]byte, rapid.IntRange(0, 500).Draw(t, "size"))}
				queue.QueueBroadcast(&registerBroadcast{f: f, Register: r})
			}
			limit := rapid.IntRange(0, maxDatagramBytes).Draw(t, "limit")
			bytes := 0
			for _, text := range budget.nextBroadcasts(now, overhead, limit) {
				bytes += overhead + len(text)
				var r register
				require.NoError(t, decodeMode.Unmarshal(text, &r))
				require.GreaterOrEqual(t, r.Seq, last[r.Origin])
				last[r.Origin] = r.Seq
			}
			require.LessOrEqual(t, bytes, limit)
			batches = append(batches, batch{now, bytes})
		}
		for i := range batches {
			sum := 0
			for _, s := range batches[i:] {
				sum += s.bytes
				require.LessOrEqual(t, float64(sum), float64(burst)+perSecond*s.at.Sub(batches[i].at).Seconds()+1)
			}
		}
	})
}

// Without a budget, everything that fits the limit is sent.
func TestUnlimitedRegisterBudget(t *testing.T) {
	queue := &memberlist.TransmitLimitedQueue{RetransmitMult: 1, NumNodes: func() int { return 1 }}
	f := &Fleet{startTime: time.Now()}
	for i := range 50 {
		queue.QueueBroadcast(&registerBroadcast{f: f, Register: registers.Register{Topic: registers.Rates, Origin: fmt.Sprint("g", i), Start: 1, Seq: 1}})
	}
	require.Len(t, newRegisterBudget(queue, 0).nextBroadcasts(time.Now(), 2, 1<<20), 50)
}
