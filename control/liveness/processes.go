package liveness

import (
	"slices"

	"beammux/control"
)

// Connection is the number of a connection to one address. Connections are numbered in the order in which they were opened.
type Connection int

const (
	// confirmDelay is the time after which a message on an older connection was certainly sent after a newer one was opened.
	confirmDelay control.Micros = 250_000
	// reconnectTime is the longest time between the end of the last connection and the next that leads to the same process.
	reconnectTime control.Micros = 1_500_000
	// minReportGap is the least time between two reports that count. A server reports on all of its connections at once.
	minReportGap control.Micros = 50_000
	// regularReports and maxRegularGap: a process that sent so many reports, at such intervals, would have sent one in lostAfter.
	regularReports                = 3
	maxRegularGap  control.Micros = 4_000_000
	// contradictingReports is the number of reports on newer connections that show that an older one leads elsewhere.
	contradictingReports = 2
	// maxProcesses bounds the processes that are told apart. Beyond it the two oldest are taken for one.
	maxProcesses = 8
)

// Processes decides which connections to one address lead to the same server process. The machine of a server may be lost and its
// address taken by another one: the open connections to the first stay open and silent, and new ones lead to the second, whose messages
// say nothing about the first. A process sends its reports on all of its connections. So a new connection leads to the process of the
// older ones if
//
//   - a message arrives on an older one after the new one was opened,
//   - the older ones were closed or reset by the other side shortly before it was opened, or
//   - the server releases on it a call that was established on an older one (Confirm).
//
// Until then it may lead to another process. The zero value has no connections.
type Processes struct {
	found []process // by their first connection
}

// process is a process to which one or more connections lead.
type process struct {
	first      Connection
	openedAt   control.Micros // when its first connection was opened
	open       int            // open connections
	endedAt    control.Micros // when the other side ended the last one; 0 if it did not
	detector   Detector
	heard      bool
	silent     bool // Lost by the detector
	reports    int
	reportedAt control.Micros
	longestGap control.Micros // between reports, decaying
}

// Opened records a new connection.
func (p *Processes) Opened(c Connection, now control.Micros) {
	if last := p.newest(); last != nil && last.open == 0 && last.endedAt > 0 && now-last.endedAt < reconnectTime {
		last.open, last.endedAt = 1, 0
		return
	}
	p.found = append(p.found, process{first: c, openedAt: now, open: 1})
	if len(p.found) > maxProcesses {
		p.merge(0)
	}
}

// Heard records a message on a connection.
func (p *Processes) Heard(c Connection, now control.Micros) {
	i := p.indexOf(c)
	if i < 0 {
		return
	}
	for i+1 < len(p.found) && now-p.found[i+1].openedAt >= confirmDelay {
		p.merge(i)
	}
	process := &p.found[i]
	process.heard, process.silent, process.endedAt = true, false, 0
	process.detector.Heard(now)
}

// Reported records a report on a connection that was not its first message, and that no request caused.
func (p *Processes) Reported(c Connection, now control.Micros) {
	p.Heard(c, now)
	if i := p.indexOf(c); i >= 0 {
		p.found[i].noteReport(now)
	}
}

// noteReport counts a report.
func (p *process) noteReport(now control.Micros) {
	gap := now - p.reportedAt
	if p.reports > 0 && gap < minReportGap {
		return
	}
	if p.reports > 0 {
		p.longestGap = max(gap, control.Micros(gapDecay*float64(p.longestGap)))
	}
	p.reports++
	p.reportedAt = now
}

// Ended records the end of a connection. closedByPeer reports whether the other side closed or reset it; otherwise it was silent.
func (p *Processes) Ended(c Connection, now control.Micros, closedByPeer bool) {
	i := p.indexOf(c)
	if i < 0 {
		return
	}
	process := &p.found[i]
	process.open--
	if process.open > 0 {
		return
	}
	if !process.heard { // no call can be established on its connections
		p.found = slices.Delete(p.found, i, i+1)
		return
	}
	if !closedByPeer || process.isOverdue(now) {
		return
	}
	for i+1 < len(p.found) {
		p.merge(i)
	}
	if process.open == 0 {
		process.endedAt = now
	}
}

// isOverdue reports whether the process has been silent for longer than the intervals of its reports explain. What closes a connection
// then may be the process that has the address now.
func (p *process) isOverdue(now control.Micros) bool {
	return p.reports >= regularReports && now-p.detector.heardAt >= p.longestGap+p.detector.suspectAfter()
}

// Confirm records that the process of a newer connection has shown that it is that of an older one.
func (p *Processes) Confirm(older, newer Connection) {
	i := p.indexOf(older)
	for i >= 0 && p.indexOf(newer) > i {
		p.merge(i)
	}
}

// Tick is called every TickInterval. It reports whether the older connections lead to a process that has ended: they are silent for
// as long as that of a lost server, while another process answers at the address. Calls that were established on connections
// before the returned one are then over.
func (p *Processes) Tick(now control.Micros) (before Connection, ended bool) {
	for i := range p.found {
		if p.found[i].detector.Tick(now) == Lost {
			p.found[i].silent = true
		}
	}
	for i := len(p.found) - 2; i >= 0; i-- {
		if p.found[i].silent && p.isContradicted(i) {
			p.found = slices.Delete(p.found, 0, i+1)
			return p.found[0].first, true
		}
	}
	return 0, false
}

// isContradicted reports whether a silent process would have sent a report if it were that of the newer connections: because it did so
// regularly, or because reports arrive on the newer ones.
func (p *Processes) isContradicted(i int) bool {
	if p.found[i].reports >= regularReports && p.found[i].longestGap <= maxRegularGap {
		return true
	}
	return slices.ContainsFunc(p.found[i+1:], func(newer process) bool { return newer.reports >= contradictingReports })
}

// newest returns the process of the newest connection, or nil.
func (p *Processes) newest() *process {
	if len(p.found) == 0 {
		return nil
	}
	return &p.found[len(p.found)-1]
}

// indexOf returns the index of the process of a connection, or -1 for one that has ended.
func (p *Processes) indexOf(c Connection) int {
	i := len(p.found) - 1
	for i >= 0 && p.found[i].first > c {
		i--
	}
	return i
}

// merge records that the process at index i and the next one are the same.
func (p *Processes) merge(i int) {
	process, next := &p.found[i], p.found[i+1]
	process.open += next.open
	process.endedAt = next.endedAt
	if next.heard {
		process.heard, process.silent = true, process.silent && next.silent
	}
	if next.detector.heardAt > process.detector.heardAt {
		process.detector.Heard(next.detector.heardAt)
	}
	p.found = slices.Delete(p.found, i+1, i+2)
}
