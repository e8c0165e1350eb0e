package jsonl

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"beammux/control/drain"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

// TestMain fixes the seed of rapid, so that each run has the same steps and result.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}

// countingCore is a test double of the core that counts how each set-up ended: by a final answer, by a withdrawal or by its
// caller's cancel.
type countingCore struct {
	mu    sync.Mutex
	calls map[string]*entry
}

// entry is the state of one set-up.
type entry struct {
	caller                         routing.Caller
	answered, withdrawn, cancelled int
	established                    bool
}

func (l *countingCore) Open(s routing.Setup, k routing.Caller) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[s.ID] = &entry{caller: k}
}

func (l *countingCore) CountMalformed(int) {}

func (l *countingCore) CountRefused(int) {}

func (l *countingCore) Abort(id string, caller routing.Caller) { l.Withdraw(id, caller, nil) }

func (l *countingCore) Withdraw(id string, k routing.Caller, done func(bool)) {
	l.mu.Lock()
	e := l.calls[id]
	inTime := e != nil && e.caller == k && e.answered+e.withdrawn+e.cancelled == 0
	if inTime {
		e.withdrawn++
	}
	l.mu.Unlock()
	if done != nil {
		done(inTime)
	}
}

func (l *countingCore) Hangup(id string, _ int, k routing.Caller, done func(bool)) {
	l.mu.Lock()
	e := l.calls[id]
	switch {
	case e == nil:
	case e.established:
		e.established = false
	case e.caller == k && e.answered+e.withdrawn == 0:
		e.cancelled++
	}
	l.mu.Unlock()
	done(e != nil)
}

// finish sends the final answer of an open set-up, as the core's actor would: 0 is an answer, 1 a refusal, else a failure.
func (l *countingCore) finish(id string, answer int) {
	l.mu.Lock()
	e := l.calls[id]
	if e == nil || e.answered+e.withdrawn+e.cancelled > 0 {
		l.mu.Unlock()
		return
	}
	e.answered++
	e.established = answer == 0
	l.mu.Unlock()
	switch answer {
	case 0:
		if !e.caller.Answer([]byte(strings.Repeat("x", 4000))) {
			l.mu.Lock()
			e.established = false // the core ends the call at its server
			l.mu.Unlock()
		}
	case 1:
		e.caller.Refuse(time.Second)
	default:
		e.caller.Fail()
	}
}

