package store

import (
	"testing"

	"go.uber.org/goleak"
)

// No test leaves a goroutine behind, but for one that raft makes: an entry that is handed over while raft shuts down is
// never answered, and Node.commit, whose own wait ends with its context, leaves a goroutine at that future
// (TestLeasesAreLinearizable closes a leader under writes).
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/hashicorp/raft.(*deferError).Error"))
}
