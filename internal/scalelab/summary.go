package scalelab

import (
	"cmp"
	"runtime/debug"
	"slices"
	"time"

	"beammux/internal/scalelab/child"
	"beammux/internal/scalelab/hollow"
	"beammux/internal/scalelab/judge"
)

// report creates the report of the run, including the result of the judge.
func (l *laboratory) report(stopped bool, problems []string) *Report {
	o := l.options
	r := &Report{Command: o.Command, Date: time.Now().UTC().Format(time.DateOnly), Program: revision(), Beside: o.Beside, Stopped: stopped, Shape: l.shape(),
		Crashed: problems, Faults: []FaultReport{}}
	r.Machine = l.machineFigures()
	r.Gatekeepers = l.gatekeeperFigures()
	r.Control = l.controlFigures(r)
	r.Membership = l.membership()
	r.Judge.Problems = append(append([]string{}, problems...), l.faults.problems...)
	if l.writer != nil {
		l.judgeRun(r)
	} else {
		r.Judge.Passed = len(r.Judge.Problems) == 0
	}
	return r
}

// revision returns the version control revision of the build, with a mark if the working tree had changes.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	at, changed := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			at = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = " with changes"
		}
	}
	return at + changed
}

func (l *laboratory) shape() Shape {
	o := l.options
	s := Shape{Gatekeepers: o.Gatekeepers, Control: o.Control, Voters: o.Voters, Regions: o.Regions, Zones: o.Zones, Services: o.Services,
		Processes: o.Hollow, Seed: o.Seed, LengthS: o.Length.Seconds(), RecordBytes: o.RecordBytes, With: []string{}, Admission: o.Admission}
	if every := o.changeEvery(); every > 0 {
		s.ChangesPerS = 1 / every.Seconds()
	}
	for _, w := range []struct {
		on   bool
		name string
	}{{o.With.Membership, "membership"}, {o.With.Registers, "registers"}, {o.With.Limits, "limits"}, {o.With.Groups, "groups"}} {
		if w.on {
			s.With = append(s.With, w.name)
		}
	}
	s.Descriptors.Needed = neededDescriptors(o)
	s.Descriptors.Allowed, _ = child.DescriptorLimit()
	return s
}

// measuredTime returns the duration of the measured time.
func (l *laboratory) measuredTime() time.Duration { return l.measured.to - l.measured.from }

// isMeasured reports whether a time is within the measured time.
func (l *laboratory) isMeasured(at time.Duration) bool {
	return at >= l.measured.from && at <= l.measured.to
}

func (l *laboratory) machineFigures() MachineFigures {
	m := MachineFigures{Cores: coreCount(), MemoryBytes: l.machineMemory, RunResident: l.faults.maxResident}
	span := l.measuredTime().Seconds()
	if span <= 0 {
		return m
	}
	var lab time.Duration
	for i := range l.options.Hollow {
		lab += l.hollowCPU(i)
	}
	for _, d := range l.controlCPU() {
		lab += d
	}
	m.RunCores = lab.Seconds() / span
	m.OtherCores = max(0, l.faults.machineBusy.Seconds()/span-m.RunCores)
	return m
}

// hollowCPU returns the processor time that a hollow process used in the measured time.
func (l *laboratory) hollowCPU(process int) time.Duration {
	l.events.mu.Lock()
	defer l.events.mu.Unlock()
	a, b := l.events.counters[markStart][process], l.events.counters[markEnd][process]
	if a == nil || b == nil {
		return 0
	}
	return b.CPU - a.CPU
}

// controlCPU returns the processor time of each control machine between its first and last sample in the measured time.
func (l *laboratory) controlCPU() map[int]time.Duration {
	l.events.mu.Lock()
	defer l.events.mu.Unlock()
	first, last := map[int]controlSample{}, map[int]controlSample{}
	for _, s := range l.controlSamples {
		if !l.isMeasured(s.at) {
			continue
		}
		if _, ok := first[s.machine]; !ok {
			first[s.machine] = s
		}
		last[s.machine] = s
	}
	used := map[int]time.Duration{}
	for i, s := range last {
		used[i] = s.usage.CPU - first[i].usage.CPU
	}
	return used
}

