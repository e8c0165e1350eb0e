package store

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowContext has a deadline but does not end at it, like a context whose timer has not fired yet.
type slowContext struct {
	context.Context
	deadline time.Time
}

func (c slowContext) Deadline() (time.Time, bool) { return c.deadline, true }

// If a member answers that it is not ready, and then does not answer the retry by the deadline, the error is ErrNotReady, even
// if the connection times out before the context ends.
func TestNotReadyUntilTheDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for first := true; ; first = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if !first {
				continue
			}
			bufio.NewReader(c).ReadBytes('\n')
			json.NewEncoder(c).Encode(result{Fault: ErrNotReady.Error()})
		}
	}()
	ctx := slowContext{t.Context(), time.Now().Add(300 * time.Millisecond)}
	_, err = GetFrom(ctx, l.Addr().String(), "k")
	require.ErrorIs(t, err, ErrNotReady)
}
