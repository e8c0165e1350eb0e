package lab

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/config"
	"beammux/internal/node"
	"beammux/internal/protocol/jsonl"
)

// Overload is a scenario in which all servers slow down while the callers offer more calls than the servers can handle.
type Overload struct {
	Seed                 uint64
	Gatekeepers, Servers int
	Length               time.Duration
	SlowFrom, SlowFor    time.Duration
	Slow                 float64 // factor by which all work takes longer during the slow span
	Load                 float64 // offered load as a fraction of the servers' capacity
	Burst                float64 // factor of the call rate during the slow span; 0: unchanged
	Calls                string  // section "calls" of the deploy file; "": none
}

// Outcome is the result of a scenario. A call that is established within its aim, counted from the first attempt, earns its
// full worth, and later, until the caller gives up, a quarter of it. Retries count with the caller's first attempt.
type Outcome struct {
	First            int                `json:"first_calls"`
	Attempts         int                `json:"tries"`  // including the callers' own retries
	Setups           int                `json:"setups"` // set-ups that reached servers
	SetupsPerCall    float64            `json:"setups_per_first_call"`
	SetupsPerAttempt float64            `json:"setups_per_try_sent"` // over the attempts for which at least one set-up reached a server
	Wasted           int                `json:"wasted"`              // set-ups processed after they had been given up
	TurnedAway       int                `json:"turned_away"`         // set-ups that full servers rejected
	Hung             int                `json:"setups_on_hanging_servers"`
	FailedByFault    int                `json:"setups_failed_by_ill_servers"`
	Offered          float64            `json:"worth_offered"`
	ServedShare      float64            `json:"worth_served"` // fraction of the offered worth
	ServedByClass    map[string]float64 `json:"served_by_class"`
	ServedInSlowSpan float64            `json:"served_of_calls_in_the_slow_span"`
	P50              float64            `json:"P50"` // set-up delay of established calls from the first attempt, in seconds
	P99              float64            `json:"P99"` // set-up delay of established calls from the first attempt, in seconds
	Refused          int                `json:"tries_refused"`
	Failed           int                `json:"tries_failed"`
	Unanswered       int                `json:"tries_unanswered"`
}

type class struct {
	name  string
	part  float64
	aim   time.Duration
	worth float64
}

var classes = []class{{"menu-view", 0.61, 1500 * time.Millisecond, 1}, {"diet-order", 0.17, 2 * time.Second, 3},
	{"tray-count", 0.22, 2500 * time.Millisecond, 1}}

const (
	callerTimeout  = 9 * time.Second
	attemptTimeout = 3200 * time.Millisecond
	maxRetries     = 3
	maxGiveUpDelay = 300 * time.Millisecond // from a set-up to its cancellation by a caller that gives up early
	lateWorth      = 0.25
)

const settings = `{"balancers":%d,"bounds":{"attempts-cap":5,"cancel":true,"dial-timeout-us":500000,"max-retry-after-us":2000000,
"retry-after":true},"classes":[{"aim-us":1500000,"deadline-us":9000000,"late-worth":0.25,"name":"menu-view","repeat":"read_like",
"worth":1},{"aim-us":2000000,"deadline-us":9000000,"late-worth":0.25,"name":"diet-order","repeat":"read_like","worth":3},
{"aim-us":2500000,"deadline-us":9000000,"late-worth":0.25,"name":"tray-count","repeat":"read_like","worth":1}],
"extra":{"here":-1,"release-guard-us":300000,"t1-us":500000},"guarantees":{"fall-multiple":2,"fall-us":1000000,
"start-capacity":0.33,"warm-within-us":15000000},"report":{"fields":["busy","q"]}}`

func formatSettings(gatekeepers int) string { return fmt.Sprintf(settings, gatekeepers) }

// work follows the platform's figures: 20 calls per second for each server.
var work = Work{Setup: 32 * time.Millisecond, Answer: 0.35, Release: 0.2, Refuse: 0.2, Repeat: 0.4, MaxQueueDelay: 3 * time.Second,
	RetransmitInterval: 500 * time.Millisecond}

