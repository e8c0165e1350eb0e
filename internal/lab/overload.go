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

// Overload is a day on which all servers slow down while callers offer more than they can do.
type Overload struct {
	Seed                 uint64
	Gatekeepers, Servers int
	Length               time.Duration
	SlowFrom, SlowFor    time.Duration
	Slow                 float64 // times longer that all work takes then
	Load                 float64 // offered, in the servers' capacity
	Burst                float64 // times more calls in the slow span, 0: as many
	Calls                string  // section "calls" of the deploy file; "": none
}

// Outcome is what came of a day. Worth counts in full for a call that stands within its aim of the first try, a quarter
// up to the callers' give-up; a caller's further tries count with its first.
type Outcome struct {
	First            int                `json:"first_calls"`
	Attempts         int                `json:"tries"`  // with the callers' own redials
	Setups           int                `json:"setups"` // that reached servers
	SetupsPerCall    float64            `json:"setups_per_first_call"`
	SetupsPerAttempt float64            `json:"setups_per_try_sent"` // of tries that were not refused before any
	Wasted           int                `json:"wasted"`              // worked on after they had been given up
	TurnedAway       int                `json:"turned_away"`         // by servers
	Hung             int                `json:"setups_on_hanging_servers"`
	FailedByFault    int                `json:"setups_failed_by_ill_servers"`
	Offered          float64            `json:"worth_offered"`
	ServedShare      float64            `json:"worth_served"` // part of it
	ServedByClass    map[string]float64 `json:"served_by_class"`
	ServedInSlowSpan float64            `json:"served_of_calls_in_the_slow_span"`
	P50              float64            `json:"P50"` // set-up delay of calls that stood, from their first try, seconds
	P99              float64            `json:"P99"` // set-up delay of calls that stood, from their first try, seconds
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
	giveUp    = 9 * time.Second
	tryFor    = 3200 * time.Millisecond
	redials   = 3
	lateWorth = 0.25
)

const settings = `{"balancers":%d,"bounds":{"attempts-cap":5,"cancel":true,"dial-timeout-us":500000,"max-retry-after-us":2000000,
"retry-after":true},"classes":[{"aim-us":1500000,"deadline-us":9000000,"late-worth":0.25,"name":"menu-view","repeat":"read_like",
"worth":1},{"aim-us":2000000,"deadline-us":9000000,"late-worth":0.25,"name":"diet-order","repeat":"read_like","worth":3},
{"aim-us":2500000,"deadline-us":9000000,"late-worth":0.25,"name":"tray-count","repeat":"read_like","worth":1}],
"extra":{"here":-1,"release-guard-us":300000,"t1-us":500000},"guarantees":{"fall-multiple":2,"fall-us":1000000,
"start-capacity":0.33,"warm-within-us":15000000},"report":{"fields":["busy","q"]}}`

func fmtSettings(gatekeepers int) string { return fmt.Sprintf(settings, gatekeepers) }

// work is that of the platform's figures, at 20 calls a second for each server.
var work = Work{Setup: 32 * time.Millisecond, Answer: 0.35, Release: 0.2, Refuse: 0.2, Repeat: 0.4, MaxQueueDelay: 3 * time.Second,
	RetransmitInterval: 500 * time.Millisecond}

// Run plays the day in real time.
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
	d := newDay(o)
	for i := range o.Gatekeepers {
		// Each has a policy of its own: a budget is a gatekeeper's.
		own := *deploy
		if o.Calls != "" {
			again, err := config.ParseDeploy("lab", []byte(`{"calls":`+o.Calls+`}`), site)
			if err != nil {
				return nil, err
			}
			own = *again
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
		d.conns = append(d.conns, &callers{})
		if err := d.connect(i, n.Addr()); err != nil {
			return nil, err
		}
		defer d.hangUp(i)
	}
	all := func(factor float64) func() {
		return func() {
			for _, s := range servers {
				s.Slow(factor)
			}
		}
	}
	d.play(ctx, len(servers), []happening{{o.SlowFrom, all(o.Slow)}, {o.SlowFrom + o.SlowFor, all(1)}})
	return d.result(servers), ctx.Err()
}

// day holds the callers' side of a run.
type day struct {
	Overload
	began time.Time
	conns []*callers

	mu      sync.Mutex
	next    int
	waits   int // redials that wait
	calls   map[string]*try
	delays  *hdrhistogram.Histogram
	out     *Outcome
	offered map[string]float64
	served  map[string]float64
	slow    [2]float64 // offered and served of calls that began while servers were slow

	pick    func(*rand.Rand) (home, dest int) // a first call's gatekeeper and first choice; nil: any
	again   func(*rand.Rand) int              // a further try's gatekeeper, -1 for the next; nil: the next
	key     func(*rand.Rand) string           // number of a first call, "" for any; nil: any
	dice    *rand.Rand                        // of again
	seen    func(Observation)                 // nil: nobody
	past    map[string]ObservationKind        // final answers of tries that are over, kept while somebody hears of them
	expired map[string]int                    // tries that had no answer in time, with their gatekeepers, until one comes
}

