// Package follow keeps a gatekeeper's settings as the control machines have them: it holds a session with one of them
// (control/session decides with which), keeps the settings records of the gatekeeper's scopes (control/scope decides which
// hold), has each change put in force whole or not at all, and reports that upstream. What is in force stays in force
// without any control machine, and with a directory over a restart too. Revisions never go back.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/scope"
	"beammux/control/session"
	"beammux/internal/store"
)

// Options say for whom settings are followed, and from where.
type Options struct {
	Self     scope.Target
	Replicas []session.Replica // the control machines, in any order
	// Dir is where the last good candidate is kept over a restart; "": it isn't kept.
	Dir string
	// Dial makes connections to control machines; nil: those of package net.
	Dial store.Dial
	// Apply checks a candidate and puts it in force whole, or returns an error and changes nothing. It is called from Open
	// for the one kept in Dir, later from one goroutine of the follower, never twice at a time.
	Apply  func(Candidate) error
	Log    logrus.FieldLogger
	Seed   uint64 // of the jitter, together with the gatekeeper's name; 0: a random one
	Timing session.Timing
}

// Candidate is the settings of a gatekeeper at a revision of the store.
type Candidate struct {
	Revision uint64 `json:"revision"`
	// Sections holds the record of each section. For a section that isn't in it the gatekeeper's own file holds.
	Sections map[string]scope.Record `json:"sections"`
}

// Follower follows the settings of one gatekeeper.
type Follower struct {
	options Options
	log     logrus.FieldLogger
	watch   watchFunc
	disk    *disk // nil: nothing is kept
	begun   time.Time
	cancel  context.CancelFunc
	work    sync.WaitGroup

	// Of the goroutine that runs the session machine.
	machine  *session.Machine
	settings *settings
	open     map[uint64]*watched // sessions that run
	arrivals chan arrival
	fault    string // why the last session ended
	advice   string

	mu     sync.Mutex
	status Status    // all but its age
	wordAt time.Time // when a replica with a leader last said that what is held is current; zero: never
}

// Open puts in force what Options.Dir keeps, and begins to follow. It doesn't wait for any control machine, and a directory
// that can't be read or written is logged and told in the status, no error. The errors are *OptionsError and *scope.NameError.
func Open(o Options) (*Follower, error) { return open(o, store.WatchSession) }

func open(o Options, watch watchFunc) (*Follower, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	f := &Follower{
		options: o, log: o.Log, watch: watch, begun: time.Now(),
		open: map[uint64]*watched{}, arrivals: make(chan arrival),
		settings: &settings{self: o.Self, apply: o.Apply, records: map[string]scope.Record{}, listed: []Section{}},
	}
	held, seen := f.restore()
	f.machine = session.New(f.now(), session.Options{
		Self: o.Self, Replicas: o.Replicas, Timing: o.Timing, Random: o.random(), HeldRevision: held, HighestRevision: seen,
	})
	f.publish()
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.work.Add(1)
	go f.run(ctx)
	return f, nil
}

func (o *Options) check() error {
	if o.Apply == nil || o.Log == nil {
		return &OptionsError{"Apply and Log must be set"}
	}
	names := map[string]bool{}
	for _, r := range o.Replicas {
		switch {
		case r.Name == "" || r.Address == "":
			return &OptionsError{"a control machine without a name or an address"}
		case names[r.Name]:
			return &OptionsError{"two control machines of the name " + r.Name}
		}
		names[r.Name] = true
	}
	return o.Self.Check()
}

func (o *Options) random() func() float64 {
	seed := o.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(o.Self.Name))).Float64
}

func (f *Follower) now() control.Micros { return control.Micros(time.Since(f.begun).Microseconds()) }

// Close ends the session. What is in force stays so.
func (f *Follower) Close() {
	f.cancel()
	f.work.Wait()
}
