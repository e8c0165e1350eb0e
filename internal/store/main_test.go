package store

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain verifies that no test leaks a goroutine, with one exception caused by raft: an entry that is appended while raft
// shuts down is never completed, so Node.commit, whose own wait ends with its context, leaves a goroutine that waits for the
// future (TestLeasesAreLinearizable closes a leader during writes).
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/hashicorp/raft.(*deferError).Error"))
}
