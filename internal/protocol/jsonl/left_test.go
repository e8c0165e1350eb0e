package jsonl

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/routing"
	"beammux/internal/transport"
)

// goneRecorder is a core that records whether the caller has gone when its set-up is handed over.
type goneRecorder struct {
	*core
	gone chan bool
}

func (c goneRecorder) Open(_ routing.Setup, k routing.Caller) { c.gone <- k.Gone() }

// Guards against set-ups that are sent on although their client closed its connection before they were read: its close counts from when
// the kernel has it, not from when all input before it is read.
func TestSetupsUnreadAtTheCloseAreGone(t *testing.T) {
	b := newBench(t)
	recorder := goneRecorder{b.core, make(chan bool, 2)}
	b.front.core = recorder
	b.front.Scheduler = transport.NewScheduler(1, func() {})
	b.core.withdrawn = make(chan string, 2)
	addr := serveOn(t, b.front, transport.ClientMemory{})
	b.front.Scheduler.Do(func() {
		c, _ := dial(t, addr)
		_, err := io.WriteString(c, open("0000000000000001")+open("0000000000000002"))
		require.NoError(t, err)
		c.Close()
		time.Sleep(50 * time.Millisecond) // the reader has both set-ups, and waits for its turn
	})
	require.True(t, <-recorder.gone)
	require.True(t, <-recorder.gone)
	require.ElementsMatch(t, []string{"0000000000000001", "0000000000000002"}, []string{<-b.core.withdrawn, <-b.core.withdrawn})
}
