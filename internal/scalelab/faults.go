package scalelab

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"beammux/internal/scalelab/hollow"
	"beammux/internal/scalelab/script"
	"beammux/internal/store"
)

// restartDownTime is the time between the stop and the start of a restarted gatekeeper.
const restartDownTime = time.Second

// faultState is the state of fault injection.
type faultState struct {
	mu          sync.Mutex
	cut         map[string]bool
	cuts        []cutPeriod
	injected    []injectedFault
	machineBusy time.Duration
	resident    int64
	problems    []string
}

// cutPeriod is a period in which a region was cut off. to is 0 while it lasts.
type cutPeriod struct {
	region   string
	from, to time.Duration
}

// injectedFault is an injected fault. Times are relative to the start of the run.
type injectedFault struct {
	kind        script.Kind
	from, until time.Duration
	description string
}

// isCut reports whether a region is cut off now.
func (f *faultState) isCut(region string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[region]
}

// addInjected records an injected fault.
func (f *faultState) addInjected(p injectedFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.injected = append(f.injected, p)
}

// addProblem records a problem for the report.
func (f *faultState) addProblem(problem string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.problems = append(f.problems, problem)
}

// startFaults starts the fault script. The returned function waits until all faults are over and must be called.
func (l *laboratory) startFaults(ctx context.Context) (wait func()) {
	var all sync.WaitGroup
	for _, fault := range l.options.Faults {
		rng := rand.New(rand.NewPCG(l.rng.Uint64(), 0)) // seeded in the order of the script, independent of the times of the faults
		all.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(fault.At):
			}
			p := injectedFault{kind: fault.Kind, from: time.Since(l.runStart)}
			l.options.progress(p.from, "fault "+string(fault.Kind))
			description, err := l.injectFault(ctx, fault, rng)
			if err != nil && ctx.Err() == nil {
				l.faults.addProblem(fmt.Sprintf("fault %s: %v", fault.Kind, err))
			}
			p.description, p.until = description, time.Since(l.runStart)
			l.options.progress(p.until, fmt.Sprintf("fault %s ended: %s", fault.Kind, description))
			l.faults.addInjected(p)
		})
	}
	return all.Wait
}

// injectFault injects one fault, waits until it is over, and returns a description of what was affected.
func (l *laboratory) injectFault(ctx context.Context, f script.Fault, rng *rand.Rand) (description string, err error) {
	switch f.Kind {
	case script.KillLeader:
		m, err := l.plane.leader(ctx)
		if err != nil {
			return "", err
		}
		return m.Name, l.killAndRestart(ctx, f.For, m)
	case script.KillZone:
		pair := l.plane.randomZonePair(rng)
		if pair == nil {
			return "", fmt.Errorf("no zone has two running control machines")
		}
		return pair[0].Name + " and " + pair[1].Name, l.killAndRestart(ctx, f.For, pair...)
	case script.CutRegion:
		return l.cutRegion(ctx, f, rng)
	case script.Restart:
		return l.restartGatekeepers(ctx, f, rng)
	case script.Refuse:
		l.changeWriter.setRefusable(true)
		defer l.changeWriter.setRefusable(false)
		return fmt.Sprintf("one gatekeeper of %d refuses one change of %d", gatekeepersPerRefuser, changesPerRefusable), sleep(ctx, f.For)
	case script.StuckWatcher:
		return l.openStuckWatchers(f, rng)
	case script.PauseControl, script.PauseLeader:
		return l.pause(ctx, f, rng)
	case script.LoseRack, script.LoseZone:
		return l.failPlace(ctx, f, rng)
	case script.RemakeControl:
		return l.rebuildControl(ctx, f)
	case script.Latency:
		return fmt.Sprintf("%v each way between regions", f.Delay), sleep(ctx, l.options.Length)
	case script.StartAtOnce:
		return fmt.Sprintf("%d gatekeepers", l.options.Gatekeepers), nil
	}
	return "", fmt.Errorf("unknown kind of fault")
}

// killAndRestart kills machines and starts them again after down.
func (l *laboratory) killAndRestart(ctx context.Context, down time.Duration, machines ...*machine) error {
	for _, m := range machines {
		m.kill()
	}
	if err := sleep(ctx, down); err != nil {
		return err
	}
	for _, m := range machines {
		if err := l.plane.start(m); err != nil {
			return err
		}
	}
	return nil
}

// failPlace fails the control machines and gatekeepers of a rack or of a whole zone, chosen at random, at the same time. All
// are started again together after the fault; the control machines keep their data.
func (l *laboratory) failPlace(ctx context.Context, f script.Fault, rng *rand.Rand) (string, error) {
	machines := l.plane.randomZoneMachines(rng)
	if len(machines) == 0 {
		return "", fmt.Errorf("no zone has a running control machine")
	}
	zone, limit := machines[0].Zone, len(l.plan.gatekeepers)
	if f.Kind == script.LoseRack {
		machines, limit = machines[:1], f.Count
	}
	failed := 0
	for i, g := range l.plan.gatekeepers {
		if g.Zone != zone || failed == limit {
			continue
		}
		failed++
		command := hollow.Command{Operation: hollow.RestartGatekeeper, Name: g.Name, DownTime: f.For}
		if err := l.hollows[i%l.options.HollowProcesses].send(command); err != nil {
			return "", err
		}
	}
	description := fmt.Sprintf("%d gatekeepers and %d control machines of %s", failed, len(machines), zone)
	return description, l.killAndRestart(ctx, f.For, machines...)
}

