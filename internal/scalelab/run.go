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
	inForceLimit      = 17 * time.Second // time limit for a change to be in force after its commit
	startTimeout      = 3 * time.Minute  // time limit for all gatekeepers to have settings
	meetTimeout       = time.Minute      // time limit for all gatekeepers to consider all members up
	settleTime        = 2 * time.Second  // time between the start and the measured time
	countersTimeout   = 90 * time.Second // time limit for the counters of all hollow processes
	sampleInterval    = time.Second
	hollowStopTimeout = 20 * time.Second
	maxMemoryPart     = 0.5 // most of the machine's memory that a run may use
	markStart         = 1   // mark of the counters at the start of the measured time
	markEnd           = 2   // mark of the counters at the end of the measured time
	progressInterval  = 5 * time.Second
)

// errMemoryLimit stops a run that uses more than maxMemoryPart of the machine's memory.
var errMemoryLimit = errors.New("the processes of the run use over half of the machine's memory")

// laboratory is the state of one run. Times are relative to its start.
type laboratory struct {
	options      *Options
	plan         plan
	runStart     time.Time
	plane        *controlPlane
	hollows      []*hollowProcess
	eventLog     *eventLog
	changeWriter *changeWriter
	rng          *rand.Rand // of the fault script
	fail         context.CancelCauseFunc

	measured       struct{ from, to time.Duration }
	recordingEnd   time.Duration // end of the recording
	startDuration  time.Duration // time until all gatekeepers had settings or considered all members up; negative: not reached
	machineMemory  int64
	controlSamples []controlSample
	runtimeSamples []runtimeSample
	faults         faultState
}

// controlSample is the usage of one control machine at one time.
type controlSample struct {
	machine int
	at      time.Duration
	usage   child.Usage
}

// Run executes one run and returns its report. It stops all its processes before it returns. If ctx ends early, the report is
// marked as stopped.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if err := checkDescriptors(&o); err != nil {
		return nil, err
	}
	machineMemory, err := child.MachineMemory()
	if err != nil {
		return nil, err
	}
	outer := ctx
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	l := &laboratory{options: &o, plan: newPlan(&o), runStart: time.Now(), eventLog: newEventLog(), fail: fail, machineMemory: machineMemory,
		rng: rand.New(rand.NewPCG(o.Seed, 1))}
	l.faults.cut = map[string]bool{}
	defer l.stop()
	err = l.runPhases(ctx)
	if cause := context.Cause(ctx); cause != nil && outer.Err() == nil {
		err = cause
	}
	if err != nil && outer.Err() == nil {
		return nil, err
	}
	l.recordingEnd = time.Since(l.runStart)
	problems := l.findProblems()
	l.stop()
	return l.report(outer.Err() != nil, problems), nil
}

// checkDescriptors returns an error if the limit of file descriptors is too low for a hollow process.
func checkDescriptors(o *Options) error {
	allowed, err := child.Descriptors()
	if err != nil {
		return err
	}
	if needed := neededDescriptors(o); needed > allowed {
		return fmt.Errorf("each hollow process needs up to %d descriptors, but the limit is %d: use more --processes or a higher limit (ulimit -n)", needed, allowed)
	}
	return nil
}

// runPhases executes the phases of the run: start, measured time and final change.
func (l *laboratory) runPhases(ctx context.Context) error {
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
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	if err := l.collectCounters(ctx, markStart); err != nil {
		return err
	}
	l.measured.from = time.Since(l.runStart)
	busy, err := child.MachineCPUTime()
	if err != nil {
		return err
	}
	if err := l.measure(ctx); err != nil {
		return err
	}
	if err := l.collectCounters(ctx, markEnd); err != nil {
		return err
	}
	l.measured.to = time.Since(l.runStart)
	after, err := child.MachineCPUTime()
	if err != nil {
		return err
	}
	l.faults.machineBusy = after - busy
	return l.writeFinalChange(ctx)
}

// openControl starts the control plane and writes the first change.
func (l *laboratory) openControl(ctx context.Context) (err error) {
	o := l.options
	o.progress(0, fmt.Sprintf("starting %d control machines", o.Control))
	if l.plane, err = newControlPlane(o, l.plan.machines); err != nil {
		return err
	}
	if err := l.plane.startAll(ctx); err != nil {
		return err
	}
	l.changeWriter = &changeWriter{options: o, plane: l.plane, runStart: l.runStart, cutOff: l.faults.isCut, rng: rand.New(rand.NewPCG(o.Seed, 2))}
	_, err = l.changeWriter.write(ctx, false)
	return err
}

