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

// restartDown is how long a gatekeeper that is restarted is down.
const restartDown = time.Second

// faultState is what the script has done so far.
type faultState struct {
	mu          sync.Mutex
	cut         map[string]bool
	cuts        []cutRegion
	played      []playedFault
	machineBusy time.Duration
	resident    int64
	problems    []string
}

// cutRegion is one time in which a region was cut off; to 0: not over.
type cutRegion struct {
	region   string
	from, to time.Duration
}

// playedFault is a fault as it was played, in times since the run began.
type playedFault struct {
	kind        script.Kind
	from, until time.Duration
	what        string
}

func (f *faultState) isCut(region string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[region]
}

func (f *faultState) note(p playedFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.played = append(f.played, p)
}

func (f *faultState) problem(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.problems = append(f.problems, what)
}

// playFaults plays the script from now on. The function that it gives waits until all faults are over, and must be called.
func (l *laboratory) playFaults(ctx context.Context) (wait func()) {
	var all sync.WaitGroup
	for _, fault := range l.options.Faults {
		rng := rand.New(rand.NewPCG(l.rng.Uint64(), 0)) // in the script's order, whatever the faults' times
		all.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(fault.At):
			}
			p := playedFault{kind: fault.Kind, from: time.Since(l.began)}
			l.options.progress(p.from, "fault "+string(fault.Kind))
			what, err := l.playOne(ctx, fault, rng)
			if err != nil && ctx.Err() == nil {
				l.faults.problem(fmt.Sprintf("fault %s: %v", fault.Kind, err))
			}
			p.what, p.until = what, time.Since(l.began)
			l.options.progress(p.until, fmt.Sprintf("fault %s over: %s", fault.Kind, what))
			l.faults.note(p)
		})
	}
	return all.Wait
}

// playOne plays a fault to its end and says whom it met.
func (l *laboratory) playOne(ctx context.Context, f script.Fault, rng *rand.Rand) (what string, err error) {
	switch f.Kind {
	case script.KillLeader:
		m, err := l.plane.leader(ctx)
		if err != nil {
			return "", err
		}
		return m.Name, l.killed(ctx, f.For, m)
	case script.KillZone:
		pair := l.plane.zonePair(rng)
		if pair == nil {
			return "", fmt.Errorf("no zone has two machines")
		}
		return pair[0].Name + " and " + pair[1].Name, l.killed(ctx, f.For, pair...)
	case script.CutRegion:
		return l.cutRegion(ctx, f, rng)
	case script.Restart:
		return l.restart(ctx, f, rng)
	case script.Refuse:
		l.writer.setRefusable(true)
		defer l.writer.setRefusable(false)
		return fmt.Sprintf("one gatekeeper of %d refuses one change of %d", refusesEvery, refusableEvery), wait(ctx, f.For)
	case script.StuckWatcher:
		return l.stuck(f, rng)
	case script.PauseControl, script.PauseLeader:
		return l.pause(ctx, f, rng)
	case script.LoseRack, script.LoseZone:
		return l.losePlace(ctx, f, rng)
	case script.RemakeControl:
		return l.remake(ctx, f)
	case script.Latency:
		return fmt.Sprintf("%v each way between regions", f.Delay), wait(ctx, l.options.Length)
	case script.StartAtOnce:
		return fmt.Sprintf("%d gatekeepers", l.options.Gatekeepers), nil
	}
	return "", fmt.Errorf("not known here")
}

// killed kills machines and starts them again.
func (l *laboratory) killed(ctx context.Context, down time.Duration, machines ...*machine) error {
	for _, m := range machines {
		m.kill()
	}
	if err := wait(ctx, down); err != nil {
		return err
	}
	for _, m := range machines {
		if err := l.plane.start(m); err != nil {
			return err
		}
	}
	return nil
}