// gatekeeperFigures returns the figures from the differences of the counters over the measured time.
func (l *laboratory) gatekeeperFigures() (g GatekeeperFigures) {
	span := l.measuredTime().Seconds()
	if span <= 0 {
		return g
	}
	var sent, received, gossip, leases, opened, cpu []float64
	l.events.mu.Lock()
	for process, before := range l.events.counters[markStart] {
		after := l.events.counters[markEnd][process]
		if after == nil {
			continue
		}
		for i, b := range before.Gatekeepers {
			a := after.Gatekeepers[i]
			sent = append(sent, float64(a.Sent-b.Sent)/span)
			received = append(received, float64(a.Received-b.Received)/span)
			gossip = append(gossip, float64(a.GossipBytes-b.GossipBytes)/span)
			leases = append(leases, float64(a.LeaseBytes-b.LeaseBytes)/span)
			opened = append(opened, float64(a.ConnectionsOpened-b.ConnectionsOpened))
		}
		cpu = append(cpu, (after.CPU-before.CPU).Seconds()/(after.At-before.At).Seconds()/float64(len(before.Gatekeepers)))
	}
	l.events.mu.Unlock()
	g.SentPerS, g.ReceivedPerS, g.GossipPerS, g.LeasesPerS = spreadOf(sent), spreadOf(received), spreadOf(gossip), spreadOf(leases)
	g.Connections, g.CPUShare = spreadOf(opened), spreadOf(cpu)
	g.HeapBytes = l.maxPerGatekeeper(func(f hollow.Figures) int64 { return f.Heap })
	g.ResidentBytes = l.maxPerGatekeeper(func(f hollow.Figures) int64 { return f.Resident })
	g.Goroutines = l.maxPerGatekeeper(func(f hollow.Figures) int64 { return int64(f.Goroutines) })
	g.Descriptors = l.maxPerGatekeeper(func(f hollow.Figures) int64 { return int64(f.Descriptors) })
	g.StartToInForce = l.startToInForce()
	return g
}

// maxPerGatekeeper returns the distribution over the hollow processes of the maximum of a figure in the measured time, per gatekeeper.
func (l *laboratory) maxPerGatekeeper(value func(hollow.Figures) int64) Spread {
	l.events.mu.Lock()
	defer l.events.mu.Unlock()
	share := map[int]float64{}
	for process, c := range l.events.counters[markStart] {
		share[process] = float64(len(c.Gatekeepers))
	}
	most := map[int]float64{}
	for _, s := range l.events.samples {
		if l.isMeasured(s.at) && share[s.process] > 0 {
			most[s.process] = max(most[s.process], float64(value(s.Figures))/share[s.process])
		}
	}
	return spreadOf(valuesOf(most))
}

// valuesOf returns the values of a map.
func valuesOf(m map[int]float64) (values []float64) {
	for _, v := range m {
		values = append(values, v)
	}
	return values
}

// startToInForce returns the times from the first start of each gatekeeper to its first settings.
func (l *laboratory) startToInForce() Spread {
	l.events.mu.Lock()
	defer l.events.mu.Unlock()
	seen := map[string]bool{}
	var took []float64
	for _, a := range l.events.applied {
		all := l.events.outages[a.Gatekeeper]
		if a.StartCount != 1 || seen[a.Gatekeeper] || len(all) == 0 {
			continue
		}
		seen[a.Gatekeeper] = true
		took = append(took, (a.At - all[0].To).Seconds())
	}
	return spreadOf(took)
}

func (l *laboratory) controlFigures(r *Report) (c ControlFigures) {
	if l.plane == nil || l.measuredTime() <= 0 {
		return c
	}
	span := l.measuredTime().Seconds()
	var cpu []float64
	for _, d := range l.controlCPU() {
		cpu = append(cpu, d.Seconds()/span)
	}
	resident, heap, goroutines, descriptors := map[int]float64{}, map[int]float64{}, map[int]float64{}, map[int]float64{}
	first, last := map[int]child.Usage{}, map[int]child.Usage{}
	l.events.mu.Lock()
	for _, s := range l.controlSamples {
		if !l.isMeasured(s.at) {
			continue
		}
		if _, ok := first[s.machine]; !ok {
			first[s.machine] = s.usage
		}
		last[s.machine] = s.usage
		resident[s.machine] = max(resident[s.machine], float64(s.usage.Resident))
		descriptors[s.machine] = max(descriptors[s.machine], float64(s.usage.Descriptors))
	}
	for _, s := range l.runtimeSamples {
		if l.isMeasured(s.at) {
			heap[s.machine] = max(heap[s.machine], s.heap)
			goroutines[s.machine] = max(goroutines[s.machine], s.goroutines)
		}
	}
	l.events.mu.Unlock()
	var read, written []float64
	for i := range last {
		read = append(read, float64(last[i].Read-first[i].Read)/span)
		written = append(written, float64(last[i].Written-first[i].Written)/span)
	}
	c.CPUShare, c.ResidentBytes, c.HeapBytes = spreadOf(cpu), spreadOf(valuesOf(resident)), spreadOf(valuesOf(heap))
	c.Goroutines, c.Descriptors = spreadOf(valuesOf(goroutines)), spreadOf(valuesOf(descriptors))
	c.ReadPerS, c.WrittenPerS = spreadOf(read), spreadOf(written)
	c.SessionBytesPerS = r.Gatekeepers.ReceivedPerS.Mean * float64(l.options.Gatekeepers) / float64(l.options.Control)
	l.setSessions(&c)
	return c
}