// Random steps of a caller on one TCP connection, of the core and of a drain. Each set-up that the core receives ends once.
// Its caller receives at most one final answer, and exactly that one if it stays and reads. The front detects that a caller
// leaves in any way, and no state remains on the connection or in the front.
func TestConnectionAgainstModel(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	log := logrus.New()
	log.SetOutput(io.Discard)
	rapid.Check(t, func(r *rapid.T) {
		core := &countingCore{calls: map[string]*entry{}}
		f := NewFront(core, []string{"menu-view", "diet-order"}, log)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		nc, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		far, err := l.Accept()
		require.NoError(t, err)
		l.Close()
		c := nc.(*net.TCPConn)
		tc := transport.NewConn(far, nil)
		served := make(chan struct{})
		go func() { defer close(served); f.Serve(tc); tc.Finish(); <-tc.Closed() }()
		received, reading := map[string]int{}, make(chan struct{})
		var slow sync.Mutex // held while the caller does not read
		var heardMu sync.Mutex
		go func() {
			defer close(reading)
			for s := bufio.NewScanner(c); s.Scan(); {
				slow.Lock()
				text := s.Text()
				slow.Unlock()
				if i := strings.Index(text, `"sid":"`); i >= 0 && (strings.Contains(text, `"ready"`) || strings.Contains(text, `"code":34`) ||
					strings.Contains(text, `"code":41`)) {
					heardMu.Lock()
					received[text[i+7:i+23]]++
					heardMu.Unlock()
				}
			}
		}()
		sent, gone, slowed, closing := 0, false, false, false
		name := func(i int) string { return fmt.Sprintf("%016x", i) }
		anyCall := func() string { return name(rapid.IntRange(0, max(0, sent-1)).Draw(r, "call")) }
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			switch step := rapid.SampledFrom([]string{"open", "open", "open", "answer", "answer", "cancel", "release", "part", "half-close", "RST",
				"bytes with the close", "slow", "drain", "turn away", "hang up"}).Draw(r, "step"); {
			case gone:
				core.finish(anyCall(), rapid.IntRange(0, 2).Draw(r, "how")) // an answer of the core may cross the end
			case step == "open":
				for range rapid.IntRange(1, 20).Draw(r, "setups") {
					io.WriteString(c, open(name(sent)))
					sent++
				}
			case step == "answer":
				core.finish(anyCall(), rapid.IntRange(0, 2).Draw(r, "how"))
			case step == "cancel":
				fmt.Fprintf(c, `{"msg":"close","sid":%q,"attrs":{},"code":16}`+"\n", anyCall())
			case step == "release":
				core.mu.Lock()
				e := core.calls[anyCall()]
				isEstablished := e != nil && e.established
				if isEstablished {
					e.established = false
				}
				core.mu.Unlock()
				if isEstablished {
					e.caller.Release(16)
				}
			case step == "part":
				io.WriteString(c, `{"msg":"open","si`) // an incomplete message, which makes the following input malformed
			case step == "half-close":
				c.CloseWrite()
				gone = true
			case step == "RST":
				c.SetLinger(0)
				c.Close()
				gone = true
			case step == "bytes with the close":
				io.WriteString(c, open(name(sent)))
				sent++
				c.Close()
				gone = true
			case step == "slow" && !slowed:
				slow.Lock()
				slowed = true
			case step == "drain":
				f.Drain()
				f.Sweep(func(usage transport.Usage) drain.Decision {
					if usage.Unanswered > 0 {
						return drain.KeepOpen
					}
					return drain.Close
				})
				closing = true
			case step == "turn away":
				f.TurnAway()
			case step == "hang up":
				for i := range sent {
					core.finish(name(i), rapid.IntRange(1, 2).Draw(r, "how"))
				}
			}
		}
		if slowed {
			slow.Unlock()
		}
		if !gone {
			// The core answers all set-ups; then the caller leaves.
			for end := time.Now().Add(2 * time.Second); ; runtime.Gosched() {
				for i := range sent {
					core.finish(name(i), 1)
				}
				core.mu.Lock()
				n := len(core.calls)
				core.mu.Unlock()
				select {
				case <-served:
					n = sent // closed by the front, on a malformed line or in the drain
				default:
				}
				if n >= sent || time.Now().After(end) {
					break
				}
			}
			for i := range sent {
				core.finish(name(i), 1)
			}
			if !closing { // the caller receives all answers before it leaves
				core.mu.Lock()
				want := 0
				for _, e := range core.calls {
					want += e.answered
				}
				core.mu.Unlock()
				for end := time.Now().Add(2 * time.Second); time.Now().Before(end); runtime.Gosched() {
					heardMu.Lock()
					n := len(received)
					heardMu.Unlock()
					if n >= want {
						break
					}
				}
				heardMu.Lock()
				if len(received) < want {
					r.Fatalf("%d of %d answers received by a caller that stayed", len(received), want)
				}
				heardMu.Unlock()
			}
		}
		c.Close()
		left := time.Now()
		select {
		case <-served:
		case <-time.After(5 * time.Second):
			r.Fatalf("the connection of a caller that left %v ago is still served", time.Since(left))
		}
		<-reading
		core.mu.Lock()
		defer core.mu.Unlock()
		for id, e := range core.calls {
			if n := e.answered + e.withdrawn + e.cancelled; n != 1 {
				r.Fatalf("%s: %d answers, %d withdrawals, %d cancels; want one in total", id, e.answered, e.withdrawn, e.cancelled)
			}
			if received[id] > 1 || received[id] > e.answered {
				r.Fatalf("%s: received %d answers of %d", id, received[id], e.answered)
			}
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if tc.Held() || len(f.conns) != 0 {
			r.Fatalf("remaining state: held %v, %d connections", tc.Held(), len(f.conns))
		}
		for id := range f.established {
			if e := core.calls[id]; e == nil || !e.established {
				r.Fatalf("%s is recorded as established and is not", id)
			}
		}
	})
}
