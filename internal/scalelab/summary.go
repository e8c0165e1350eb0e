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

// report puts together what the run has seen, and judges it.
func (l *laboratory) report(stopped bool, problems []string) *Report {
	o := l.options
	r := &Report{Command: o.Command, Date: time.Now().UTC().Format(time.DateOnly), Program: revision(), Beside: o.Beside, Stopped: stopped, Shape: l.shape(),
		Processes: problems, Faults: []FaultReport{}}
	r.Machine = l.machineFigures()
	r.Gatekeepers = l.gatekeeperFigures()
	r.Control = l.controlFigures(r)
	r.Membership = l.membership()
	r.Judge.Problems = append(append([]string{}, problems...), l.faults.problems...)
	if l.writer != nil {
		l.judge(r)
	} else {
		r.Judge.Held = len(r.Judge.Problems) == 0
	}
	return r
}

// revision is that of the version control which this program was built at, marked where files had changed since.
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
		Processes: o.HollowProcesses, Seed: o.Seed, LengthS: o.Length.Seconds(), RecordBytes: o.RecordBytes, With: []string{}, Admission: o.Admission}
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
	s.Descriptors.Needed = needDescriptors(o)
	s.Descriptors.Allowed, _ = child.Descriptors()
	return s
}

// span is the measured time.
func (l *laboratory) span() time.Duration { return l.measured.to - l.measured.from }

// inSpan tells whether something was in the measured time.
func (l *laboratory) inSpan(at time.Duration) bool {
	return at >= l.measured.from && at <= l.measured.to
}

func (l *laboratory) machineFigures() MachineFigures {
	m := MachineFigures{Cores: cores(), MemoryBytes: l.memory, LabResident: l.faults.resident}
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
	m.LabCores = lab.Seconds() / span
	m.OtherCores = max(0, l.faults.machineBusy.Seconds()/span-m.LabCores)
	return m
}

// hollowCPU is the processor time of a hollow process in the measured time.
func (l *laboratory) hollowCPU(process int) time.Duration {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	a, b := l.record.counters[atBegin][process], l.record.counters[atEnd][process]
	if a == nil || b == nil {
		return 0
	}
	return b.CPU - a.CPU
}