// tell is called with the lock held.
func (d *day) tell(s Observation) {
	if d.seen != nil {
		s.At = time.Now()
		d.seen(s)
	}
}

// final notes the final answer of a try, and tells whether it is the first. The lock is held.
func (d *day) final(k *try, id string, kind ObservationKind, body string) bool {
	if d.seen == nil {
		return true
	}
	if was, again := d.past[id]; again && (was != Established || kind == Established) {
		d.tell(Observation{Kind: SecondAnswer, Call: id, Gatekeeper: k.at, Body: kind.String()})
		return false
	}
	d.past[id] = kind
	d.tell(Observation{Kind: kind, Call: id, Gatekeeper: k.at, Body: body})
	return true
}

// callers are those of one gatekeeper. They share a connection, nil while the gatekeeper is down.
type callers struct {
	mu     sync.Mutex
	conn   net.Conn
	fit    bool      // the last test passed
	passed time.Time // when one last did
}

// happening is something that is done at a time of the day.
type happening struct {
	at time.Duration
	do func()
}

func newDay(o Overload) *day {
	return &day{Overload: o, began: time.Now(), calls: map[string]*try{}, expired: map[string]int{}, delays: hdrhistogram.New(1, 20000, 3),
		out: &Outcome{ServedByClass: map[string]float64{}}, offered: map[string]float64{}, served: map[string]float64{}}
}

// connect lets the callers of a gatekeeper use a new connection.
func (d *day) connect(i int, addr string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	d.conns[i].mu.Lock()
	d.conns[i].conn, d.conns[i].fit, d.conns[i].passed = c, true, time.Now().Add(time.Hour) // not tested
	d.conns[i].mu.Unlock()
	go d.read(c, nil)
	return nil
}

// leave makes callers use other gatekeepers for new set-ups; what is open goes on. It gives the connection.
func (d *day) leave(i int) net.Conn {
	d.conns[i].mu.Lock()
	defer d.conns[i].mu.Unlock()
	c := d.conns[i].conn
	d.conns[i].conn = nil
	return c
}

func (d *day) hangUp(i int) {
	if c := d.leave(i); c != nil {
		c.Close()
	}
}

// caller is one first call with its redials.
type caller struct {
	class int
	began time.Time
	tries int
	key   string
	dest  int
	home  int // gatekeeper of its first try
}

// try is one set-up of a caller.
type try struct {
	*caller
	over  *time.Timer
	stood bool
	at    int      // gatekeeper, -1 while none was up
	conn  net.Conn // that it went on
}

func (d *day) play(ctx context.Context, servers int, happenings []happening) {
	rng := rand.New(rand.NewPCG(d.Seed, 2))
	for _, h := range happenings {
		defer time.AfterFunc(h.at, h.do).Stop()
	}
	end := time.After(d.Length)
	for at := d.began; ; {
		rate := d.Load * work.Capacity() * float64(servers)
		if d.Burst > 0 && d.inSlow(at) {
			rate *= d.Burst
		}
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-end:
			d.settle(ctx)
			return
		case <-time.After(time.Until(at)):
		}
		x, k := rng.Float64(), 0
		for k < len(classes)-1 && x >= classes[k].part {
			x -= classes[k].part
			k++
		}
		c := &caller{class: k, began: time.Now(), key: strconv.FormatUint(rng.Uint64(), 16), dest: rng.IntN(servers), home: rng.IntN(len(d.conns))}
		if d.pick != nil {
			c.home, c.dest = d.pick(rng)
		}
		if d.key != nil {
			c.key = cmp.Or(d.key(rng), c.key)
		}
		d.mu.Lock()
		d.out.First++
		d.offered[classes[k].name] += classes[k].worth
		if d.inSlow(c.began) {
			d.slow[0] += classes[k].worth
		}
		d.mu.Unlock()
		d.dial(c, c.home)
	}
}

// settle lets what is open end: the last redials are over by twice a try's time.
func (d *day) settle(ctx context.Context) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(2 * tryFor); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		d.mu.Lock()
		open := d.waits
		for _, k := range d.calls {
			if !k.stood {
				open++
			}
		}
		d.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

func (d *day) inSlow(at time.Time) bool {
	since := at.Sub(d.began)
	return since >= d.SlowFrom && since < d.SlowFrom+d.SlowFor
}