// Run runs the scenario in real time and returns the results.
func (o Overload) Run(ctx context.Context) (*Outcome, error) {
	site, err := control.ParseSite(fmt.Sprintf(settings, o.Gatekeepers))
	if err != nil {
		return nil, err
	}
	deploy := &config.Deploy{}
	if o.Calls != "" {
		if deploy, err = config.ParseDeploy("lab", []byte(`{"calls":`+o.Calls+`}`), site); err != nil {
			return nil, err
		}
	}
	var servers []*Server
	known := ""
	for i := range o.Servers {
		s, err := NewServer(work, o.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		defer s.Close()
		servers = append(servers, s)
		known += fmt.Sprintf("s-%08x,%s,%d\n", i+1, s.Addr(), i)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	load := newWorkload(o)
	for i := range o.Gatekeepers {
		// Each gatekeeper needs its own policy, because the retry budget is kept per gatekeeper.
		own := *deploy
		if o.Calls != "" {
			copied, err := config.ParseDeploy("lab", []byte(`{"calls":`+o.Calls+`}`), site)
			if err != nil {
				return nil, err
			}
			own = *copied
		}
		cfg := &config.Config{Name: "g" + strconv.Itoa(i), Listen: "127.0.0.1:0", Seed: o.Seed*100 + uint64(i), Sockets: 512, Site: site}
		n, err := node.Start(ctx, cfg, &own, log)
		if err != nil {
			return nil, err
		}
		defer n.Close()
		if err := n.ImportInventory("lab.csv", []byte("name,address,cell\n"+known)); err != nil {
			return nil, err
		}
		load.conns = append(load.conns, &gatekeeperConn{})
		if err := load.connect(i, n.Addr()); err != nil {
			return nil, err
		}
		defer load.disconnect(i)
	}
	all := func(factor float64) func() {
		return func() {
			for _, s := range servers {
				s.Slow(factor)
			}
		}
	}
	load.placeCalls(ctx, len(servers), []scheduledAction{{o.SlowFrom, all(o.Slow)}, {o.SlowFrom + o.SlowFor, all(1)}})
	return load.result(servers), ctx.Err()
}

// workload is the callers' side of a run.
type workload struct {
	Overload
	began time.Time
	conns []*gatekeeperConn

	mu             sync.Mutex
	lastID         int
	pendingRetries int // retries that wait for their delay
	calls          map[string]*setupAttempt
	delays         *hdrhistogram.Histogram
	outcome        *Outcome
	offered        map[string]float64
	served         map[string]float64
	slowSpanWorth  [2]float64 // worth offered and served of calls that began during the slow span

	firstTarget  func(*rand.Rand) (home, dest int) // chooses gatekeeper and first choice of a first call; nil: random
	retryTarget  func(*rand.Rand) int              // chooses the gatekeeper of a retry, -1 for the next one; nil: always the next
	key          func(*rand.Rand) string           // chooses the number of a first call, "" for a random one; nil: always random
	retryRand    *rand.Rand                        // random source of retryTarget
	keepUsing    bool                              // see Load.KeepUsing
	giveUpShare  float64                           // fraction of attempts that are cancelled
	giveUpRand   *rand.Rand                        // random source of giveUpShare; nil: no caller gives up
	observer     func(Observation)                 // receives observations; may be nil
	finalAnswers map[string]ObservationKind        // final answers of finished attempts, used only if observer is set
	expired      map[string]int                    // gatekeeper of each attempt that timed out, until its late answer arrives
}

// observe reports an observation. The caller must hold the lock.
func (w *workload) observe(s Observation) {
	if w.observer != nil {
		s.At = time.Now()
		w.observer(s)
	}
}

// recordFinal records the final answer of an attempt and reports whether it is the first. The caller must hold the lock.
func (w *workload) recordFinal(attempt *setupAttempt, id string, kind ObservationKind, body string) bool {
	if w.observer == nil {
		return true
	}
	if previous, repeated := w.finalAnswers[id]; repeated && (previous != Established || kind == Established) {
		w.observe(Observation{Kind: SecondAnswer, Call: id, Gatekeeper: attempt.gatekeeper, Body: kind.String()})
		return false
	}
	w.finalAnswers[id] = kind
	w.observe(Observation{Kind: kind, Call: id, Gatekeeper: attempt.gatekeeper, Body: body})
	return true
}

// gatekeeperConn is the connection that all callers of one gatekeeper share. conn is nil while the gatekeeper is down.
type gatekeeperConn struct {
	mu         sync.Mutex
	conn       net.Conn
	healthy    bool      // the last health check passed, or one did and the connection is kept in use
	lastPassed time.Time // time of the last check that passed, or was answered while the connection is kept in use
	unrouted   bool      // the front opens no connection
}

// scheduledAction is an action that runs at a time after the start of a run.
type scheduledAction struct {
	at  time.Duration
	run func()
}

func newWorkload(o Overload) *workload {
	return &workload{Overload: o, began: time.Now(), calls: map[string]*setupAttempt{}, expired: map[string]int{}, delays: hdrhistogram.New(1, 20000, 3),
		outcome: &Outcome{ServedByClass: map[string]float64{}}, offered: map[string]float64{}, served: map[string]float64{}}
}

// connect opens a connection to a gatekeeper, without health checks, and lets its callers use it.
func (w *workload) connect(i int, addr string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	w.conns[i].mu.Lock()
	w.conns[i].conn, w.conns[i].healthy, w.conns[i].lastPassed = c, true, time.Now().Add(time.Hour) // no health checks
	w.conns[i].mu.Unlock()
	go w.read(c, nil)
	return nil
}

// detach directs new set-ups to other gatekeepers and returns the connection, on which open calls continue.
func (w *workload) detach(i int) net.Conn {
	w.conns[i].mu.Lock()
	defer w.conns[i].mu.Unlock()
	c := w.conns[i].conn
	w.conns[i].conn = nil
	return c
}

// disconnect closes the connection to a gatekeeper.
func (w *workload) disconnect(i int) {
	if c := w.detach(i); c != nil {
		c.Close()
	}
}

// caller is one first call with its retries.
type caller struct {
	class    int
	began    time.Time
	attempts int
	key      string
	dest     int
	home     int // gatekeeper of the first attempt
}

// setupAttempt is one set-up attempt of a caller.
type setupAttempt struct {
	*caller
	over        *time.Timer // fires when the caller gives up the attempt
	established bool
	gatekeeper  int      // index of the gatekeeper, -1 while none was available
	conn        net.Conn // connection on which it was sent
}

// placeCalls places first calls at the offered rate for the length of the run, starts the actions at their times, and then
// waits for open attempts.
func (w *workload) placeCalls(ctx context.Context, servers int, actions []scheduledAction) {
	rng := rand.New(rand.NewPCG(w.Seed, 2))
	for _, h := range actions {
		defer time.AfterFunc(h.at, h.run).Stop()
	}
	end := time.After(w.Length)
	for at := w.began; ; {
		rate := w.Load * work.Capacity() * float64(servers)
		if w.Burst > 0 && w.inSlowSpan(at) {
			rate *= w.Burst
		}
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-end:
			w.settle(ctx)
			return
		case <-time.After(time.Until(at)):
		}
		draw, classIndex := rng.Float64(), 0
		for classIndex < len(classes)-1 && draw >= classes[classIndex].part {
			draw -= classes[classIndex].part
			classIndex++
		}
		c := &caller{class: classIndex, began: time.Now(), key: strconv.FormatUint(rng.Uint64(), 16), dest: rng.IntN(servers), home: rng.IntN(len(w.conns))}
		if w.firstTarget != nil {
			c.home, c.dest = w.firstTarget(rng)
		}
		if w.key != nil {
			c.key = cmp.Or(w.key(rng), c.key)
		}
		w.mu.Lock()
		w.outcome.First++
		w.offered[classes[classIndex].name] += classes[classIndex].worth
		if w.inSlowSpan(c.began) {
			w.slowSpanWorth[0] += classes[classIndex].worth
		}
		w.mu.Unlock()
		w.dial(c, c.home)
	}
}

// settle waits for open attempts to end, at most twice the time of one attempt: the last retries have ended by then.
func (w *workload) settle(ctx context.Context) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(2 * attemptTimeout); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		w.mu.Lock()
		open := w.pendingRetries
		for _, attempt := range w.calls {
			if !attempt.established {
				open++
			}
		}
		w.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

// inSlowSpan reports whether a time is in the span during which the servers are slow.
func (w *workload) inSlowSpan(at time.Time) bool {
	since := at.Sub(w.began)
	return since >= w.SlowFrom && since < w.SlowFrom+w.SlowFor
}

// dial makes one attempt at a gatekeeper, or at the next one that is available.
func (w *workload) dial(c *caller, gatekeeper int) {
	w.mu.Lock()
	w.lastID++
	id := fmt.Sprintf("%016x", w.lastID)
	attempt := &setupAttempt{caller: c, gatekeeper: -1}
	w.calls[id] = attempt
	w.outcome.Attempts++
	c.attempts++
	attempt.over = time.AfterFunc(attemptTimeout+50*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.calls[id] == attempt && !attempt.established {
			w.outcome.Unanswered++
			delete(w.calls, id)
			w.observe(Observation{Kind: Unanswered, Call: id, Gatekeeper: attempt.gatekeeper})
			w.expired[id] = attempt.gatekeeper
			w.scheduleRetry(c, 0)
		}
	})
	w.mu.Unlock()
	m := jsonl.Message{Type: "open", ID: id, Text: "offer\r\n", Attrs: map[string]string{"class": classes[c.class].name,
		"left": strconv.FormatInt(attemptTimeout.Milliseconds(), 10), "key": c.key, "extras": fmt.Sprintf("dest:%d;width:1", c.dest)}}
	for i := range w.conns { // the first gatekeeper that is available
		candidate := (gatekeeper + i) % len(w.conns)
		target := w.conns[candidate]
		target.mu.Lock()
		if conn := target.conn; target.available() {
			w.mu.Lock()
			attempt.gatekeeper, attempt.conn = candidate, conn
			w.observe(Observation{Kind: Tried, Call: id, Gatekeeper: candidate, Class: classes[c.class].name, Span: attemptTimeout})
			w.mu.Unlock()
			target.mu.Unlock()
			target.write(conn, m.Append(nil))
			w.mayGiveUp(id, attempt, target)
			return
		}
		target.mu.Unlock()
	}
	w.mu.Lock()
	w.observe(Observation{Kind: Unsent, Call: id, Gatekeeper: -1})
	w.mu.Unlock()
}

