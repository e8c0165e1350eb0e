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
		CrashedProcesses: problems, Faults: []FaultReport{}}
	r.Machine = l.machineFigures()
	r.Gatekeepers = l.gatekeeperFigures()
	r.Control = l.controlFigures(r)
	r.Membership = l.membership()
	r.Judge.Problems = append(append([]string{}, problems...), l.faults.problems...)
	if l.changeWriter != nil {
		l.judge(r)
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
	commit, changed := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = " with changes"
		}
	}
	return commit + changed
}

// shape returns the size and load of the run.
func (l *laboratory) shape() Shape {
	o := l.options
	s := Shape{Gatekeepers: o.Gatekeepers, Control: o.Control, Voters: o.Voters, Regions: o.Regions, Zones: o.Zones, Services: o.Services,
		Processes: o.HollowProcesses, Seed: o.Seed, LengthS: o.Length.Seconds(), RecordBytes: o.RecordBytes, With: []string{}, Admission: o.Admission}
	if interval := o.changeInterval(); interval > 0 {
		s.ChangesPerS = 1 / interval.Seconds()
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
	s.Descriptors.Allowed, _ = child.Descriptors()
	return s
}

// span returns the duration of the measured time.
func (l *laboratory) span() time.Duration { return l.measured.to - l.measured.from }

// isMeasured reports whether a time is within the measured time.
func (l *laboratory) isMeasured(at time.Duration) bool {
	return at >= l.measured.from && at <= l.measured.to
}

// machineFigures returns the load of the machine during the measured time.
func (l *laboratory) machineFigures() MachineFigures {
	m := MachineFigures{Cores: coreCount(), MemoryBytes: l.machineMemory, RunResident: l.faults.resident}
	span := l.span().Seconds()
	if span <= 0 {
		return m
	}
	var lab time.Duration
	for i := range l.options.HollowProcesses {
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
	l.eventLog.mu.Lock()
	defer l.eventLog.mu.Unlock()
	a, b := l.eventLog.counters[markStart][process], l.eventLog.counters[markEnd][process]
	if a == nil || b == nil {
		return 0
	}
	return b.CPU - a.CPU
}

// controlCPU returns the processor time of each control machine between its first and last sample in the measured time.
func (l *laboratory) controlCPU() map[int]time.Duration {
	l.eventLog.mu.Lock()
	defer l.eventLog.mu.Unlock()
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
	span := l.span().Seconds()
	if span <= 0 {
		return g
	}
	var sent, received, gossip, leases, opened, cpu []float64
	l.eventLog.mu.Lock()
	for process, before := range l.eventLog.counters[markStart] {
		after := l.eventLog.counters[markEnd][process]
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
	l.eventLog.mu.Unlock()
	g.SentPerS, g.ReceivedPerS, g.GossipPerS, g.LeasesPerS = spreadOf(sent), spreadOf(received), spreadOf(gossip), spreadOf(leases)
	g.Connections, g.CPUShare = spreadOf(opened), spreadOf(cpu)
	g.HeapBytes = l.peaks(func(f hollow.Figures) int64 { return f.Heap })
	g.ResidentBytes = l.peaks(func(f hollow.Figures) int64 { return f.Resident })
	g.Goroutines = l.peaks(func(f hollow.Figures) int64 { return int64(f.Goroutines) })
	g.Descriptors = l.peaks(func(f hollow.Figures) int64 { return int64(f.Descriptors) })
	g.StartToInForce = l.startToInForce()
	return g
}

// peaks returns the distribution, over the hollow processes, of the maximum of a figure in the measured time divided by the
// number of gatekeepers of the process.
func (l *laboratory) peaks(value func(hollow.Figures) int64) Spread {
	l.eventLog.mu.Lock()
	defer l.eventLog.mu.Unlock()
	share := map[int]float64{}
	for process, c := range l.eventLog.counters[markStart] {
		share[process] = float64(len(c.Gatekeepers))
	}
	peaks := map[int]float64{}
	for _, s := range l.eventLog.samples {
		if l.isMeasured(s.at) && share[s.process] > 0 {
			peaks[s.process] = max(peaks[s.process], float64(value(s.Figures))/share[s.process])
		}
	}
	return spreadOf(valuesOf(peaks))
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
	l.eventLog.mu.Lock()
	defer l.eventLog.mu.Unlock()
	counted := map[string]bool{}
	var durations []float64
	for _, a := range l.eventLog.applied {
		all := l.eventLog.outages[a.Gatekeeper]
		if a.StartCount != 1 || counted[a.Gatekeeper] || len(all) == 0 {
			continue
		}
		counted[a.Gatekeeper] = true
		durations = append(durations, (a.At - all[0].To).Seconds())
	}
	return spreadOf(durations)
}

// controlFigures returns the costs per control machine during the measured time.
func (l *laboratory) controlFigures(r *Report) (c ControlFigures) {
	if l.plane == nil || l.span() <= 0 {
		return c
	}
	span := l.span().Seconds()
	var cpu []float64
	for _, d := range l.controlCPU() {
		cpu = append(cpu, d.Seconds()/span)
	}
	resident, heap, goroutines, descriptors := map[int]float64{}, map[int]float64{}, map[int]float64{}, map[int]float64{}
	first, last := map[int]child.Usage{}, map[int]child.Usage{}
	l.eventLog.mu.Lock()
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
	l.eventLog.mu.Unlock()
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
	l.eventLog.mu.Lock()
	defer l.eventLog.mu.Unlock()
	latest := map[int]map[string]int{} // latest by process
	for _, s := range l.eventLog.samples {
		if !l.isMeasured(s.at) {
			continue
		}
		latest[s.process] = s.Sessions
		if len(latest) < l.options.HollowProcesses {
			continue
		}
		for _, n := range l.sumSessions(latest) {
			c.MaxSessions = max(c.MaxSessions, int(n))
		}
	}
	c.Sessions = spreadOf(l.sumSessions(latest))
	c.Share = float64(l.options.Gatekeepers) / float64(l.options.Control)
	c.MaxSessionsOverShare = float64(c.MaxSessions) / c.Share
}

// sumSessions returns the sessions at each control machine, summed over the processes.
func (l *laboratory) sumSessions(latest map[int]map[string]int) (sums []float64) {
	for _, m := range l.plane.machines {
		sum := 0
		for _, sessions := range latest {
			sum += sessions[m.Name]
		}
		sums = append(sums, float64(sum))
	}
	return sums
}

// membership returns the figures of the gossip groups.
func (l *laboratory) membership() (m MembershipFigures) {
	if !l.options.With.Membership {
		return m
	}
	if l.plane == nil {
		m.AllUpS = seconds(l.startDuration)
	}
	_, m.FewestUp, m.MostMissing = l.haveSettings()
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
	l.eventLog.mu.Lock()
	defer l.eventLog.mu.Unlock()
	for _, c := range l.eventLog.counters[markEnd] {
		for _, g := range c.Gatekeepers {
			parts = append(parts, float64(g.FreshRegisters)/float64(members[groupOf[g.Name]]))
			ages = append(ages, float64(g.OldestRegisterMicros)/1e6)
		}
	}
	return spreadOf(parts), spreadOf(ages)
}

// firstMarker is the marker of the change that is written before the gatekeepers start.
const firstMarker = 1

// judge checks the run and sets the figures of settings, faults and the judge.
func (l *laboratory) judge(r *Report) {
	changes, retries := l.changeWriter.all()
	v := judge.Check(l.judgeLog(changes))
	s := &r.Settings
	s.Changes, s.Retries, s.Pairs, s.Superseded, s.Unjudged = len(changes), retries, len(v.Delays), v.Skipped, v.NotDue
	s.RefusedApplied, s.AllStartedS = v.Counts[judge.AppliedRefused], seconds(l.startDuration)
	l.eventLog.mu.Lock()
	s.Refusals, s.AppliedTotal, s.StuckWatchersCutOff, s.StuckWatchersLeft = len(l.eventLog.refusals), len(l.eventLog.applied), l.eventLog.stuckCutOff, l.eventLog.stuckLeft
	l.eventLog.mu.Unlock()
	var commit, put, healed []float64
	slowest := map[uint64]float64{}
	for _, d := range v.Delays {
		if d.Marker == firstMarker { // counted by StartToInForce
			continue
		}
		if d.Outage {
			healed = append(healed, seconds(d.AfterOutage))
			continue
		}
		commit, put = append(commit, seconds(d.AfterCommit)), append(put, seconds(d.AfterWrite))
		slowest[d.Marker] = max(slowest[d.Marker], seconds(d.AfterCommit))
	}
	var all, writes []float64
	for _, c := range changes {
		writes = append(writes, seconds(c.Committed-c.WriteStarted))
	}
	for _, v := range slowest {
		all = append(all, v)
	}
	s.FromCommit, s.FromWrite, s.AfterOutage, s.UntilAll, s.WriteTime = spreadOf(commit), spreadOf(put), spreadOf(healed), spreadOf(all), spreadOf(writes)
	s.Slowest = l.slowest(changes, v.Delays)
	r.Faults = l.faultReports(changes, v.Delays)
	r.Judge.WithinS, r.Judge.Listed, r.Judge.Crashed = inForceLimit.Seconds(), v.Listed, len(r.CrashedProcesses)
	r.Judge.Counts = map[string]int{}
	for rule, n := range v.Counts {
		r.Judge.Counts[string(rule)] = n
	}
	r.Judge.Passed = v.Passed() && len(r.Judge.Problems) == 0
}

// maxSlowPairs is the number of slowest pairs in a report.
const maxSlowPairs = 20

// slowest returns the slowest pairs of a change and a gatekeeper.
func (l *laboratory) slowest(changes []judge.Change, delays []judge.Delay) (slow []SlowPair) {
	delayOf := func(d judge.Delay) time.Duration {
		if d.Outage {
			return d.AfterOutage
		}
		return d.AfterCommit
	}
	delays = slices.Clone(delays)
	slices.SortFunc(delays, func(a, b judge.Delay) int { return cmp.Compare(delayOf(b), delayOf(a)) })
	committed := commitTimes(changes)
	for _, d := range delays[:min(maxSlowPairs, len(delays))] {
		index := slices.IndexFunc(l.plan.gatekeepers, func(g hollow.Gatekeeper) bool { return g.Name == d.Gatekeeper })
		g := l.plan.gatekeepers[index]
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
			commit := committed[d.Marker]
			if commit < p.from || commit > p.until+inForceLimit {
				continue
			}
			delay := d.AfterCommit
			if d.Outage {
				delay = d.AfterOutage
			}
			f.SlowestS = max(f.SlowestS, seconds(delay))
		}
		l.addFaultFigures(p, &f)
		reports = append(reports, f)
	}
	return reports
}

// addFaultFigures adds the figures that the hollow processes reported during a fault.
func (l *laboratory) addFaultFigures(fault injectedFault, f *FaultReport) {
	l.eventLog.mu.Lock()
	defer l.eventLog.mu.Unlock()
	share := float64(l.options.Gatekeepers) / float64(l.options.Control)
	latest := map[int]hollow.Figures{} // latest by process
	for _, s := range l.eventLog.samples {
		if !l.isMeasured(s.at) {
			continue
		}
		latest[s.process] = s.Figures
		behind, sessions := 0, map[int]map[string]int{}
		for process, figures := range latest {
			behind += figures.Behind
			sessions[process] = figures.Sessions
		}
		f.BehindAtEnd = behind
		if s.at >= fault.from && s.at <= fault.until+sampleInterval {
			f.MaxBehind = max(f.MaxBehind, behind)
		}
		if s.at >= fault.from && s.at <= fault.until+inForceLimit && len(latest) == l.options.HollowProcesses {
			for _, n := range l.sumSessions(sessions) {
				f.MaxSessionsOverShare = max(f.MaxSessionsOverShare, n/share)
			}
		}
	}
}
