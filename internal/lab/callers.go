package lab

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"beammux/internal/protocol/jsonl"
)

// ObservationKind is what a stand-in saw.
type ObservationKind int

// What callers see of a try, and servers of a set-up.
const (
	Tried        ObservationKind = iota // a set-up was written to a gatekeeper; Span is what the caller gives it
	Unsent                              // no gatekeeper was up
	Established                         // final answer: the call stands; Body is its description
	Refused                             // final answer
	Failed                              // final answer
	SecondAnswer                        // a further final answer; Body tells which
	Unanswered                          // its time was up
	Broken                              // its connection ended without an answer
	Ended                               // a call that stood was released
	ServerSetup                         // a set-up came whole
	ServerAnswered
	ServerFull
	ServerGivenUp // by CANCEL or the end of its connection
	ServerCut     // the server died with it
	LateAnswer    // the first answer to a try that was told as Unanswered; Body tells which
	seenKinds
)

var seenNames = [seenKinds]string{"tried", "unsent", "stood", "refused", "failed", "second answer", "unanswered", "broken", "ended",
	"setup", "answered", "full", "given up", "cut", "late answer"}

func (k ObservationKind) String() string { return seenNames[k] }

// Observation is one thing that a stand-in saw.
type Observation struct {
	At         time.Time
	Kind       ObservationKind
	Call       string
	Gatekeeper int // place among the callers' gatekeepers, -1 where none is concerned
	Class      string
	Span       time.Duration
	Body       string
}

// PlatformWork is what a call costs the stand-in servers of a fleet: that of the platform's figures.
func PlatformWork() Work { return work }

// Settings is the settings object of a configuration for so many gatekeepers, as the stand-ins work by.
func Settings(gatekeepers int) string { return fmtSettings(gatekeepers) }

// Load says what the callers of a fleet offer.
type Load struct {
	Seed        uint64
	Gatekeepers int
	Servers     int
	PerS        float64 // first calls a second
	Length      time.Duration
	FirstTarget func(*rand.Rand) (home, dest int) // of a first call: its gatekeeper and the cell of its first choice
	RetryTarget func(*rand.Rand) int              // of a further try: its gatekeeper, -1 for the next one
	Key         func(*rand.Rand) string           // number of a first call, "" for any; nil: any
	Observer    func(Observation)                 // told with a lock held: must not call the callers
}

// Callers are stand-ins for the callers of a fleet, one connection to each gatekeeper, which comes back when it breaks.
type Callers struct{ day *day }

// NewCallers makes callers; none calls before Play.
func NewCallers(o Load) *Callers {
	d := newDay(Overload{Seed: o.Seed, Gatekeepers: o.Gatekeepers, Servers: o.Servers, Length: o.Length,
		Load: o.PerS / work.Capacity() / float64(o.Servers)})
	d.again, d.dice = o.RetryTarget, rand.New(rand.NewPCG(o.Seed, 3))
	d.key = o.Key
	d.pick, d.seen, d.past = o.FirstTarget, o.Observer, map[string]ObservationKind{}
	for range o.Gatekeepers {
		d.conns = append(d.conns, &callers{})
	}
	return &Callers{d}
}

const (
	reconnectAfter = 50 * time.Millisecond
	testEvery      = 250 * time.Millisecond // the front tests each gatekeeper so often
	testWithin     = time.Second            // and leads nobody to one that has not passed a test for so long
)

// MaintainConnection holds a connection to a gatekeeper at an address until the context ends: it is opened again when it breaks.
// What was open on it is told as Broken and dialled again. As the platform's front does, it tests the gatekeeper, and
// leads new set-ups elsewhere while the last test failed or none passed for a second. It is called once for each.
func (c *Callers) MaintainConnection(ctx context.Context, i int, addr string) {
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

// Available tells how many gatekeepers the callers may be led to.
func (c *Callers) Available() (n int) {
	for _, to := range c.day.conns {
		to.mu.Lock()
		if to.usable() {
			n++
		}
		to.mu.Unlock()
	}
	return n
}

// usable is asked with the lock held.
func (c *callers) usable() bool {
	return c.conn != nil && c.fit && time.Since(c.passed) < testWithin
}

// write writes within a second: a connection that takes nothing more must not hold its callers.
func (c *callers) write(conn net.Conn, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(data); err != nil {
		conn.Close()
	}
}

// PlaceCalls calls until the time is over or the context ends, and lets what is open end.
func (c *Callers) PlaceCalls(ctx context.Context) {
	c.day.began = time.Now()
	c.day.play(ctx, c.day.Servers, nil)
}

// Outcome is what came of it so far.
func (c *Callers) Outcome(servers []*Server) *Outcome { return c.day.result(servers) }

// broke takes a connection that ended from the callers. Set-ups without an answer on it are dialled again, unless the
// callers themselves hung up.
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
			d.tell(Observation{Kind: Broken, Call: id, Gatekeeper: i})
			d.redial(k.caller, 0)
		}
	}
}
