package scalelab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"time"

	"beammux/internal/scalelab/child"
	"beammux/internal/scalelab/hollow"
	"beammux/internal/scalelab/judge"
)

const (
	within        = 17 * time.Second // a change must be in force so long after its commit
	startWithin   = 3 * time.Minute  // all gatekeepers must have settings
	meetWithin    = time.Minute      // all members must have met
	settle        = 2 * time.Second  // between that and the measured time
	countWithin   = 90 * time.Second // counters must be there
	sampleEvery   = time.Second
	hollowEndsIn  = 20 * time.Second
	mostOfMemory  = 0.5 // of the machine's
	atBegin       = 1   // marks of the counters
	atEnd         = 2
	progressEvery = 5 * time.Second
)

// errMemory ends a run that would take more than its part of the machine's memory.
var errMemory = errors.New("the run's processes hold over half of the machine's memory")

// laboratory is one run.
type laboratory struct {
	options *Options
	plan    plan
	began   time.Time
	plane   *controlPlane
	hollows []*hollowProcess
	record  *record
	writer  *writer
	rng     *rand.Rand // of the script
	fail    context.CancelCauseFunc

	measured struct{ from, to time.Duration }
	ended    time.Duration // nothing was seen after it
	started  time.Duration // all gatekeepers had settings, or had met
	memory   int64
	samples  []controlSample
	runtimes []runtimeSample
	faults   faultState
}

// controlSample is one second of one control machine.
type controlSample struct {
	machine int
	at      time.Duration
	usage   child.Usage
}

// Run plays one run. It ends all its processes, whatever happens. The report of a run that was stopped says so.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if err := checkDescriptors(&o); err != nil {
		return nil, err
	}
	memory, err := child.MachineMemory()
	if err != nil {
		return nil, err
	}
	outer := ctx
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	l := &laboratory{options: &o, plan: lay(&o), began: time.Now(), record: newRecord(), fail: fail, memory: memory,
		rng: rand.New(rand.NewPCG(o.Seed, 1))}
	l.faults.cut = map[string]bool{}
	defer l.end()
	err = l.play(ctx)
	if cause := context.Cause(ctx); cause != nil && outer.Err() == nil {
		err = cause
	}
	if err != nil && outer.Err() == nil {
		return nil, err
	}
	l.ended = time.Since(l.began)
	problems := l.crashes()
	l.end()
	return l.report(outer.Err() != nil, problems), nil
}

func checkDescriptors(o *Options) error {
	allowed, err := child.Descriptors()
	if err != nil {
		return err
	}
	if needed := needDescriptors(o); needed > allowed {
		return fmt.Errorf("each hollow process needs up to %d descriptors, and %d are allowed: more --processes, or a higher limit (ulimit -n)", needed, allowed)
	}
	return nil
}

// play runs all phases.
func (l *laboratory) play(ctx context.Context) error {
	o := l.options
	if o.Control > 0 {
		if err := l.openControl(ctx); err != nil {
			return err
		}
	}
	if err := l.openHollows(); err != nil {
		return err
	}
	go l.sample(ctx)
	if l.plane != nil {
		for i, m := range l.plane.machines {
			go l.sampleRuntime(ctx, i, m)
		}
	}
	if err := l.awaitStart(ctx); err != nil {
		return err
	}
	if err := wait(ctx, settle); err != nil {
		return err
	}
	if err := l.count(ctx, atBegin); err != nil {
		return err
	}
	l.measured.from = time.Since(l.began)
	busy, err := child.MachineBusy()
	if err != nil {
		return err
	}
	if err := l.measure(ctx); err != nil {
		return err
	}
	if err := l.count(ctx, atEnd); err != nil {
		return err
	}
	l.measured.to = time.Since(l.began)
	after, err := child.MachineBusy()
	if err != nil {
		return err
	}
	l.faults.machineBusy = after - busy
	return l.tail(ctx)
}

// openControl starts the control plane and writes the first settings.
func (l *laboratory) openControl(ctx context.Context) (err error) {
	o := l.options
	o.progress(0, fmt.Sprintf("%d control machines start", o.Control))
	if l.plane, err = newControlPlane(o, l.plan.machines); err != nil {
		return err
	}
	if err := l.plane.startAll(ctx); err != nil {
		return err
	}
	l.writer = &writer{options: o, plane: l.plane, began: l.began, cutOff: l.faults.isCut, rng: rand.New(rand.NewPCG(o.Seed, 2))}
	_, err = l.writer.put(ctx, false)
	return err
}

