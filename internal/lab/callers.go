package lab

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"beammux/internal/protocol/jsonl"
)

// SeenKind is the kind of an observation made by a stand-in.
type SeenKind int

// Kinds of observations: callers observe attempts, servers observe set-ups.
const (
	Tried          SeenKind = iota // a set-up was written to a gatekeeper; Span is the time that the caller allows
	Unsent                         // no gatekeeper was available
	Established                    // final answer: the call is established; Body is its session description
	Refused                        // final answer: the gatekeeper refused the call
	Failed                         // final answer: the call failed
	SecondAnswer                   // a further final answer; Body names its kind
	Unanswered                     // the caller's time limit passed without an answer
	Broken                         // the connection ended before an answer
	Ended                          // an established call was released
	ServerSetup                    // a complete set-up arrived at a server
	ServerAnswered                 // the server accepted the set-up
	ServerFull                     // the server rejected the set-up because its queue was too long
	ServerGivenUp                  // the set-up was abandoned by CANCEL or the end of its connection
	ServerCut                      // the server was killed while the set-up or call was open
	LateAnswer                     // the first answer to an attempt already reported as Unanswered; Body names its type
	seenKinds
)

var seenNames = [seenKinds]string{"tried", "unsent", "stood", "refused", "failed", "second answer", "unanswered", "broken", "ended",
	"setup", "answered", "full", "given up", "cut", "late answer"}

// String returns the name of the kind in the record of a run.
func (k SeenKind) String() string { return seenNames[k] }

// Seen is one observation of a stand-in.
type Seen struct {
	At         time.Time
	Kind       SeenKind
	Call       string
	Gatekeeper int // index among the callers' gatekeepers, -1 if the observation concerns none
	Class      string
	Span       time.Duration
	Body       string
}

// PlatformWork returns the processor cost of a call on a stand-in server, by the platform's figures.
func PlatformWork() Work { return work }

// Settings returns the settings object of a configuration for a fleet of the given size. It matches the behavior of the
// stand-ins.
func Settings(gatekeepers int) string { return fmtSettings(gatekeepers) }

// Load describes the load that the callers of a fleet offer.
type Load struct {
	Seed        uint64
	Gatekeepers int
	Servers     int
	PerS        float64 // first calls per second
	Length      time.Duration
	Pick        func(*rand.Rand) (home, dest int) // chooses the gatekeeper and the first-choice cell of a first call
	Again       func(*rand.Rand) int              // chooses the gatekeeper of a retry, -1 for the next one
	Key         func(*rand.Rand) string           // chooses the number of a first call, "" for a random one; nil: always random
	Hear        func(Seen)                        // receives each observation; runs with a lock held and must not call Callers
}

// Callers are stand-ins for the callers of a fleet. They share one connection to each gatekeeper and reopen it after a
// failure.
type Callers struct{ day *day }

// NewCallers returns callers for a load. They place no call before Play.
func NewCallers(o Load) *Callers {
	d := newDay(Overload{Seed: o.Seed, Gatekeepers: o.Gatekeepers, Servers: o.Servers, Length: o.Length,
		Load: o.PerS / work.Capacity() / float64(o.Servers)})
	d.again, d.dice = o.Again, rand.New(rand.NewPCG(o.Seed, 3))
	d.key = o.Key
	d.pick, d.seen, d.past = o.Pick, o.Hear, map[string]SeenKind{}
	for range o.Gatekeepers {
		d.conns = append(d.conns, &callers{})
	}
	return &Callers{d}
}

const (
	reconnectAfter = 50 * time.Millisecond
	testEvery      = 250 * time.Millisecond // interval of the front's health checks of each gatekeeper
	testWithin     = time.Second            // the front routes no call to a gatekeeper without a passed check in this time
)

// Keep maintains a connection to gatekeeper i at addr until the context ends and reopens it after a failure. Attempts that
// are open on a failed connection are reported as Broken and retried. Like the platform's front, it checks the health of the
// gatekeeper, and routes new set-ups elsewhere while the last check failed or none passed for a second. Keep must be called
// once for each gatekeeper.
func (c *Callers) Keep(ctx context.Context, i int, addr string) {
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
		if err == nil {
			c.hold(ctx, i, conn)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectAfter):
		}
	}
}

func (c *Callers) hold(ctx context.Context, i int, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	to := c.day.conns[i]
	to.mu.Lock()
	to.conn, to.fit, to.passed = conn, false, time.Now()
	to.mu.Unlock()
	go func() {
		for tick := time.NewTicker(testEvery); ; {
			m := jsonl.Message{Type: "probe", ID: testID, Attrs: map[string]string{}}
			to.write(conn, m.Append(nil))
			select {
			case <-ctx.Done():
				tick.Stop()
				return
			case <-tick.C:
			}
		}
	}()
	c.day.read(conn, func(m jsonl.Message) bool {
		if m.Type != "probed" {
			return false
		}
		to.mu.Lock()
		defer to.mu.Unlock()
		if to.fit = m.Code == 1; to.fit {
			to.passed = time.Now()
		}
		return true
	})
	c.day.broke(i, conn, ctx.Err() == nil)
}

const testID = "ffffffffffffffff"

// Up returns the number of gatekeepers that are available for new set-ups.
func (c *Callers) Up() (n int) {
	for _, to := range c.day.conns {
		to.mu.Lock()
		if to.usable() {
			n++
		}
		to.mu.Unlock()
	}
	return n
}

// usable reports whether new set-ups may use the connection. The caller must hold the lock.
func (c *callers) usable() bool {
	return c.conn != nil && c.fit && time.Since(c.passed) < testWithin
}

// write sends data with a deadline of one second, so that a blocked connection does not stall its callers. It closes the
// connection on an error.
func (c *callers) write(conn net.Conn, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(data); err != nil {
		conn.Close()
	}
}

// Play places calls until the length of the load has passed or the context ends, and then waits for open attempts.
func (c *Callers) Play(ctx context.Context) {
	c.day.began = time.Now()
	c.day.play(ctx, c.day.Servers, nil)
}

// Outcome returns the results so far. servers are the stand-ins whose counts it includes.
func (c *Callers) Outcome(servers []*Server) *Outcome { return c.day.result(servers) }

// broke removes a closed connection. Unanswered set-ups on it are retried if again is set, which it is not if the callers
// closed the connection themselves.
func (d *day) broke(i int, c net.Conn, again bool) {
	d.conns[i].mu.Lock()
	if d.conns[i].conn == c {
		d.conns[i].conn = nil
	}
	d.conns[i].mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, k := range d.calls {
		if k.conn == c && !k.stood {
			k.over.Stop()
			delete(d.calls, id)
			if !again {
				continue
			}
			d.out.Unanswered++
			d.tell(Seen{Kind: Broken, Call: id, Gatekeeper: i})
			d.redial(k.caller, 0)
		}
	}
}
