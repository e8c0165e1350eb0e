// Package counting counts what is seen of calls, from any thread: fronts and the core say what they see, and readers ask for
// rates. Counts lie in shards, each under its own lock; a thread keeps to one shard while nobody else holds it, so threads
// do not wait for each other and their caches keep what they write. Nothing goes through the core's actor, and saying
// something allocates nothing.
//
// Rates decay by forward decay (Cormode, Shkapenyuk, Srivastava and Xu, 2009): an event at t weighs exp(a(t-L)) from a landmark
// L on, and a rate at t is the sum of weights times a exp(-a(t-L)). Nothing is swept as time goes by; a shard moves its own
// landmark about each 20 minutes, when its next event comes, under its own lock alone.
package counting

import (
	"math"
	"math/rand/v2"
	"runtime"
	"sync"

	"beammux/control"
	"beammux/control/heavy"
)

// Kind is what was seen.
type Kind uint8

// What is counted. Arrived and Refused, Failed, Established are of calls; the rest are of attempts at a server.
const (
	Arrived Kind = iota
	Established
	Refused
	Failed
	Sent
	Answered
	TimedOut
	Errored // the server failed it, or its connection was cut
	Full
	Busy    // a server said that all lines of the number are busy
	Overdue // an attempt was out for some time without an answer
	KindCount
)

var whatNames = [KindCount]string{"arrived", "stood", "refused", "failed", "sent", "answered", "timed_out", "errored", "full", "busy", "overdue"}

func (w Kind) String() string {
	if w >= KindCount {
		return "unknown"
	}
	return whatNames[w]
}

// Event is one thing that was seen. Fields that do not concern it are zero; Class and Tenant are -1 for those that the
// settings do not name.
type Event struct {
	Kind   Kind
	Class  int
	Tenant int
	Number string // counted on Arrived
	Server uint32 // 0: none
}

// Options of counters.
type Options struct {
	Classes, Tenants int            // of the settings
	Numbers          int            // most called numbers that each shard holds; 0: NumbersHeld
	Shards           int            // 0: twice the threads that run at once
	DecayTime        control.Micros // time in which a rate follows a change to 1 - 1/e; 0: Memory
}

// Figures where the options do not say.
const (
	TrackedNumbers = 256
	DecayTime      = control.Micros(2e6)
	mostServers    = 4096 // of more, the rest count as server 0
	mostExp        = 600  // exponent at which a landmark moves: float64 reaches 709
)

// Counters count. Any goroutine may use them.
type Counters struct {
	o      Options
	decay  float64 // a, per microsecond
	shards []*shard
	tokens sync.Pool
}

type shard struct {
	mu       sync.Mutex
	landmark control.Micros
	at       control.Micros // of weight
	weight   float64
	classes  [][KindCount]float64 // the last one is for those that are not named
	tenants  [][KindCount]float64
	servers  map[uint32]int
	byServer [][KindCount]float64
	numbers  *heavy.Summary
	_        [64]byte // the next shard's lock is on a line of its own
}

// token remembers which shard a thread keeps to. The pool keeps one for each thread, and may lose it: it is no state.
type token struct{ shard uint32 }

// New makes counters.
func New(o Options) *Counters {
	if o.Shards <= 0 {
		o.Shards = 2 * runtime.GOMAXPROCS(0)
	}
	if o.Numbers <= 0 {
		o.Numbers = TrackedNumbers
	}
	if o.DecayTime <= 0 {
		o.DecayTime = DecayTime
	}
	c := &Counters{o: o, decay: 1 / float64(o.DecayTime)}
	for range o.Shards {
		c.shards = append(c.shards, &shard{landmark: math.MinInt64, classes: make([][KindCount]float64, o.Classes+1),
			tenants: make([][KindCount]float64, o.Tenants+1), servers: map[uint32]int{}, numbers: heavy.New(o.Numbers)})
	}
	c.tokens.New = func() any { return &token{rand.Uint32N(uint32(o.Shards))} }
	return c
}