// mayGiveUp cancels a share of the attempts a moment after they were sent, if they are unanswered by then.
func (w *workload) mayGiveUp(id string, attempt *setupAttempt, target *gatekeeperConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.giveUpRand == nil || w.giveUpRand.Float64() >= w.giveUpShare {
		return
	}
	time.AfterFunc(time.Duration(w.giveUpRand.Int64N(int64(maxGiveUpDelay))), func() {
		w.mu.Lock()
		waiting := w.calls[id] == attempt && !attempt.established
		if waiting {
			attempt.over.Stop()
			delete(w.calls, id)
			w.observe(Observation{Kind: GaveUp, Call: id, Gatekeeper: attempt.gatekeeper})
		}
		w.mu.Unlock()
		if waiting {
			m := jsonl.Message{Type: "close", ID: id, Code: 16}
			target.write(attempt.conn, m.Append(nil))
		}
	})
}

// scheduleRetry retries after a delay, unless the caller has used up its retries or its time. The caller must hold the lock.
func (w *workload) scheduleRetry(c *caller, wait time.Duration) {
	if wait <= 0 {
		wait = 500 * time.Millisecond
	}
	if c.attempts > maxRetries || time.Since(c.began)+wait > callerTimeout-attemptTimeout || time.Since(w.began)+wait > w.Length {
		return
	}
	w.pendingRetries++
	time.AfterFunc(wait, func() {
		gatekeeper := -1
		if w.retryTarget != nil {
			w.mu.Lock()
			gatekeeper = w.retryTarget(w.retryRand)
			w.mu.Unlock()
		}
		if gatekeeper < 0 {
			gatekeeper = (c.home + c.attempts) % len(w.conns)
		}
		w.dial(c, gatekeeper)
		w.mu.Lock()
		w.pendingRetries--
		w.mu.Unlock()
	})
}

