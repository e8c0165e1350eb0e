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

// The same steps each time: a verdict must not change from run to run.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}

// ledger is a core that keeps an account of each set-up: how often it was ended by a final answer, by a withdrawal and by its
// caller's cancel.
type ledger struct {
	mu    sync.Mutex
	calls map[string]*entry
}

type entry struct {
	caller                         routing.Caller
	answered, withdrawn, cancelled int
	stands                         bool
}

func (l *ledger) Open(s routing.Setup, k routing.Caller) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[s.ID] = &entry{caller: k}
}

func (l *ledger) CountMalformed(int) {}

func (l *ledger) Withdraw(id string, k routing.Caller, done func(bool)) {
	l.mu.Lock()
	e := l.calls[id]
	in := e != nil && e.caller == k && e.answered+e.withdrawn+e.cancelled == 0
	if in {
		e.withdrawn++
	}
	l.mu.Unlock()
	if done != nil {
		done(in)
	}
}

func (l *ledger) Hangup(id string, _ int, k routing.Caller, done func(bool)) {
	l.mu.Lock()
	e := l.calls[id]
	switch {
	case e == nil:
	case e.stands:
		e.stands = false
	case e.caller == k && e.answered+e.withdrawn == 0:
		e.cancelled++
	}
	l.mu.Unlock()
	done(e != nil)
}

// final gives an open set-up its answer, as the core's actor would.
func (l *ledger) final(id string, how int) {
	l.mu.Lock()
	e := l.calls[id]
	if e == nil || e.answered+e.withdrawn+e.cancelled > 0 {
		l.mu.Unlock()
		return
	}
	e.answered++
	e.stands = how == 0
	l.mu.Unlock()
	switch how {
	case 0:
		if !e.caller.Answer([]byte(strings.Repeat("x", 4000))) {
			l.mu.Lock()
			e.stands = false // the core ends it at its server
			l.mu.Unlock()
		}
	case 1:
		e.caller.Refuse(time.Second)
	default:
		e.caller.Fail()
	}
}

// Random steps of a caller on one real connection, of the core and of a drain, against the account of each set-up: one that was
// taken has one end; its caller hears at most one final answer, and that one if it stayed and read; whoever leaves, in
// whatever way, is seen; and nothing is left on the connection or behind it.
func TestConnectionAgainstModel(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	log := logrus.New()
	log.SetOutput(io.Discard)
	rapid.Check(t, func(r *rapid.T) {
		core := &ledger{calls: map[string]*entry{}}
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
		heard, reading := map[string]int{}, make(chan struct{})
		var slow sync.Mutex // held while the caller does not read
		var hear sync.Mutex
		go func() {
			defer close(reading)
			for s := bufio.NewScanner(c); s.Scan(); {
				slow.Lock()
				text := s.Text()
				slow.Unlock()
				if i := strings.Index(text, `"sid":"`); i >= 0 && (strings.Contains(text, `"ready"`) || strings.Contains(text, `"code":34`) ||
					strings.Contains(text, `"code":41`)) {
					hear.Lock()
					heard[text[i+7:i+23]]++
					hear.Unlock()
				}
			}
		}()
		sent, gone, slowed, closing := 0, false, false, false
		name := func(i int) string { return fmt.Sprintf("%016x", i) }
		one := func() string { return name(rapid.IntRange(0, max(0, sent-1)).Draw(r, "call")) }
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			switch step := rapid.SampledFrom([]string{"open", "open", "open", "answer", "answer", "cancel", "release", "part", "half-close", "RST",
				"bytes with the close", "slow", "drain", "turn away", "hang up"}).Draw(r, "step"); {
			case gone:
				core.final(one(), rapid.IntRange(0, 2).Draw(r, "how")) // the core may be on its way with an answer
			case step == "open":
				for range rapid.IntRange(1, 20).Draw(r, "setups") {
					io.WriteString(c, open(name(sent)))
					sent++
				}
			case step == "answer":
				core.final(one(), rapid.IntRange(0, 2).Draw(r, "how"))
			case step == "cancel":
				fmt.Fprintf(c, `{"msg":"close","sid":%q,"attrs":{},"code":16}`+"\n", one())
			case step == "release":
				core.mu.Lock()
				e := core.calls[one()]
				stands := e != nil && e.stands
				if stands {
					e.stands = false
				}
				core.mu.Unlock()
				if stands {
					e.caller.Release(16)
				}
			case step == "part":
				io.WriteString(c, `{"msg":"open","si`) // what follows can't be read
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
				f.Sweep(func(_ time.Time, owed, standing bool) drain.Decision {
					if owed {
						return drain.KeepOpen
					}
					return drain.Close
				})
				closing = true
			case step == "turn away":
				f.TurnAway()
			case step == "hang up":
				for i := range sent {
					core.final(name(i), rapid.IntRange(1, 2).Draw(r, "how"))
				}
			}
		}
		if slowed {
			slow.Unlock()
		}
		if !gone {
			// What was taken is answered; then the caller leaves.
			for end := time.Now().Add(2 * time.Second); ; runtime.Gosched() {
				for i := range sent {
					core.final(name(i), 1)
				}
				core.mu.Lock()
				n := len(core.calls)
				core.mu.Unlock()
				select {
				case <-served:
					n = sent // closed from this side, over a bad line or in the drain
				default:
				}
				if n >= sent || time.Now().After(end) {
					break
				}
			}
			for i := range sent {
				core.final(name(i), 1)
			}
			if !closing { // all that was answered is heard before the caller goes
				core.mu.Lock()
				want := 0
				for _, e := range core.calls {
					want += e.answered
				}
				core.mu.Unlock()
				for end := time.Now().Add(2 * time.Second); time.Now().Before(end); runtime.Gosched() {
					hear.Lock()
					n := len(heard)
					hear.Unlock()
					if n >= want {
						break
					}
				}
				hear.Lock()
				if len(heard) < want {
					r.Fatalf("%d of %d answers heard by a caller who stayed", len(heard), want)
				}
				hear.Unlock()
			}
		}
		c.Close()
		left := time.Now()
		select {
		case <-served:
		case <-time.After(5 * time.Second):
			r.Fatalf("the connection of a caller who left %v ago is still served", time.Since(left))
		}
		<-reading
		core.mu.Lock()
		defer core.mu.Unlock()
		for id, e := range core.calls {
			if n := e.answered + e.withdrawn + e.cancelled; n != 1 {
				r.Fatalf("%s: %d answers, %d withdrawals, %d cancels; want one end", id, e.answered, e.withdrawn, e.cancelled)
			}
			if heard[id] > 1 || heard[id] > e.answered {
				r.Fatalf("%s: heard %d answers of %d", id, heard[id], e.answered)
			}
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if tc.Held() || len(f.conns) != 0 {
			r.Fatalf("left behind: held %v, %d connections", tc.Held(), len(f.conns))
		}
		for id := range f.stands {
			if e := core.calls[id]; e == nil || !e.stands {
				r.Fatalf("%s is kept as standing and does not stand", id)
			}
		}
	})
}