// Observe counts one thing that was seen at a time. Times of one process may come a little out of order.
func (c *Counters) Observe(now control.Micros, seen Event) {
	t := c.tokens.Get().(*token)
	s := c.shards[t.shard]
	if !s.mu.TryLock() { // another thread has it: move on
		t.shard = rand.Uint32N(uint32(len(c.shards)))
		s = c.shards[t.shard]
		s.mu.Lock()
	}
	c.count(s, now, &seen)
	s.mu.Unlock()
	c.tokens.Put(t)
}

func (c *Counters) count(s *shard, now control.Micros, seen *Event) {
	if s.at != now || s.weight == 0 {
		c.weigh(s, now)
	}
	w := s.weight
	place(s.classes, seen.Class)[seen.Kind] += w
	place(s.tenants, seen.Tenant)[seen.Kind] += w
	if seen.Server != 0 {
		i, ok := s.servers[seen.Server]
		if !ok {
			i = s.server(seen.Server)
		}
		s.byServer[i][seen.Kind] += w
	}
	if seen.Kind == Arrived && seen.Number != "" {
		s.numbers.Add(seen.Number, w)
	}
}

func place(all [][KindCount]float64, i int) *[KindCount]float64 {
	if i < 0 || i >= len(all)-1 {
		i = len(all) - 1
	}
	return &all[i]
}

// server makes room for a server: this alone allocates, once for each.
func (s *shard) server(id uint32) int {
	if len(s.servers) >= mostServers {
		if i, ok := s.servers[0]; ok {
			return i
		}
		id = 0
	}
	s.byServer = append(s.byServer, [KindCount]float64{})
	s.servers[id] = len(s.byServer) - 1
	return s.servers[id]
}

// weigh works out what an event of a time weighs, and moves the landmark where weights grow too large.
func (c *Counters) weigh(s *shard, now control.Micros) {
	if s.landmark == math.MinInt64 {
		s.landmark = now
	}
	e := c.decay * float64(now-s.landmark)
	if e > mostExp {
		factor := math.Exp(-e)
		for _, all := range [][][KindCount]float64{s.classes, s.tenants, s.byServer} {
			for i := range all {
				for k := range all[i] {
					all[i][k] *= factor
				}
			}
		}
		if factor > 0 {
			s.numbers.Scale(factor)
		} else { // longer silent than a float64 can tell
			s.numbers = heavy.New(c.o.Numbers)
		}
		s.landmark, e = now, 0
	}
	s.at, s.weight = now, math.Exp(e)
}

// Counts are rates of one class, tenant or server, a second, by What.
type Counts [KindCount]float64

// Rates are what was counted, as rates a second at a time. The last of Classes and Tenants are those that are not named.
type Rates struct {
	Classes, Tenants []Counts
	Servers          map[uint32]Counts
}

// perS is the factor from a shard's sums to rates a second at a time.
func (c *Counters) perS(s *shard, now control.Micros) float64 {
	return 1e6 * c.decay * math.Exp(-c.decay*float64(now-s.landmark))
}

// Rates adds the shards up, one lock at a time.
func (c *Counters) Rates(now control.Micros) Rates {
	r := Rates{Classes: make([]Counts, c.o.Classes+1), Tenants: make([]Counts, c.o.Tenants+1), Servers: map[uint32]Counts{}}
	add := func(to *Counts, from *[KindCount]float64, f float64) {
		for k := range from {
			to[k] += from[k] * f
		}
	}
	for _, s := range c.shards {
		s.mu.Lock()
		if s.landmark != math.MinInt64 {
			f := c.perS(s, now)
			for i := range s.classes {
				add(&r.Classes[i], &s.classes[i], f)
			}
			for i := range s.tenants {
				add(&r.Tenants[i], &s.tenants[i], f)
			}
			for id, i := range s.servers {
				v := r.Servers[id]
				add(&v, &s.byServer[i], f)
				r.Servers[id] = v
			}
		}
		s.mu.Unlock()
	}
	return r
}

// Numbers gives the most called numbers with their rates a second; the error is the most that a rate may be too high.
func (c *Counters) Numbers(now control.Micros, most int) []heavy.Counter {
	var parts []*heavy.Summary
	for _, s := range c.shards {
		s.mu.Lock()
		if s.landmark != math.MinInt64 && s.numbers.Total() > 0 {
			parts = append(parts, s.numbers.Scaled(c.perS(s, now)))
		}
		s.mu.Unlock()
	}
	return heavy.Merge(most, parts...)
}