// rebuildControl kills all control machines and removes their data. It then starts a new group and restores a backup taken
// before the fault, as an operator would. No change is written during that time.
func (l *laboratory) rebuildControl(ctx context.Context, f script.Fault) (string, error) {
	l.changeWriter.writeMu.Lock()
	defer l.changeWriter.writeMu.Unlock()
	leader, err := l.plane.leader(ctx)
	if err != nil {
		return "", err
	}
	backup, err := store.BackupFrom(ctx, leader.Address)
	if err != nil {
		return "", err
	}
	if err := l.plane.killAndWipe(); err != nil {
		return "", err
	}
	if err := sleep(ctx, f.For); err != nil {
		return "", err
	}
	if err := l.plane.startAll(ctx); err != nil {
		return "", err
	}
	done, err := backup.Restore(ctx, l.plane.machines[0].Address, store.RestoreOptions{})
	if err != nil {
		return "", err
	}
	l.changeWriter.addRestamp(done.Revision)
	return fmt.Sprintf("%d records of a backup at revision %d, restored at %d", done.Written, backup.Revision, done.Revision), nil
}

// cutRegion partitions a region, gatekeepers and control machines, from the others for the time of the fault.
func (l *laboratory) cutRegion(ctx context.Context, f script.Fault, rng *rand.Rand) (string, error) {
	region := f.Region
	if region == "" {
		regions := map[string]bool{}
		for _, g := range l.plan.gatekeepers {
			regions[g.Region] = true
		}
		names := slices.Sorted(maps.Keys(regions))
		region = names[rng.IntN(len(names))]
	}
	if err := l.setCut(region, true); err != nil {
		return region, err
	}
	err := sleep(ctx, f.For)
	if e := l.setCut(region, false); err == nil {
		err = e
	}
	return region, err
}

// setCut starts or ends the partition of a region, and records the period.
func (l *laboratory) setCut(region string, cut bool) error {
	l.faults.mu.Lock()
	l.faults.cut[region] = cut
	if now := time.Since(l.runStart); cut {
		l.faults.cuts = append(l.faults.cuts, cutPeriod{region: region, from: now})
	}
	l.faults.mu.Unlock()
	action := hollow.HealRegion
	if cut {
		action = hollow.CutRegion
	}
	l.plane.cut(region, cut)
	for _, h := range l.hollows {
		if err := h.send(hollow.Command{Operation: action, Region: region}); err != nil {
			return err
		}
	}
	if cut {
		return nil
	}
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()
	for i := range l.faults.cuts {
		if c := &l.faults.cuts[i]; c.region == region && c.to == 0 {
			c.to = time.Since(l.runStart)
		}
	}
	return nil
}

// restartGatekeepers restarts distinct gatekeepers, evenly spread over the time of the fault.
func (l *laboratory) restartGatekeepers(ctx context.Context, f script.Fault, rng *rand.Rand) (string, error) {
	n := min(f.Count, len(l.plan.gatekeepers))
	order := rng.Perm(len(l.plan.gatekeepers))[:n]
	for _, i := range order {
		if err := sleep(ctx, f.For/time.Duration(max(1, n))); err != nil {
			return "", err
		}
		command := hollow.Command{Operation: hollow.RestartGatekeeper, Name: l.plan.gatekeepers[i].Name, DownTime: restartDownTime}
		if err := l.hollows[i%l.options.HollowProcesses].send(command); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d gatekeepers, each down for %v", n, restartDownTime), nil
}

// openStuckWatchers opens stuck watchers, all at one control machine.
func (l *laboratory) openStuckWatchers(f script.Fault, rng *rand.Rand) (string, error) {
	m := l.plane.machines[rng.IntN(len(l.plane.machines))]
	return fmt.Sprintf("%d at %s", f.Count, m.Name), l.hollows[0].send(hollow.Command{Operation: hollow.OpenStuckWatchers, Address: m.Address, Count: f.Count})
}

// pause suspends the process of a control machine for the time of the fault.
func (l *laboratory) pause(ctx context.Context, f script.Fault, rng *rand.Rand) (string, error) {
	leader, err := l.plane.leader(ctx)
	if err != nil {
		return "", err
	}
	m := leader
	if f.Kind == script.PauseControl {
		i := rng.IntN(len(l.plane.machines))
		for m = l.plane.machines[i]; (m == leader || !m.up()) && len(l.plane.machines) > 1; {
			i = (i + 1) % len(l.plane.machines)
			m = l.plane.machines[i]
		}
	}
	if err := m.pause(true); err != nil {
		return m.Name, err
	}
	err = sleep(ctx, f.For)
	if e := m.pause(false); err == nil {
		err = e
	}
	return m.Name, err
}
