package lab

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"beammux/internal/protocol/jsonl"
)

// ObservationKind is the kind of an observation made by a stand-in.
type ObservationKind int

// Kinds of observations: callers observe attempts, servers observe set-ups.
const (
	Tried              ObservationKind = iota // a set-up was written to a gatekeeper; Span is the time that the caller allows
	Unsent                                    // no gatekeeper was available
	Established                               // final answer: the call is established; Body is its session description
	Refused                                   // final answer: the gatekeeper refused the call
	Failed                                    // final answer: the call failed
	SecondAnswer                              // a further final answer; Body names its kind
	Unanswered                                // the caller's time limit passed without an answer
	Broken                                    // the connection ended before an answer
	Ended                                     // an established call was released
	ServerSetup                               // a complete set-up arrived at a server
	ServerAnswered                            // the server accepted the set-up
	ServerFull                                // the server rejected the set-up because its queue was too long
	ServerGivenUp                             // the set-up was abandoned by CANCEL or the end of its connection
	ServerCut                                 // the server was killed while the set-up or call was open
	LateAnswer                                // the first answer to an attempt already reported as Unanswered; Body names its type
	GaveUp                                    // the caller cancelled the set-up before its answer
	ServerReleased                            // the server wrote the release of an established call
	ServerHeardRelease                        // the server read the release of an established call
	Connected                                 // the callers opened a connection to a gatekeeper
	Disconnected                              // a gatekeeper ended the callers' connection to it
	observationKinds
)

var observationNames = [observationKinds]string{"tried", "unsent", "stood", "refused", "failed", "second answer", "unanswered", "broken", "ended",
	"setup", "answered", "full", "given up", "cut", "late answer",
	"gave up", "released", "heard release", "connected", "disconnected"}

// String returns the name of the kind in the record of a run.
func (k ObservationKind) String() string { return observationNames[k] }

// Observation is one observation of a stand-in.
type Observation struct {
	At         time.Time
	Kind       ObservationKind
	Call       string
	Gatekeeper int    // index among the callers' gatekeepers, -1 if the observation concerns none
	Peer       string // peer of a server that the observation concerns, if its listener identifies it
	Class      string
	Span       time.Duration
	Body       string
}

// PlatformWork returns the processor cost of a call on a stand-in server, by the platform's figures.
func PlatformWork() Work { return work }

// Settings returns the settings object of a configuration for a fleet of the given size. It matches the behavior of the
// stand-ins.
func Settings(gatekeepers int) string { return formatSettings(gatekeepers) }

// Load describes the calls that the callers of a fleet offer.
type Load struct {
	Seed        uint64
	Gatekeepers int
	Servers     int
	PerS        float64 // first calls per second
	Length      time.Duration
	FirstTarget func(*rand.Rand) (home, dest int) // chooses the gatekeeper and the first-choice cell of a first call
	RetryTarget func(*rand.Rand) int              // chooses the gatekeeper of a retry, -1 for the next one
	KeepUsing   bool                              // callers use an open connection also after a failed health check
	GiveUpShare float64                           // fraction of attempts that the caller cancels within maxGiveUpDelay
	Key         func(*rand.Rand) string           // chooses the number of a first call, "" for a random one; nil: always random
	Observer    func(Observation)                 // receives each observation; runs with a lock held and must not call Callers
}

// Callers are stand-ins for the callers of a fleet. They share one connection to each gatekeeper and reopen it after a
// failure.
type Callers struct{ workload *workload }

// NewCallers returns callers for a load. They place no call before PlaceCalls.
func NewCallers(o Load) *Callers {
	load := newWorkload(Overload{Seed: o.Seed, Gatekeepers: o.Gatekeepers, Servers: o.Servers, Length: o.Length,
		Load: o.PerS / work.Capacity() / float64(o.Servers)})
	load.keepUsing = o.KeepUsing
	load.retryTarget, load.retryRand = o.RetryTarget, rand.New(rand.NewPCG(o.Seed, 3))
	load.key, load.giveUpShare, load.giveUpRand = o.Key, o.GiveUpShare, rand.New(rand.NewPCG(o.Seed, 4))
	load.firstTarget, load.observer, load.finalAnswers = o.FirstTarget, o.Observer, map[string]ObservationKind{}
	for range o.Gatekeepers {
		load.conns = append(load.conns, &gatekeeperConn{})
	}
	return &Callers{load}
}

const (
	reconnectDelay      = 50 * time.Millisecond
	healthCheckInterval = 250 * time.Millisecond // interval of the front's health checks of each gatekeeper
	healthCheckTimeout  = time.Second            // the front routes no call to a gatekeeper without a passed check in this time
)

