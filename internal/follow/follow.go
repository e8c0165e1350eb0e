// Package follow keeps a gatekeeper's settings in sync with the control machines. It maintains a watch session with one control
// machine (control/session decides which), collects the settings records of the gatekeeper's scopes (control/scope decides
// which ones apply), puts each change in force atomically, and reports the result to the control machine. Settings in force
// stay in force while no control machine is reachable and, with Options.Dir, after a restart. Revisions never decrease.
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

// Options configure a follower.
type Options struct {
	Self     scope.Target      // the gatekeeper whose settings are followed
	Replicas []session.Replica // the control machines, in any order
	// Dir is the directory in which the last good candidate is saved for a restart; "" disables saving.
	Dir string
	// Dial opens connections to control machines; nil means a net.Dialer.
	Dial store.Dial
	// Apply validates a candidate and puts all of it in force, or returns an error and changes nothing. It is called from Open
	// for the candidate saved in Dir, later from one goroutine of the follower, and never concurrently.
	Apply  func(Candidate) error
	Log    logrus.FieldLogger
	Seed   uint64 // seeds the jitter, together with the gatekeeper's name; 0 means a random seed
	Timing session.Timing
}

// Candidate holds the settings of a gatekeeper at a revision of the store.
type Candidate struct {
	Revision uint64 `json:"revision"`
	// Sections holds the record of each section. For a missing section, the gatekeeper's own file applies.
	Sections map[string]scope.Record `json:"sections"`
}

// Follower follows the settings of one gatekeeper.
type Follower struct {
	options   Options
	log       logrus.FieldLogger
	watch     watchFunc
	disk      *disk // nil: nothing is saved
	startTime time.Time
	cancel    context.CancelFunc
	work      sync.WaitGroup

	// Used only by the goroutine that runs the session machine.
	machine  *session.Machine
	settings *settings
	open     map[uint64]*watchSession // open sessions, by ID
	messages chan sessionMessage
	fault    string // reason why the last session ended
	advice   string

	mu                sync.Mutex
	status            Status    // except for its Age
	leaderContactTime time.Time // when a replica in contact with its leader last confirmed the records; zero: never
}

// Open puts the settings saved in Options.Dir in force and starts to follow. It doesn't wait for any control machine. A
// directory that can't be read or written is no error: it is logged and reported in the status. The errors are *OptionsError
// and *scope.NameError.
func Open(o Options) (*Follower, error) { return open(o, store.WatchSession) }

// open is Open with a replaceable watch function.
func open(o Options, watch watchFunc) (*Follower, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	f := &Follower{
		options: o, log: o.Log, watch: watch, startTime: time.Now(),
		open: map[uint64]*watchSession{}, messages: make(chan sessionMessage),
		settings: &settings{self: o.Self, apply: o.Apply, records: map[string]scope.Record{}, sectionList: []Section{}},
	}
	held, seen := f.restore()
	f.machine = session.New(f.now(), session.Options{
		Self: o.Self, Replicas: o.Replicas, Timing: o.Timing, Random: o.random(), HeldRevision: held, HighestRevision: seen,
	})
	f.updateStatus()
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.work.Add(1)
	go f.run(ctx)
	return f, nil
}

// check returns an error if the options are invalid.
func (o *Options) check() error {
	if o.Apply == nil || o.Log == nil {
		return &OptionsError{"Apply and Log must be set"}
	}
	names := map[string]bool{}
	for _, r := range o.Replicas {
		switch {
		case r.Name == "" || r.Address == "":
			return &OptionsError{"a control machine has no name or no address"}
		case names[r.Name]:
			return &OptionsError{"two control machines have the name " + r.Name}
		}
		names[r.Name] = true
	}
	return o.Self.Check()
}

// random returns the source of the jitter.
func (o *Options) random() func() float64 {
	seed := o.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(o.Self.Name))).Float64
}

// now returns the time since the follower was opened.
func (f *Follower) now() control.Micros {
	return control.Micros(time.Since(f.startTime).Microseconds())
}

// Close closes the session and stops following. The settings in force stay in force.
func (f *Follower) Close() {
	f.cancel()
	f.work.Wait()
}
