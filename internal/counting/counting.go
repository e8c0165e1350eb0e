// Package counting keeps decayed rates of events of calls. Fronts and the core record events from any goroutine, and readers
// query rates. The counts are sharded, each shard with its own lock; a thread stays with one shard as long as no other thread
// holds its lock, so that threads do not wait for each other and keep their cache lines. Recording does not involve the
// core's actor and allocates nothing.
//
// Rates use forward decay (Cormode, Shkapenyuk, Srivastava and Xu, 2009): an event at t has the weight exp(a(t-L)) relative to a
// landmark L, and the rate at t is the sum of weights times a exp(-a(t-L)). No periodic sweep is needed; a shard moves its
// landmark about every 20 minutes, on its next event, under its own lock only.
package counting

import (
	"math"
	"math/rand/v2"
	"runtime"
	"sync"

	"beammux/control"
	"beammux/control/heavy"
)

// Kind is a kind of event.
type Kind uint8

// The kinds of events. Arrived, Established, Refused and Failed are events of calls; the others are events of attempts at a
// server.
const (
	Arrived Kind = iota
	Established
	Refused
	Failed
	Sent
	Answered
	TimedOut
	Errored // the server failed the attempt, or its connection was cut
	Full
	Busy      // a server answered that all lines of the number are busy
	Overdue   // the attempt has been in flight for some time without an answer
	KindCount // number of kinds
)

// kindNames are the names of the kinds, as returned by String.
var kindNames = [KindCount]string{"arrived", "stood", "refused", "failed", "sent", "answered", "timed_out", "errored", "full", "busy", "overdue"}

// String returns the name of the kind.
func (k Kind) String() string {
	if k >= KindCount {
		return "unknown"
	}
	return kindNames[k]
}

// Event is one event. Fields that do not apply to it are zero. Class and Tenant are -1 for a class or tenant that the settings
// do not name.
type Event struct {
	Kind   Kind
	Class  int
	Tenant int
	Number string // called number; counted for Arrived
	Server uint32 // 0 if the event is not about a server
}

// Options of counters.
type Options struct {
	Classes, Tenants int            // number of classes and tenants in the settings
	Numbers          int            // number of the most called numbers that each shard keeps; 0: TrackedNumbers
	Shards           int            // 0: twice GOMAXPROCS
	DecayTime        control.Micros // time constant of the decay, in which a rate reaches 1 - 1/e of a change; 0: the constant DecayTime
}

// Defaults of the options, and bounds.
const (
	TrackedNumbers = 256
	DecayTime      = control.Micros(2e6)
	maxServers     = 4096 // servers per shard; further servers are counted as server 0
	maxExponent    = 600  // exponent above which the landmark moves; math.Exp overflows above 709
)

// Counters count events. They are safe for concurrent use.
type Counters struct {
	options Options
	decay   float64 // a, per microsecond
	shards  []*shard
	tokens  sync.Pool
}

// shard is a part of the counters.
type shard struct {
	mu         sync.Mutex
	landmark   control.Micros
	weightTime control.Micros       // time of weight
	weight     float64              // weight of an event at that time
	classes    [][KindCount]float64 // by class; the last one is for classes without a name in the settings
	tenants    [][KindCount]float64 // by tenant; the last one is for tenants without a name in the settings
	servers    map[uint32]int       // index in byServer, by server
	byServer   [][KindCount]float64
	numbers    *heavy.Summary
	_          [64]byte // keeps the next shard's lock on another cache line
}

// token holds the shard that a thread uses. The pool keeps about one token per thread and may drop it; a dropped token is
// replaced by one for a random shard.
type token struct{ shard uint32 }

// New returns counters that have counted no event.
func New(options Options) *Counters {
	if options.Shards <= 0 {
		options.Shards = 2 * runtime.GOMAXPROCS(0)
	}
	if options.Numbers <= 0 {
		options.Numbers = TrackedNumbers
	}
	if options.DecayTime <= 0 {
		options.DecayTime = DecayTime
	}
	c := &Counters{options: options, decay: 1 / float64(options.DecayTime)}
	for range options.Shards {
		c.shards = append(c.shards, &shard{landmark: math.MinInt64, classes: make([][KindCount]float64, options.Classes+1),
			tenants: make([][KindCount]float64, options.Tenants+1), servers: map[uint32]int{}, numbers: heavy.New(options.Numbers)})
	}
	c.tokens.New = func() any { return &token{rand.Uint32N(uint32(options.Shards))} }
	return c
}