// setSessions sets the figures of sessions per control machine, as counted by the gatekeepers.
func (l *laboratory) setSessions(c *ControlFigures) {
	l.events.mu.Lock()
	defer l.events.mu.Unlock()
	now := map[int]map[string]int{} // latest by process
	for _, s := range l.events.samples {
		if !l.isMeasured(s.at) {
			continue
		}
		now[s.process] = s.Sessions
		if len(now) < l.options.Hollow {
			continue
		}
		for _, n := range l.sumSessions(now) {
			c.MaxSessions = max(c.MaxSessions, int(n))
		}
	}
	c.Sessions = spreadOf(l.sumSessions(now))
	c.Share = float64(l.options.Gatekeepers) / float64(l.options.Control)
	c.MaxSessionsOverShare = float64(c.MaxSessions) / c.Share
}

// sumSessions returns the sessions at each control machine, summed over the processes.
func (l *laboratory) sumSessions(now map[int]map[string]int) (sums []float64) {
	for _, m := range l.plane.machines {
		sum := 0
		for _, sessions := range now {
			sum += sessions[m.Name]
		}
		sums = append(sums, float64(sum))
	}
	return sums
}

func (l *laboratory) membership() (m MembershipFigures) {
	if !l.options.With.Membership {
		return m
	}
	if l.plane == nil {
		m.AllUpS = seconds(l.startDuration)
	}
	_, m.FewestUp, m.MostMissing = l.startProgress()
	if l.options.With.Registers {
		m.FreshRegisters, m.OldestRegister = l.registerFigures()
	}
	return m
}

// registerFigures returns, over the gatekeepers at the end of the measured time, the part of their group's registers that are
// fresh, and the age of the oldest of these in seconds.
func (l *laboratory) registerFigures() (fresh, oldest Spread) {
	members, groupOf := map[string]int{}, map[string]string{}
	for _, g := range l.plan.gatekeepers {
		members[g.Group]++
		groupOf[g.Name] = g.Group
	}
	var parts, ages []float64
	l.events.mu.Lock()
	defer l.events.mu.Unlock()
	for _, c := range l.events.counters[markEnd] {
		for _, g := range c.Gatekeepers {
			parts = append(parts, float64(g.FreshRegisters)/float64(members[groupOf[g.Name]]))
			ages = append(ages, float64(g.OldestRegisterMicros)/1e6)
		}
	}
	return spreadOf(parts), spreadOf(ages)
}

// firstMarker is the marker of the change that is written before the gatekeepers start.
const firstMarker = 1

// judgeRun checks the run and sets the figures of settings, faults and the judge.
func (l *laboratory) judgeRun(r *Report) {
	changes, retries := l.writer.committed()
	v := judge.Check(l.judgeLog(changes))
	s := &r.Settings
	s.Changes, s.Retries, s.Pairs, s.Superseded, s.Unjudged = len(changes), retries, len(v.Delays), v.Superseded, v.Unjudged
	s.RefusedApplied, s.AllStartedS = v.Counts[judge.AppliedRefused], seconds(l.startDuration)
	l.events.mu.Lock()
	s.Refusals, s.AppliedTotal, s.StuckCutOff, s.StuckLeft = len(l.events.refusals), len(l.events.applied), l.events.stuckCutOff, l.events.stuckLeft
	l.events.mu.Unlock()
	var commit, put, healed []float64
	slowest := map[uint64]float64{}
	for _, d := range v.Delays {
		if d.Marker == firstMarker { // counted by StartToInForce
			continue
		}
		if d.Outage {
			healed = append(healed, seconds(d.SinceOutage))
			continue
		}
		commit, put = append(commit, seconds(d.SinceCommit)), append(put, seconds(d.SinceWrite))
		slowest[d.Marker] = max(slowest[d.Marker], seconds(d.SinceCommit))
	}
	var all, writes []float64
	for _, c := range changes {
		writes = append(writes, seconds(c.Committed-c.WriteStarted))
	}
	for _, v := range slowest {
		all = append(all, v)
	}
	s.SinceCommit, s.SinceWrite, s.SinceOutage, s.UntilAll, s.WriteTime = spreadOf(commit), spreadOf(put), spreadOf(healed), spreadOf(all), spreadOf(writes)
	s.Slowest = l.slowestPairs(changes, v.Delays)
	r.Faults = l.faultReports(changes, v.Delays)
	r.Judge.WithinS, r.Judge.Listed, r.Judge.Crashed = inForceLimit.Seconds(), v.Listed, len(r.Crashed)
	r.Judge.Counts = map[string]int{}
	for rule, n := range v.Counts {
		r.Judge.Counts[string(rule)] = n
	}
	r.Judge.Passed = v.Passed() && len(r.Judge.Problems) == 0
}