// read processes the messages on a connection until it ends. intercept, if not nil, receives each message first and reports
// whether it handled it.
func (w *workload) read(conn net.Conn, intercept func(jsonl.Message) bool) {
	for r := jsonl.NewReader(bufio.NewReaderSize(conn, jsonl.MaxMessage)); ; {
		m, err := r.Next()
		if err != nil {
			return
		}
		if intercept != nil && intercept(m) {
			continue
		}
		if w.handle(m) {
			confirmation := jsonl.Message{Type: "closed", ID: m.ID}
			conn.SetWriteDeadline(time.Now().Add(time.Second))
			conn.Write(confirmation.Append(nil))
		}
	}
}

// handle processes one message of a gatekeeper and reports whether it is a release, which a caller confirms.
func (w *workload) handle(m jsonl.Message) (isRelease bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	isRelease = m.Type == "close" && (w.calls[m.ID] == nil || w.calls[m.ID].established)
	attempt := w.calls[m.ID]
	if attempt == nil {
		w.handleLateAnswer(m)
		if _, over := w.finalAnswers[m.ID]; over && m.Type == "ready" || over && m.Type == "close" && w.finalAnswers[m.ID] != Established {
			w.observe(Observation{Kind: SecondAnswer, Call: m.ID, Gatekeeper: -1, Body: m.Type})
		}
		return isRelease
	}
	switch {
	case m.Type == "ready" && attempt.established:
		w.recordFinal(attempt, m.ID, Established, m.Text)
	case m.Type == "ready":
		attempt.over.Stop()
		w.recordFinal(attempt, m.ID, Established, m.Text)
		attempt.established = true
		took := time.Since(attempt.began)
		w.delays.RecordValue(took.Milliseconds())
		class := classes[attempt.class]
		worth := class.worth
		if took > class.aim {
			worth *= lateWorth
		}
		w.served[class.name] += worth
		if w.inSlowSpan(attempt.began) {
			w.slowSpanWorth[1] += worth
		}
	case m.Type == "close":
		delete(w.calls, m.ID)
		attempt.over.Stop()
		if attempt.established {
			w.observe(Observation{Kind: Ended, Call: m.ID, Gatekeeper: attempt.gatekeeper})
			return isRelease
		}
		if m.Code == 34 {
			w.outcome.Refused++
			w.recordFinal(attempt, m.ID, Refused, "")
		} else {
			w.outcome.Failed++
			w.recordFinal(attempt, m.ID, Failed, "")
		}
		wait, _ := strconv.Atoi(m.Attrs["wait"])
		w.scheduleRetry(attempt.caller, time.Duration(wait)*time.Millisecond)
	}
	return isRelease
}