// MaintainConnection keeps a connection to gatekeeper i at addr open until the context ends and reopens it after a failure.
// Attempts that are open on a failed connection are reported as Broken and retried. Like the platform's front, it checks the
// health of the gatekeeper, and routes new set-ups elsewhere while the last check failed or none passed for a second. It must
// be called once for each gatekeeper.
func (c *Callers) MaintainConnection(ctx context.Context, i int, addr string) {
	for ctx.Err() == nil {
		if c.isRouted(i) {
			conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
			if err == nil {
				c.useConnection(ctx, i, conn)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// SetRouted sets whether the front opens connections to gatekeeper i. An open connection stays.
func (c *Callers) SetRouted(i int, routed bool) {
	target := c.workload.conns[i]
	target.mu.Lock()
	defer target.mu.Unlock()
	target.unrouted = !routed
}

// isRouted reports whether the front opens connections to gatekeeper i.
func (c *Callers) isRouted(i int) bool {
	target := c.workload.conns[i]
	target.mu.Lock()
	defer target.mu.Unlock()
	return !target.unrouted
}

// useConnection runs health checks and processes messages on a connection until it ends.
func (c *Callers) useConnection(ctx context.Context, i int, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	target := c.workload.conns[i]
	target.mu.Lock()
	target.conn, target.healthy, target.lastPassed = conn, false, time.Now()
	target.mu.Unlock()
	c.workload.observeConnection(Connected, i)
	go func() {
		for tick := time.NewTicker(healthCheckInterval); ; {
			m := jsonl.Message{Type: "probe", ID: healthCheckID, Attrs: map[string]string{}}
			target.write(conn, m.Append(nil))
			select {
			case <-ctx.Done():
				tick.Stop()
				return
			case <-tick.C:
			}
		}
	}()
	c.workload.read(conn, func(m jsonl.Message) bool {
		if m.Type != "probed" {
			return false
		}
		target.mu.Lock()
		defer target.mu.Unlock()
		target.healthy = m.Code == 1 || target.healthy && c.workload.keepUsing
		if target.healthy {
			target.lastPassed = time.Now()
		}
		return true
	})
	c.workload.observeConnection(Disconnected, i)
	c.workload.connectionLost(i, conn, ctx.Err() == nil)
}

const healthCheckID = "ffffffffffffffff"

// Available returns the number of gatekeepers that are available for new set-ups.
func (c *Callers) Available() (n int) {
	for _, target := range c.workload.conns {
		target.mu.Lock()
		if target.available() {
			n++
		}
		target.mu.Unlock()
	}
	return n
}

// available reports whether new set-ups may use the connection. The caller must hold the lock.
func (c *gatekeeperConn) available() bool {
	return c.conn != nil && c.healthy && time.Since(c.lastPassed) < healthCheckTimeout
}

// write sends data with a deadline of one second, so that a blocked connection does not stall its callers. It closes the
// connection on an error.
func (c *gatekeeperConn) write(conn net.Conn, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(data); err != nil {
		conn.Close()
	}
}

// PlaceCalls places calls until the length of the load has passed or the context ends, and then waits for open attempts.
func (c *Callers) PlaceCalls(ctx context.Context) {
	c.workload.began = time.Now()
	c.workload.placeCalls(ctx, c.workload.Servers, nil)
}

// Outcome returns the results so far. servers are the stand-ins whose counts it includes.
func (c *Callers) Outcome(servers []*Server) *Outcome { return c.workload.result(servers) }

// observeConnection reports that the connection to a gatekeeper was opened or has ended.
func (w *workload) observeConnection(kind ObservationKind, gatekeeper int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observe(Observation{Kind: kind, Gatekeeper: gatekeeper})
}

// connectionLost removes a closed connection. Unanswered set-ups on it are retried if retry is set, which it is not if the
// callers closed the connection themselves.
func (w *workload) connectionLost(i int, c net.Conn, retry bool) {
	w.conns[i].mu.Lock()
	if w.conns[i].conn == c {
		w.conns[i].conn = nil
	}
	w.conns[i].mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, attempt := range w.calls {
		if attempt.conn == c && !attempt.established {
			attempt.over.Stop()
			delete(w.calls, id)
			if !retry {
				continue
			}
			w.outcome.Unanswered++
			w.observe(Observation{Kind: Broken, Call: id, Gatekeeper: i})
			w.scheduleRetry(attempt.caller, 0)
		}
	}
}