// openHollows starts the hollow processes, which start their gatekeepers.
func (l *laboratory) openHollows() error {
	o := l.options
	o.progress(time.Since(l.began), fmt.Sprintf("%d gatekeepers start in %d processes, over %v", o.Gatekeepers, o.HollowProcesses, o.startOver()))
	var machines []*machine
	if l.plane != nil {
		machines = l.plane.machines
	}
	groups, err := l.groups()
	if err != nil {
		return err
	}
	for i := range o.HollowProcesses {
		c := hollowConfig(o, l.plan, machines, l.began, i)
		c.Groups = groups
		h, err := startHollow(o, i, c, l.record)
		if err != nil {
			return err
		}
		l.hollows = append(l.hollows, h)
	}
	return nil
}

// gossipSeeds is how many gatekeepers of a gossip have a fixed address that the others join.
const gossipSeeds = 3

// groups lays out the gossips, and gives the first gatekeepers of each fixed addresses.
func (l *laboratory) groups() (map[string]hollow.Group, error) {
	groups := map[string]hollow.Group{}
	if !l.options.With.Membership {
		return groups, nil
	}
	var seeds []*hollow.Gatekeeper
	for i := range l.plan.gatekeepers {
		g := &l.plan.gatekeepers[i]
		group := groups[g.Group]
		if group.Members++; group.Members <= gossipSeeds {
			seeds = append(seeds, g)
		}
		groups[g.Group] = group
	}
	ports, err := freePorts(len(seeds), l.options.Seed+uint64(os.Getpid())+1000)
	if err != nil {
		return nil, err
	}
	for i, g := range seeds {
		g.Bind = fmt.Sprintf("127.0.0.1:%d", ports[i])
		group := groups[g.Group]
		group.Seeds = append(group.Seeds, g.Bind)
		groups[g.Group] = group
	}
	return groups, nil
}

// awaitStart returns once every gatekeeper has the first settings; without a control plane, once all have met, or have not
// within meetWithin.
func (l *laboratory) awaitStart(ctx context.Context) error {
	from := time.Since(l.began)
	limit := startWithin
	if l.plane == nil {
		limit = l.options.startOver() + meetWithin
	}
	var said time.Duration
	for {
		now := time.Since(l.began)
		have, met, missing := l.have()
		if now-said >= progressEvery {
			said = now
			l.options.progress(now, fmt.Sprintf("%d of %d have settings, fewest members met %d", have, l.options.Gatekeepers, met))
		}
		switch {
		case l.plane != nil && have == l.options.Gatekeepers, l.plane == nil && missing == 0:
			l.started = now - from
			return nil
		case now-from > limit && l.plane == nil:
			l.started = -time.Second
			return nil
		case now-from > limit:
			return fmt.Errorf("%d of %d gatekeepers have settings after %v", have, l.options.Gatekeepers, limit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.record.changed:
		case <-time.After(time.Second):
		}
		if err := l.alive(); err != nil {
			return err
		}
	}
}

// have counts gatekeepers with settings in force, the fewest members that one has met, and the most of its gossip that one has
// not; -1 for both where not every process has told yet.
func (l *laboratory) have() (have, met, missing int) {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	met = -1
	for _, p := range l.record.pulses {
		if met < 0 || p.Met < met {
			met = p.Met
		}
		missing = max(missing, p.Missing)
	}
	if len(l.record.pulses) < l.options.HollowProcesses {
		met, missing = -1, -1
	}
	return len(l.record.inForce), met, missing
}

// alive tells whether a process ended by itself, or the record holds a fault.
func (l *laboratory) alive() error {
	for i, h := range l.hollows {
		if h.process.Over() {
			return fmt.Errorf("hollow%d ended (%v): see its log", i+1, h.process.State())
		}
	}
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	if l.record.fault != "" {
		return errors.New(l.record.fault)
	}
	return nil
}

// count asks every hollow process for its counters and waits for them.
func (l *laboratory) count(ctx context.Context, mark int) error {
	for _, h := range l.hollows {
		if err := h.tell(hollow.Command{Do: hollow.Count, Mark: mark}); err != nil {
			return err
		}
	}
	for end := time.Now().Add(countWithin); ; {
		l.record.mu.Lock()
		n := len(l.record.counters[mark])
		l.record.mu.Unlock()
		if n == len(l.hollows) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("counters of %d of %d hollow processes after %v", n, len(l.hollows), countWithin)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.record.changed:
		case <-time.After(50 * time.Millisecond):
		}
		if err := l.alive(); err != nil {
			return err
		}
	}
}