// handleLateAnswer reports the first answer to an attempt that the caller had already given up. The caller must hold the lock.
func (w *workload) handleLateAnswer(m jsonl.Message) {
	gatekeeper, expired := w.expired[m.ID]
	if !expired || m.Type != "ready" && m.Type != "close" {
		return
	}
	delete(w.expired, m.ID)
	w.observe(Observation{Kind: LateAnswer, Call: m.ID, Gatekeeper: gatekeeper, Body: m.Type})
}

// result completes the outcome with the counts of the servers and returns it.
func (w *workload) result(servers []*Server) *Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	o, servedWorth := w.outcome, 0.0
	for _, c := range classes {
		o.Offered += w.offered[c.name]
		servedWorth += w.served[c.name]
		o.ServedByClass[c.name] = w.served[c.name] / max(w.offered[c.name], 1)
	}
	ids := map[string]bool{}
	for _, s := range servers {
		s.count(o, ids)
	}
	o.SetupsPerAttempt = float64(o.Setups) / max(float64(len(ids)), 1)
	o.ServedShare = servedWorth / max(o.Offered, 1)
	o.SetupsPerCall = float64(o.Setups) / max(float64(o.First), 1)
	o.ServedInSlowSpan = w.slowSpanWorth[1] / max(w.slowSpanWorth[0], 1)
	o.P50, o.P99 = float64(w.delays.ValueAtQuantile(50))/1000, float64(w.delays.ValueAtQuantile(99))/1000
	return o
}