// openHollows starts the hollow processes, which in turn start their gatekeepers.
func (l *laboratory) openHollows() error {
	o := l.options
	o.progress(time.Since(l.runStart), fmt.Sprintf("starting %d gatekeepers in %d processes over %v", o.Gatekeepers, o.HollowProcesses, o.startSpread()))
	var machines []*machine
	if l.plane != nil {
		machines = l.plane.machines
	}
	groups, err := l.groups()
	if err != nil {
		return err
	}
	for i := range o.HollowProcesses {
		c := hollowConfig(o, l.plan, machines, l.runStart, i)
		c.Groups = groups
		h, err := startHollow(o, i, c, l.eventLog)
		if err != nil {
			return err
		}
		l.hollows = append(l.hollows, h)
	}
	return nil
}

// gossipSeeds is the number of gatekeepers of a gossip group with a fixed address that the others join.
const gossipSeeds = 3

// groups returns the gossip groups, and assigns fixed addresses to the first gatekeepers of each.
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

// awaitStart waits until every gatekeeper has settings in force. Without a control plane it waits until every gatekeeper
// considers all members of its group up, at most meetTimeout after the last start.
func (l *laboratory) awaitStart(ctx context.Context) error {
	start := time.Since(l.runStart)
	limit := startTimeout
	if l.plane == nil {
		limit = l.options.startSpread() + meetTimeout
	}
	var lastProgress time.Duration
	for {
		now := time.Since(l.runStart)
		haveSettings, fewestUp, mostMissing := l.haveSettings()
		if now-lastProgress >= progressInterval {
			lastProgress = now
			l.options.progress(now, fmt.Sprintf("%d of %d gatekeepers have settings, at least %d members up at each", haveSettings, l.options.Gatekeepers, fewestUp))
		}
		switch {
		case l.plane != nil && haveSettings == l.options.Gatekeepers, l.plane == nil && mostMissing == 0:
			l.startDuration = now - start
			return nil
		case now-start > limit && l.plane == nil:
			l.startDuration = -time.Second
			return nil
		case now-start > limit:
			return fmt.Errorf("%d of %d gatekeepers have settings after %v", haveSettings, l.options.Gatekeepers, limit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.eventLog.changed:
		case <-time.After(time.Second):
		}
		if err := l.checkProcesses(); err != nil {
			return err
		}
	}
}

// haveSettings returns the number of gatekeepers with settings in force, the fewest members that a gatekeeper considers up,
// and the most members of its group that a gatekeeper does not consider up. The last two are -1 until every process has
// reported.
func (l *laboratory) haveSettings() (haveSettings, fewestUp, mostMissing int) {
	l.eventLog.mu.Lock()
	defer l.eventLog.mu.Unlock()
	fewestUp = -1
	for _, p := range l.eventLog.latestFigures {
		if fewestUp < 0 || p.FewestUp < fewestUp {
			fewestUp = p.FewestUp
		}
		mostMissing = max(mostMissing, p.MostMissing)
	}
	if len(l.eventLog.latestFigures) < l.options.HollowProcesses {
		fewestUp, mostMissing = -1, -1
	}
	return len(l.eventLog.inForce), fewestUp, mostMissing
}

// checkProcesses returns an error if a hollow process has exited or has sent an invalid event.
func (l *laboratory) checkProcesses() error {
	for i, h := range l.hollows {
		if h.process.Exited() {
			return fmt.Errorf("hollow%d exited unexpectedly (%v): see its log", i+1, h.process.ExitState())
		}
	}
	l.eventLog.mu.Lock()
	defer l.eventLog.mu.Unlock()
	if l.eventLog.parseError != "" {
		return errors.New(l.eventLog.parseError)
	}
	return nil
}

// collectCounters requests the counters of every hollow process and waits for them.
func (l *laboratory) collectCounters(ctx context.Context, mark int) error {
	for _, h := range l.hollows {
		if err := h.send(hollow.Command{Operation: hollow.Count, Mark: mark}); err != nil {
			return err
		}
	}
	for end := time.Now().Add(countersTimeout); ; {
		l.eventLog.mu.Lock()
		received := len(l.eventLog.counters[mark])
		l.eventLog.mu.Unlock()
		if received == len(l.hollows) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("received counters from only %d of %d hollow processes within %v", received, len(l.hollows), countersTimeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.eventLog.changed:
		case <-time.After(50 * time.Millisecond):
		}
		if err := l.checkProcesses(); err != nil {
			return err
		}
	}
}

// measure executes the measured time: it writes changes and injects the faults.
func (l *laboratory) measure(ctx context.Context) error {
	o := l.options
	until := time.Now().Add(o.Length)
	stop := l.startFaults(ctx)
	defer stop()
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	written := make(chan error, 1)
	go func() {
		if l.changeWriter == nil {
			written <- nil
			return
		}
		written <- l.changeWriter.run(ctx, until)
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
			l.reportProgress()
			if err := l.checkProcesses(); err != nil {
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

// reportProgress reports the progress of the measured time.
func (l *laboratory) reportProgress() {
	at := time.Since(l.runStart)
	if l.changeWriter == nil {
		_, fewestUp, _ := l.haveSettings()
		l.options.progress(at, fmt.Sprintf("at least %d of %d members up at each gatekeeper", fewestUp, l.options.Gatekeepers))
		return
	}
	changes, _ := l.changeWriter.all()
	last := changes[len(changes)-1]
	behind := l.eventLog.behind(l.plan.gatekeepers, last.Revision, func(hollow.Gatekeeper) bool { return false })
	l.options.progress(at, fmt.Sprintf("%d changes, %d gatekeepers behind the last", len(changes), behind))
}

// writeFinalChange writes a last change that is not refusable, and waits until all gatekeepers have it or the time limit has
// passed.
func (l *laboratory) writeFinalChange(ctx context.Context) error {
	if l.changeWriter == nil {
		return nil
	}
	l.changeWriter.setRefusable(false)
	last, err := l.changeWriter.write(ctx, false)
	if err != nil {
		return err
	}
	for end := time.Now().Add(inForceLimit + time.Second); time.Now().Before(end); {
		if l.eventLog.behind(l.plan.gatekeepers, last.Revision, func(hollow.Gatekeeper) bool { return false }) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.eventLog.changed:
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

// sample records the usage of the control machines every sampleInterval, and stops the run if it uses too much memory.
func (l *laboratory) sample(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		at, resident := time.Since(l.runStart), int64(0)
		if l.plane != nil {
			for i, m := range l.plane.machines {
				if u, ok := m.usage(); ok {
					l.eventLog.mu.Lock()
					l.controlSamples = append(l.controlSamples, controlSample{i, at, u})
					l.eventLog.mu.Unlock()
					resident += u.Resident
				}
			}
		}
		l.eventLog.mu.Lock()
		for _, p := range l.eventLog.latestFigures {
			resident += p.Resident
		}
		l.faults.resident = max(l.faults.resident, resident)
		l.eventLog.mu.Unlock()
		if float64(resident) > maxMemoryPart*float64(l.machineMemory) {
			l.fail(errMemoryLimit)
			return
		}
	}
}

// findProblems lists processes that exited unexpectedly, and gatekeepers that consider more members up than their group has.
func (l *laboratory) findProblems() (problems []string) {
	if l.plane != nil {
		for _, m := range l.plane.machines {
			if m.crashed() {
				problems = append(problems, fmt.Sprintf("%s exited unexpectedly: %v", m.Name, m.process.ExitState()))
			}
		}
	}
	l.eventLog.mu.Lock()
	for _, p := range l.eventLog.latestFigures {
		if p.MostUnexpected > 0 {
			problems = append(problems, fmt.Sprintf("a gatekeeper considers %d members up that are not in its group", p.MostUnexpected))
		}
	}
	l.eventLog.mu.Unlock()
	for i, h := range l.hollows {
		if h.process.Exited() {
			problems = append(problems, fmt.Sprintf("hollow%d exited unexpectedly: %v", i+1, h.process.ExitState()))
		}
	}
	return problems
}

// stop stops all processes of the run. It may be called more than once.
func (l *laboratory) stop() {
	hollows := l.hollows
	l.hollows = nil
	done := make(chan struct{})
	for _, h := range hollows {
		go func() {
			h.stop(hollowStopTimeout)
			done <- struct{}{}
		}()
	}
	for range hollows {
		<-done
	}
	if l.plane != nil {
		l.plane.stop()
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// coreCount returns the number of processor cores of the machine.
func coreCount() int { return runtime.NumCPU() }

// judgeLog converts the recorded events into the log of the judge.
func (l *laboratory) judgeLog(changes []judge.Change) judge.Log {
	l.eventLog.mu.Lock()
	defer l.eventLog.mu.Unlock()
	log := judge.Log{Refusing: map[string]bool{}, Sections: 2, Changes: changes, Applied: l.eventLog.applied, Refusals: l.eventLog.refusals,
		End: l.recordingEnd, TimeLimit: inForceLimit}
	for _, g := range l.plan.gatekeepers {
		log.Gatekeepers = append(log.Gatekeepers, g.Name)
		if g.Refuses {
			log.Refusing[g.Name] = true
		}
		log.Outages = append(log.Outages, l.eventLog.outages[g.Name]...)
		for _, cut := range l.faults.cuts {
			if cut.region == g.Region {
				log.Outages = append(log.Outages, judge.Outage{Gatekeeper: g.Name, From: cut.from, To: cut.to})
			}
		}
	}
	return log
}