// measure is the measured time: changes come, and faults.
func (l *laboratory) measure(ctx context.Context) error {
	o := l.options
	until := time.Now().Add(o.Length)
	stop := l.playFaults(ctx)
	defer stop()
	progress := time.NewTicker(progressEvery)
	defer progress.Stop()
	written := make(chan error, 1)
	go func() {
		if l.writer == nil {
			written <- nil
			return
		}
		written <- l.writer.run(ctx, until)
	}()
	over := time.After(o.Length)
	for done := false; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-written:
			if err != nil {
				return err
			}
			done = true
			written = nil
		case <-progress.C:
			l.tellProgress()
			if err := l.alive(); err != nil {
				return err
			}
		case <-over:
			over = nil
		}
		if done && over == nil {
			return nil
		}
	}
}

func (l *laboratory) tellProgress() {
	at := time.Since(l.began)
	if l.writer == nil {
		_, met, _ := l.have()
		l.options.progress(at, fmt.Sprintf("fewest members met %d of %d", met, l.options.Gatekeepers))
		return
	}
	changes, _ := l.writer.all()
	last := changes[len(changes)-1]
	behind := l.record.behind(l.plan.gatekeepers, last.Revision, func(hollow.Gatekeeper) bool { return false })
	l.options.progress(at, fmt.Sprintf("%d changes, %d gatekeepers behind the last", len(changes), behind))
}

// tail writes one more change that nobody refuses, and waits until all have it or must have had it.
func (l *laboratory) tail(ctx context.Context) error {
	if l.writer == nil {
		return nil
	}
	l.writer.setRefusable(false)
	last, err := l.writer.put(ctx, false)
	if err != nil {
		return err
	}
	for end := time.Now().Add(within + time.Second); time.Now().Before(end); {
		if l.record.behind(l.plan.gatekeepers, last.Revision, func(hollow.Gatekeeper) bool { return false }) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.record.changed:
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

// sample reads what the kernel says of the control machines each second, and sees that the run keeps to its part of the
// memory.
func (l *laboratory) sample(ctx context.Context) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		at, resident := time.Since(l.began), int64(0)
		if l.plane != nil {
			for i, m := range l.plane.machines {
				if u, ok := m.usage(); ok {
					l.record.mu.Lock()
					l.samples = append(l.samples, controlSample{i, at, u})
					l.record.mu.Unlock()
					resident += u.Resident
				}
			}
		}
		l.record.mu.Lock()
		for _, p := range l.record.pulses {
			resident += p.Resident
		}
		l.faults.resident = max(l.faults.resident, resident)
		l.record.mu.Unlock()
		if float64(resident) > mostOfMemory*float64(l.memory) {
			l.fail(errMemory)
			return
		}
	}
}

// crashes lists processes that ended by themselves.
func (l *laboratory) crashes() (problems []string) {
	if l.plane != nil {
		for _, m := range l.plane.machines {
			if m.crashed() {
				problems = append(problems, fmt.Sprintf("%s ended by itself: %v", m.Name, m.process.State()))
			}
		}
	}
	l.record.mu.Lock()
	for _, p := range l.record.pulses {
		if p.Strangers > 0 {
			problems = append(problems, fmt.Sprintf("a gatekeeper met %d members that are not of its gossip", p.Strangers))
		}
	}
	l.record.mu.Unlock()
	for i, h := range l.hollows {
		if h.process.Over() {
			problems = append(problems, fmt.Sprintf("hollow%d ended by itself: %v", i+1, h.process.State()))
		}
	}
	return problems
}

// end ends every process of the run. It may be called again.
func (l *laboratory) end() {
	hollows := l.hollows
	l.hollows = nil
	done := make(chan struct{})
	for _, h := range hollows {
		go func() {
			h.end(hollowEndsIn)
			done <- struct{}{}
		}()
	}
	for range hollows {
		<-done
	}
	if l.plane != nil {
		l.plane.end()
	}
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// cores is how many this machine has.
func cores() int { return runtime.NumCPU() }

// logOf turns what was seen into what the judge reads.
func (l *laboratory) logOf(changes []judge.Change) judge.Log {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	log := judge.Log{Refusing: map[string]bool{}, Sections: 2, Changes: changes, Applied: l.record.applied, Refusals: l.record.refusals,
		End: l.ended, Within: within}
	for _, g := range l.plan.gatekeepers {
		log.Gatekeepers = append(log.Gatekeepers, g.Name)
		if g.Refuses {
			log.Refusing[g.Name] = true
		}
		log.Outages = append(log.Outages, l.record.outages[g.Name]...)
		for _, cut := range l.faults.cuts {
			if cut.region == g.Region {
				log.Outages = append(log.Outages, judge.Outage{Gatekeeper: g.Name, From: cut.from, To: cut.to})
			}
		}
	}
	return log
}
