package loglimit

import (
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// A fault that concerns thousands of calls must not write thousands of entries, and the log must say how many are missing.
func TestEntriesAreLimited(t *testing.T) {
	log, hook := test.NewNullLogger()
	l := New(log)
	const entries = 1000
	for range entries {
		l.Info("call ended", logrus.Fields{"call": "1"})
	}
	require.GreaterOrEqual(t, len(hook.AllEntries()), entryBurst)
	require.Less(t, len(hook.AllEntries()), entries/2)
	require.Equal(t, int64(entries-len(hook.AllEntries())), l.suppressed.Load())
}