// Observe counts one event at the given time. Times may be slightly out of order.
func (c *Counters) Observe(now control.Micros, event Event) {
	t := c.tokens.Get().(*token)
	s := c.shards[t.shard]
	if !s.mu.TryLock() { // another thread holds the lock: switch to another shard
		t.shard = rand.Uint32N(uint32(len(c.shards)))
		s = c.shards[t.shard]
		s.mu.Lock()
	}
	c.count(s, now, &event)
	s.mu.Unlock()
	c.tokens.Put(t)
}

// count adds an event to a shard whose lock is held.
func (c *Counters) count(s *shard, now control.Micros, event *Event) {
	if s.weightTime != now || s.weight == 0 {
		c.updateWeight(s, now)
	}
	w := s.weight
	countsAt(s.classes, event.Class)[event.Kind] += w
	countsAt(s.tenants, event.Tenant)[event.Kind] += w
	if event.Server != 0 {
		i, ok := s.servers[event.Server]
		if !ok {
			i = s.addServer(event.Server)
		}
		s.byServer[i][event.Kind] += w
	}
	if event.Kind == Arrived && event.Number != "" {
		s.numbers.Add(event.Number, w)
	}
}

// countsAt returns the counts at index i, or the last ones if i is out of range.
func countsAt(all [][KindCount]float64, i int) *[KindCount]float64 {
	if i < 0 || i >= len(all)-1 {
		i = len(all) - 1
	}
	return &all[i]
}

// addServer adds a server to the shard and returns its index in byServer. It is the only allocation while counting, once for
// each server.
func (s *shard) addServer(id uint32) int {
	if len(s.servers) >= maxServers {
		if i, ok := s.servers[0]; ok {
			return i
		}
		id = 0
	}
	s.byServer = append(s.byServer, [KindCount]float64{})
	s.servers[id] = len(s.byServer) - 1
	return s.servers[id]
}

// updateWeight sets the weight of an event at the given time, and moves the landmark if the weights grow too large.
func (c *Counters) updateWeight(s *shard, now control.Micros) {
	if s.landmark == math.MinInt64 {
		s.landmark = now
	}
	e := c.decay * float64(now-s.landmark)
	if e > maxExponent {
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
		} else { // the time without events was so long that factor underflows
			s.numbers = heavy.New(c.options.Numbers)
		}
		s.landmark, e = now, 0
	}
	s.weightTime, s.weight = now, math.Exp(e)
}

// Counts are the rates per second of one class, tenant or server, by Kind.
type Counts [KindCount]float64

// Rates are the rates per second at one time. The last elements of Classes and Tenants are for those without a name in the
// settings.
type Rates struct {
	Classes, Tenants []Counts
	Servers          map[uint32]Counts
}

// rateFactor returns the factor that converts a shard's sums to rates per second at the given time.
func (c *Counters) rateFactor(s *shard, now control.Micros) float64 {
	return 1e6 * c.decay * math.Exp(-c.decay*float64(now-s.landmark))
}

// Rates returns the rates at the given time, summed over the shards. It holds one lock at a time.
func (c *Counters) Rates(now control.Micros) Rates {
	r := Rates{Classes: make([]Counts, c.options.Classes+1), Tenants: make([]Counts, c.options.Tenants+1), Servers: map[uint32]Counts{}}
	add := func(to *Counts, from *[KindCount]float64, f float64) {
		for k := range from {
			to[k] += from[k] * f
		}
	}
	for _, s := range c.shards {
		s.mu.Lock()
		if s.landmark != math.MinInt64 {
			f := c.rateFactor(s, now)
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

// Numbers returns the most called numbers, at most as many as given, with their rates per second. Err of a counter is the
// largest amount by which its rate may be too high.
func (c *Counters) Numbers(now control.Micros, limit int) []heavy.Counter {
	var parts []*heavy.Summary
	for _, s := range c.shards {
		s.mu.Lock()
		if s.landmark != math.MinInt64 && s.numbers.Total() > 0 {
			parts = append(parts, s.numbers.Scaled(c.rateFactor(s, now)))
		}
		s.mu.Unlock()
	}
	return heavy.Merge(limit, parts...)
}
