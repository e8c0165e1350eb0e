package jsonl

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/routing"
	"beammux/internal/transport"
)

// serveOn serves callers of a front on a listener with a budget for requests, and returns its address.
func serveOn(t *testing.T, f *Front, memory transport.ClientMemory) string {
	t.Helper()
	l, err := transport.Listen("127.0.0.1:0", transport.NewBudget(64, 8))
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	l.Memory = memory
	go l.Serve(f.Serve)
	return l.Addr().String()
}

// dial returns a caller's connection.
func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c, bufio.NewReader(c)
}

// Guards against memory that a client's set-ups fill: beyond its part they reach the core without their descriptions, to be refused, and all
// memory is returned with the final answers.
func TestSetupsBeyondTheMemoryAreExcess(t *testing.T) {
	b := newBench(t)
	budget := transport.NewMemoryBudget(512<<10, 1)
	c, r := dial(t, serveOn(t, b.front, transport.ClientMemory{Requests: budget}))
	body := strings.Repeat("x", 12<<10)
	const calls = 8
	excess := 0
	for i := range calls {
		fmt.Fprintf(c, `{"msg":"open","sid":"%016x","attrs":{"class":"diet-order","left":"1500","key":"7f3a"},"text":%q}`+"\n", i, body)
		if setup := <-b.core.opened; setup.Excess {
			excess++
			require.Empty(t, setup.Body)
		}
	}
	require.Positive(t, excess)
	require.Less(t, excess, calls)
	for range calls {
		(<-b.core.callers).Refuse(0)
		b.line(r)
	}
	require.Eventually(t, func() bool { return budget.Used() == 0 }, time.Second, time.Millisecond)
}

// Guards against lines of very many fields, which occupy far more memory and time than their bytes: they are refused before they are parsed.
func TestLineOfManyFieldsIsRefused(t *testing.T) {
	for _, many := range []string{strings.Repeat(`"a":1,`, 1000), `"a":[` + strings.Repeat("[],", 1000) + `1],`, `"a":` + strings.Repeat(`{"a":`, 300) + "1" + strings.Repeat("}", 300) + ","} {
		_, err := parse([]byte(`{` + many + `"msg":"probe","sid":"` + id + `"}`))
		require.ErrorIs(t, err, ErrMalformed)
	}
	text := strings.Repeat(`{[,\"`, 1000)
	m, err := parse([]byte(`{"msg":"open","sid":"` + id + `","text":"` + text + `"}`))
	require.NoError(t, err, "what stands in a text is no field")
	require.Len(t, m.Text, 4*1000)
}

// Guards against a client that confirms no release and so loads the connections of others: while it continues to send, only its first releases
// are sent to others too.
func TestReleasesOfAClientThatConfirmsNoneStayOnItsConnection(t *testing.T) {
	b := newBench(t)
	addr := serveOn(t, b.front, transport.ClientMemory{})
	other, otherLines := dial(t, addr)
	io.WriteString(other, open("00000000000000ff"))
	(<-b.core.callers).Refuse(0)
	b.line(otherLines)
	c, r := dial(t, addr)
	const calls = 40
	for i := range calls {
		io.WriteString(c, open(fmt.Sprintf("%016x", i)))
		k := <-b.core.callers
		<-b.core.opened
		k.Answer(nil)
		b.line(r)
		k.Release(routing.CauseNormal)
		b.line(r)
	}
	deadline := time.Now().Add(3 * time.Second)
	go func() {
		for time.Now().Before(deadline) {
			fmt.Fprintf(c, `{"msg":"probe","sid":%q,"attrs":{},"code":0}`+"\n", id)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	seen := map[string]bool{}
	other.SetReadDeadline(deadline)
	for {
		line, err := otherLines.ReadString('\n')
		if err != nil {
			break
		}
		seen[line] = true
	}
	require.LessOrEqual(t, len(seen), enoughUnconfirmed)
}