// maxSlowPairs is the number of slowest pairs in a report.
const maxSlowPairs = 20

// slowestPairs returns the slowest pairs of a change and a gatekeeper.
func (l *laboratory) slowestPairs(changes []judge.Change, delays []judge.Delay) (slow []SlowPair) {
	delayOf := func(d judge.Delay) time.Duration {
		if d.Outage {
			return d.SinceOutage
		}
		return d.SinceCommit
	}
	delays = slices.Clone(delays)
	slices.SortFunc(delays, func(a, b judge.Delay) int { return cmp.Compare(delayOf(b), delayOf(a)) })
	committed := commitTimes(changes)
	for _, d := range delays[:min(maxSlowPairs, len(delays))] {
		at := slices.IndexFunc(l.plan.gatekeepers, func(g hollow.Gatekeeper) bool { return g.Name == d.Gatekeeper })
		g := l.plan.gatekeepers[at]
		slow = append(slow, SlowPair{Marker: d.Marker, CommittedS: seconds(committed[d.Marker] - l.measured.from), Gatekeeper: g.Name,
			Zone: g.Zone, Region: g.Region, DelayS: seconds(delayOf(d)), Outage: d.Outage})
	}
	return slow
}

// commitTimes returns the commit times of the changes by marker.
func commitTimes(changes []judge.Change) map[uint64]time.Duration {
	committed := map[uint64]time.Duration{}
	for _, c := range changes {
		committed[c.Marker] = c.Committed
	}
	return committed
}

// faultReports returns a report for each fault, with the slowest pair among the changes that the fault can have delayed.
func (l *laboratory) faultReports(changes []judge.Change, delays []judge.Delay) []FaultReport {
	reports := []FaultReport{}
	committed := commitTimes(changes)
	for _, p := range l.faults.injected {
		f := FaultReport{Kind: string(p.kind), AtS: seconds(p.from - l.measured.from), UntilS: seconds(p.until - l.measured.from), Description: p.description}
		for _, d := range delays {
			at := committed[d.Marker]
			if at < p.from || at > p.until+inForceLimit {
				continue
			}
			took := d.SinceCommit
			if d.Outage {
				took = d.SinceOutage
			}
			f.SlowestS = max(f.SlowestS, seconds(took))
		}
		l.addFaultFigures(p, &f)
		reports = append(reports, f)
	}
	return reports
}

// addFaultFigures adds the figures that the hollow processes reported during a fault.
func (l *laboratory) addFaultFigures(p injectedFault, f *FaultReport) {
	l.events.mu.Lock()
	defer l.events.mu.Unlock()
	share := float64(l.options.Gatekeepers) / float64(l.options.Control)
	now := map[int]hollow.Figures{} // latest by process
	for _, s := range l.events.samples {
		if !l.isMeasured(s.at) {
			continue
		}
		now[s.process] = s.Figures
		behind, sessions := 0, map[int]map[string]int{}
		for process, figures := range now {
			behind += figures.Behind
			sessions[process] = figures.Sessions
		}
		f.BehindAtEnd = behind
		if s.at >= p.from && s.at <= p.until+sampleInterval {
			f.MaxBehind = max(f.MaxBehind, behind)
		}
		if s.at >= p.from && s.at <= p.until+inForceLimit && len(now) == l.options.Hollow {
			for _, n := range l.sumSessions(sessions) {
				f.MaxSessionsOverShare = max(f.MaxSessionsOverShare, n/share)
			}
		}
	}
}