// losePlace loses a rack, or all of a zone that the seed draws: control machines and gatekeepers at once. They come back
// together, the machines with their disks.
func (l *laboratory) losePlace(ctx context.Context, f script.Fault, rng *rand.Rand) (string, error) {
	machines := l.plane.zoneMachines(rng)
	if len(machines) == 0 {
		return "", fmt.Errorf("no zone has a control machine that runs")
	}
	zone, most := machines[0].Zone, len(l.plan.gatekeepers)
	if f.Kind == script.LoseRack {
		machines, most = machines[:1], f.Count
	}
	lost := 0
	for i, g := range l.plan.gatekeepers {
		if g.Zone != zone || lost == most {
			continue
		}
		lost++
		command := hollow.Command{Do: hollow.Restart, Name: g.Name, Down: f.For}
		if err := l.hollows[i%l.options.HollowProcesses].tell(command); err != nil {
			return "", err
		}
	}
	what := fmt.Sprintf("%d gatekeepers and %d control machines of %s", lost, len(machines), zone)
	return what, l.killed(ctx, f.For, machines...)
}

// remake loses every control machine with its disk. A group that is made anew gets the records of a backup that was taken
// before, as an operator would restore it; no change is written meanwhile.
func (l *laboratory) remake(ctx context.Context, f script.Fault) (string, error) {
	l.writer.turn.Lock()
	defer l.writer.turn.Unlock()
	leader, err := l.plane.leader(ctx)
	if err != nil {
		return "", err
	}
	backup, err := store.BackupFrom(ctx, leader.Address)
	if err != nil {
		return "", err
	}
	if err := l.plane.lose(); err != nil {
		return "", err
	}
	if err := wait(ctx, f.For); err != nil {
		return "", err
	}
	if err := l.plane.startAll(ctx); err != nil {
		return "", err
	}
	done, err := backup.Restore(ctx, l.plane.machines[0].Address, store.RestoreOptions{})
	if err != nil {
		return "", err
	}
	l.writer.restamped(done.Revision)
	return fmt.Sprintf("%d records of a backup at revision %d, restored at %d", done.Written, backup.Revision, done.Revision), nil
}

// cutRegion cuts a region off, the gatekeepers' way and the control machines', and heals it.
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
	err := wait(ctx, f.For)
	if e := l.setCut(region, false); err == nil {
		err = e
	}
	return region, err
}

func (l *laboratory) setCut(region string, cut bool) error {
	l.faults.mu.Lock()
	l.faults.cut[region] = cut
	if now := time.Since(l.began); cut {
		l.faults.cuts = append(l.faults.cuts, cutRegion{region: region, from: now})
	}
	l.faults.mu.Unlock()
	do := hollow.Heal
	if cut {
		do = hollow.Cut
	}
	l.plane.cut(region, cut)
	for _, h := range l.hollows {
		if err := h.tell(hollow.Command{Do: do, Region: region}); err != nil {
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
			c.to = time.Since(l.began)
		}
	}
	return nil
}

// restart restarts gatekeepers, each another one, spread evenly over the fault's time.
func (l *laboratory) restart(ctx context.Context, f script.Fault, rng *rand.Rand) (string, error) {
	n := min(f.Count, len(l.plan.gatekeepers))
	order := rng.Perm(len(l.plan.gatekeepers))[:n]
	for _, i := range order {
		if err := wait(ctx, f.For/time.Duration(max(1, n))); err != nil {
			return "", err
		}
		command := hollow.Command{Do: hollow.Restart, Name: l.plan.gatekeepers[i].Name, Down: restartDown}
		if err := l.hollows[i%l.options.HollowProcesses].tell(command); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d gatekeepers, each down for %v", n, restartDown), nil
}

// stuck opens watchers that read nothing, all at one machine.
func (l *laboratory) stuck(f script.Fault, rng *rand.Rand) (string, error) {
	m := l.plane.machines[rng.IntN(len(l.plane.machines))]
	return fmt.Sprintf("%d at %s", f.Count, m.Name), l.hollows[0].tell(hollow.Command{Do: hollow.Watch, Address: m.Address, Count: f.Count})
}

// pause stops a control machine's process for a while.
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
	err = wait(ctx, f.For)
	if e := m.pause(false); err == nil {
		err = e
	}
	return m.Name, err
}