// controlCPU is that of each control machine, from its first to its last sample in the measured time.
func (l *laboratory) controlCPU() map[int]time.Duration {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	first, last := map[int]controlSample{}, map[int]controlSample{}
	for _, s := range l.samples {
		if !l.inSpan(s.at) {
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

// gatekeeperFigures differ the counters over the measured time.
func (l *laboratory) gatekeeperFigures() (g GatekeeperFigures) {
	span := l.span().Seconds()
	if span <= 0 {
		return g
	}
	var sent, received, gossip, leases, opened, cpu []float64
	l.record.mu.Lock()
	for process, before := range l.record.counters[atBegin] {
		after := l.record.counters[atEnd][process]
		if after == nil {
			continue
		}
		for i, b := range before.Gatekeepers {
			a := after.Gatekeepers[i]
			sent = append(sent, float64(a.Sent-b.Sent)/span)
			received = append(received, float64(a.Received-b.Received)/span)
			gossip = append(gossip, float64(a.Gossip-b.Gossip)/span)
			leases = append(leases, float64(a.Leases-b.Leases)/span)
			opened = append(opened, float64(a.Opened-b.Opened))
		}
		cpu = append(cpu, (after.CPU-before.CPU).Seconds()/(after.At-before.At).Seconds()/float64(len(before.Gatekeepers)))
	}
	l.record.mu.Unlock()
	g.SentPerS, g.ReceivedPerS, g.GossipPerS, g.LeasesPerS = spreadOf(sent), spreadOf(received), spreadOf(gossip), spreadOf(leases)
	g.Connections, g.CPUShare = spreadOf(opened), spreadOf(cpu)
	g.HeapBytes = l.most(func(f hollow.Figures) int64 { return f.Heap })
	g.ResidentBytes = l.most(func(f hollow.Figures) int64 { return f.Resident })
	g.Goroutines = l.most(func(f hollow.Figures) int64 { return int64(f.Goroutines) })
	g.Descriptors = l.most(func(f hollow.Figures) int64 { return int64(f.Descriptors) })
	g.StartToInForce = l.startToInForce()
	return g
}

// most gives the spread over the hollow processes of the most that each had in the measured time, for each gatekeeper.
func (l *laboratory) most(of func(hollow.Figures) int64) Spread {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	share := map[int]float64{}
	for process, c := range l.record.counters[atBegin] {
		share[process] = float64(len(c.Gatekeepers))
	}
	most := map[int]float64{}
	for _, s := range l.record.samples {
		if l.inSpan(s.at) && share[s.process] > 0 {
			most[s.process] = max(most[s.process], float64(of(s.Figures))/share[s.process])
		}
	}
	return spreadOf(valuesOf(most))
}

func valuesOf(m map[int]float64) (values []float64) {
	for _, v := range m {
		values = append(values, v)
	}
	return values
}

// startToInForce is the time from each gatekeeper's first start to its first settings.
func (l *laboratory) startToInForce() Spread {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	seen := map[string]bool{}
	var took []float64
	for _, a := range l.record.applied {
		all := l.record.outages[a.Gatekeeper]
		if a.Life != 1 || seen[a.Gatekeeper] || len(all) == 0 {
			continue
		}
		seen[a.Gatekeeper] = true
		took = append(took, (a.At - all[0].To).Seconds())
	}
	return spreadOf(took)
}

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
	l.record.mu.Lock()
	for _, s := range l.samples {
		if !l.inSpan(s.at) {
			continue
		}
		if _, ok := first[s.machine]; !ok {
			first[s.machine] = s.usage
		}
		last[s.machine] = s.usage
		resident[s.machine] = max(resident[s.machine], float64(s.usage.Resident))
		descriptors[s.machine] = max(descriptors[s.machine], float64(s.usage.Descriptors))
	}
	for _, s := range l.runtimes {
		if l.inSpan(s.at) {
			heap[s.machine] = max(heap[s.machine], s.heap)
			goroutines[s.machine] = max(goroutines[s.machine], s.goroutines)
		}
	}
	l.record.mu.Unlock()
	var read, written []float64
	for i := range last {
		read = append(read, float64(last[i].Read-first[i].Read)/span)
		written = append(written, float64(last[i].Written-first[i].Written)/span)
	}
	c.CPUShare, c.ResidentBytes, c.HeapBytes = spreadOf(cpu), spreadOf(valuesOf(resident)), spreadOf(valuesOf(heap))
	c.Goroutines, c.Descriptors = spreadOf(valuesOf(goroutines)), spreadOf(valuesOf(descriptors))
	c.ReadPerS, c.WrittenPerS = spreadOf(read), spreadOf(written)
	c.SessionsPerS = r.Gatekeepers.ReceivedPerS.Mean * float64(l.options.Gatekeepers) / float64(l.options.Control)
	l.sessions(&c)
	return c
}

// sessions counts the sessions at each control machine, as the gatekeepers see them.
func (l *laboratory) sessions(c *ControlFigures) {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	now := map[int]map[string]int{} // of each process, the last pulse
	for _, s := range l.record.samples {
		if !l.inSpan(s.at) {
			continue
		}
		now[s.process] = s.Sessions
		if len(now) < l.options.HollowProcesses {
			continue
		}
		for _, n := range l.sumSessions(now) {
			c.SessionsMax = max(c.SessionsMax, int(n))
		}
	}
	c.Sessions = spreadOf(l.sumSessions(now))
	c.Share = float64(l.options.Gatekeepers) / float64(l.options.Control)
	c.MaxOverShare = float64(c.SessionsMax) / c.Share
}

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
		m.AllMetS = seconds(l.started)
	}
	_, m.FewestUp, m.MostMissing = l.have()
	if l.options.With.Registers {
		m.Fresh, m.Oldest = l.registerFigures()
	}
	return m
}

// registerFigures tell what each gatekeeper knew of its gossip's registers at the end of the measured time.
func (l *laboratory) registerFigures() (fresh, oldest Spread) {
	members, groupOf := map[string]int{}, map[string]string{}
	for _, g := range l.plan.gatekeepers {
		members[g.Group]++
		groupOf[g.Name] = g.Group
	}
	var parts, ages []float64
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	for _, c := range l.record.counters[atEnd] {
		for _, g := range c.Gatekeepers {
			parts = append(parts, float64(g.Fresh)/float64(members[groupOf[g.Name]]))
			ages = append(ages, float64(g.Oldest)/1e6)
		}
	}
	return spreadOf(parts), spreadOf(ages)
}

// firstMarker is of the change that is written before the gatekeepers start.
const firstMarker = 1

