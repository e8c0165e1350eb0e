package store

import (
	"testing"

	"go.uber.org/goleak"
)

// No test leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
