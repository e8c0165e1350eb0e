package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"beammux/internal/transport"
)

// Guards against parts that are more than the limit together: at the limits of the platform, base, connections and twice the messages, for
// the garbage between two collections, fit into what the runtime may use.
func TestMemoryPartsFitTheLimit(t *testing.T) {
	for _, limits := range []struct{ memoryMB, descriptors int }{{32, 256}, {64, 256}, {64, 512}, {128, 1024}, {192, 1024}} {
		memory := clientMemory(limits.memoryMB, limits.descriptors, true)
		messages := 0
		for _, part := range []*transport.MemoryBudget{memory.Requests, memory.Datagrams, memory.Output} {
			require.Positive(t, part.Limit())
			messages += part.Limit()
		}
		used := baseMemory + limits.descriptors*connectionMemory + collectorReserve*messages
		require.LessOrEqual(t, int64(used), RuntimeMemory(limits.memoryMB), "%+v", limits)
	}
}