// dial makes one try at a gatekeeper.
func (d *day) dial(c *caller, at int) {
	d.mu.Lock()
	d.next++
	id := fmt.Sprintf("%016x", d.next)
	k := &try{caller: c, at: -1}
	d.calls[id] = k
	d.out.Attempts++
	c.tries++
	k.over = time.AfterFunc(tryFor+50*time.Millisecond, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.calls[id] == k && !k.stood {
			d.out.Unanswered++
			delete(d.calls, id)
			d.tell(Observation{Kind: Unanswered, Call: id, Gatekeeper: k.at})
			d.expired[id] = k.at
			d.redial(c, 0)
		}
	})
	d.mu.Unlock()
	m := jsonl.Message{Type: "open", ID: id, Text: "offer\r\n", Attrs: map[string]string{"class": classes[c.class].name,
		"left": strconv.FormatInt(tryFor.Milliseconds(), 10), "key": c.key, "extras": fmt.Sprintf("dest:%d;width:1", c.dest)}}
	for i := range d.conns { // the first that is up
		g := (at + i) % len(d.conns)
		to := d.conns[g]
		to.mu.Lock()
		if conn := to.conn; to.usable() {
			d.mu.Lock()
			k.at, k.conn = g, conn
			d.tell(Observation{Kind: Tried, Call: id, Gatekeeper: g, Class: classes[c.class].name, Span: tryFor})
			d.mu.Unlock()
			to.mu.Unlock()
			to.write(conn, m.Append(nil))
			return
		}
		to.mu.Unlock()
	}
	d.mu.Lock()
	d.tell(Observation{Kind: Unsent, Call: id, Gatekeeper: -1})
	d.mu.Unlock()
}

// redial tries again after a wait, if the caller still does. The lock is held.
func (d *day) redial(c *caller, wait time.Duration) {
	if wait <= 0 {
		wait = 500 * time.Millisecond
	}
	if c.tries > redials || time.Since(c.began)+wait > giveUp-tryFor || time.Since(d.began)+wait > d.Length {
		return
	}
	d.waits++
	time.AfterFunc(wait, func() {
		at := -1
		if d.again != nil {
			d.mu.Lock()
			at = d.again(d.dice)
			d.mu.Unlock()
		}
		if at < 0 {
			at = (c.home + c.tries) % len(d.conns)
		}
		d.dial(c, at)
		d.mu.Lock()
		d.waits--
		d.mu.Unlock()
	})
}

// read hears what comes on a connection until it ends; other, if not nil, is shown each message first and may take it.
func (d *day) read(conn net.Conn, other func(jsonl.Message) bool) {
	for r := jsonl.NewReader(bufio.NewReaderSize(conn, jsonl.MaxMessage)); ; {
		m, err := r.Next()
		if err != nil {
			return
		}
		if other != nil && other(m) {
			continue
		}
		d.heard(m)
	}
}

func (d *day) heard(m jsonl.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.calls[m.ID]
	if k == nil {
		d.heardLate(m)
		if _, over := d.past[m.ID]; over && m.Type == "ready" || over && m.Type == "close" && d.past[m.ID] != Established {
			d.tell(Observation{Kind: SecondAnswer, Call: m.ID, Gatekeeper: -1, Body: m.Type})
		}
		return
	}
	switch {
	case m.Type == "ready" && k.stood:
		d.final(k, m.ID, Established, m.Text)
	case m.Type == "ready":
		k.over.Stop()
		d.final(k, m.ID, Established, m.Text)
		k.stood = true
		took := time.Since(k.began)
		d.delays.RecordValue(took.Milliseconds())
		class := classes[k.class]
		worth := class.worth
		if took > class.aim {
			worth *= lateWorth
		}
		d.served[class.name] += worth
		if d.inSlow(k.began) {
			d.slow[1] += worth
		}
	case m.Type == "close":
		delete(d.calls, m.ID)
		k.over.Stop()
		if k.stood {
			d.tell(Observation{Kind: Ended, Call: m.ID, Gatekeeper: k.at})
			return
		}
		if m.Code == 34 {
			d.out.Refused++
			d.final(k, m.ID, Refused, "")
		} else {
			d.out.Failed++
			d.final(k, m.ID, Failed, "")
		}
		wait, _ := strconv.Atoi(m.Attrs["wait"])
		d.redial(k.caller, time.Duration(wait)*time.Millisecond)
	}
}

// heardLate tells of the first answer to a try whose caller had given up by then. The lock is held.
func (d *day) heardLate(m jsonl.Message) {
	at, expired := d.expired[m.ID]
	if !expired || m.Type != "ready" && m.Type != "close" {
		return
	}
	delete(d.expired, m.ID)
	d.tell(Observation{Kind: LateAnswer, Call: m.ID, Gatekeeper: at, Body: m.Type})
}

func (d *day) result(servers []*Server) *Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	o, got := d.out, 0.0
	for _, c := range classes {
		o.Offered += d.offered[c.name]
		got += d.served[c.name]
		o.ServedByClass[c.name] = d.served[c.name] / max(d.offered[c.name], 1)
	}
	ids := map[string]bool{}
	for _, s := range servers {
		s.count(o, ids)
	}
	o.SetupsPerAttempt = float64(o.Setups) / max(float64(len(ids)), 1)
	o.ServedShare = got / max(o.Offered, 1)
	o.SetupsPerCall = float64(o.Setups) / max(float64(o.First), 1)
	o.ServedInSlowSpan = d.slow[1] / max(d.slow[0], 1)
	o.P50, o.P99 = float64(d.delays.ValueAtQuantile(50))/1000, float64(d.delays.ValueAtQuantile(99))/1000
	return o
}
