package hollow

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A watcher that the machine has cut off is told from one that stands, also where much lies unread in the kernel.
func TestStuckWatcherCutOff(t *testing.T) {
	for _, cut := range []bool{true, false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		served := make(chan net.Conn, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			for err == nil { // until the kernel takes no more
				_, err = c.Write(bytes.Repeat([]byte("x"), 16<<10))
			}
			if cut {
				c.Close()
			}
			served <- c
		}()
		var work sync.WaitGroup
		w := openStuckWatcher(t.Context(), l.Addr().String(), &work)
		c := <-served
		require.Equal(t, cut, w.wasCutOff())
		c.Close()
		work.Wait()
	}
}