// judge has the judge decide, and sums up the times.
func (l *laboratory) judge(r *Report) {
	changes, retries := l.writer.all()
	v := judge.Check(l.logOf(changes))
	s := &r.Settings
	s.Changes, s.Retries, s.Pairs, s.Superseded, s.Unjudged = len(changes), retries, len(v.Delays), v.Skipped, v.Open
	s.RefusedHeld, s.AllStartedS = v.Counts[judge.HeldRefused], seconds(l.started)
	l.record.mu.Lock()
	s.Refusals, s.AppliedTotal, s.CutOff, s.StuckNotCut = len(l.record.refusals), len(l.record.applied), l.record.cutOff, l.record.open
	l.record.mu.Unlock()
	var commit, put, healed []float64
	slowest := map[uint64]float64{}
	for _, d := range v.Delays {
		if d.Marker == firstMarker { // StartToInForce has it
			continue
		}
		if d.Outage {
			healed = append(healed, seconds(d.Healed))
			continue
		}
		commit, put = append(commit, seconds(d.Commit)), append(put, seconds(d.Put))
		slowest[d.Marker] = max(slowest[d.Marker], seconds(d.Commit))
	}
	var all, writes []float64
	for _, c := range changes {
		writes = append(writes, seconds(c.Committed-c.Began))
	}
	for _, v := range slowest {
		all = append(all, v)
	}
	s.FromCommit, s.FromPut, s.Healed, s.AllHaveIt, s.PutCommit = spreadOf(commit), spreadOf(put), spreadOf(healed), spreadOf(all), spreadOf(writes)
	s.Slowest = l.slowest(changes, v.Delays)
	r.Faults = l.faultReports(changes, v.Delays)
	r.Judge.WithinS, r.Judge.First, r.Judge.Crashed = within.Seconds(), v.First, len(r.Processes)
	r.Judge.Counts = map[string]int{}
	for rule, n := range v.Counts {
		r.Judge.Counts[string(rule)] = n
	}
	r.Judge.Held = v.Held() && len(r.Judge.Problems) == 0
}

// mostSlow is how many of the slowest pairs a report names.
const mostSlow = 20

// slowest names the slowest pairs.
func (l *laboratory) slowest(changes []judge.Change, delays []judge.Delay) (slow []Slow) {
	took := func(d judge.Delay) time.Duration {
		if d.Outage {
			return d.Healed
		}
		return d.Commit
	}
	delays = slices.Clone(delays)
	slices.SortFunc(delays, func(a, b judge.Delay) int { return cmp.Compare(took(b), took(a)) })
	committed := commitTimes(changes)
	for _, d := range delays[:min(mostSlow, len(delays))] {
		at := slices.IndexFunc(l.plan.gatekeepers, func(g hollow.Gatekeeper) bool { return g.Name == d.Gatekeeper })
		g := l.plan.gatekeepers[at]
		slow = append(slow, Slow{Marker: d.Marker, CommittedS: seconds(committed[d.Marker] - l.measured.from), Gatekeeper: g.Name,
			Zone: g.Zone, Region: g.Region, TookS: seconds(took(d)), Outage: d.Outage})
	}
	return slow
}

func commitTimes(changes []judge.Change) map[uint64]time.Duration {
	committed := map[uint64]time.Duration{}
	for _, c := range changes {
		committed[c.Marker] = c.Committed
	}
	return committed
}

// faultReports tell for each fault the slowest pair among the changes that it can have slowed.
func (l *laboratory) faultReports(changes []judge.Change, delays []judge.Delay) []FaultReport {
	reports := []FaultReport{}
	committed := commitTimes(changes)
	for _, p := range l.faults.played {
		f := FaultReport{Kind: string(p.kind), AtS: seconds(p.from - l.measured.from), UntilS: seconds(p.until - l.measured.from), What: p.what}
		for _, d := range delays {
			at := committed[d.Marker]
			if at < p.from || at > p.until+within {
				continue
			}
			took := d.Commit
			if d.Outage {
				took = d.Healed
			}
			f.SlowestS = max(f.SlowestS, seconds(took))
		}
		l.duringFault(p, &f)
		reports = append(reports, f)
	}
	return reports
}

// duringFault adds what the gatekeepers said each second while a fault lasted.
func (l *laboratory) duringFault(p playedFault, f *FaultReport) {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	share := float64(l.options.Gatekeepers) / float64(l.options.Control)
	now := map[int]hollow.Figures{} // of each process, the last pulse
	for _, s := range l.record.samples {
		if !l.inSpan(s.at) {
			continue
		}
		now[s.process] = s.Figures
		behind, sessions := 0, map[int]map[string]int{}
		for process, figures := range now {
			behind += figures.Behind
			sessions[process] = figures.Sessions
		}
		f.SaidBehindEnd = behind
		if s.at >= p.from && s.at <= p.until+sampleEvery {
			f.SaidBehind = max(f.SaidBehind, behind)
		}
		if s.at >= p.from && s.at <= p.until+within && len(now) == l.options.HollowProcesses {
			for _, n := range l.sumSessions(sessions) {
				f.SessionsOverShare = max(f.SessionsOverShare, n/share)
			}
		}
	}
}
