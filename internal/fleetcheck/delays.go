package fleetcheck

import (
	"cmp"
	"slices"
	"strconv"

	"beammux/control"
	"beammux/control/quota"
	"beammux/internal/history"
)

// Laboratory is the process name of Delayed events that concern the laboratory itself: its stand-ins and relays.
const Laboratory = "laboratory"

const wireSlack = history.SocketSlack // tolerated lateness of an answer on sockets

// delays holds how long the runnable threads of the processes of a run waited for a processor, as measured by the kernel and the
// laboratory's own timers. A late answer is excused if its lateness does not exceed the waits in two intervals: just after the
// call was sent, on its way to the gatekeeper, and from the time at which the answer was due.
//
// The waits of all threads of a process are added up, since several threads may wait one after the other for the same answer.
// Threads that wait at the same time each count, but the sum for one measurement is at most the time since the previous one plus
// the longest wait. An answer that never arrives is never excused, nor is a late one without any wait.
type delays struct {
	waits map[string][]wait
	late  map[string]control.Micros    // time of the first answer to a call whose deadline had passed
	due   map[[2]string]control.Micros // time at which an answer is due, by gatekeeper and call, from the gatekeeper's records

	disturbed Disturbance
}

// wait is the total time of the waits that ended between two measurements, at from and to.
type wait struct{ from, to, span control.Micros }

// Disturbance describes waits for a processor so long that a run no longer shows the behaviour of the fleet: a runnable thread
// waited longer than the gatekeepers' own timing allows for messages between them.
type Disturbance struct {
	Count   int            `json:"count"`                // measurements with such a wait
	Longest control.Micros `json:"longest_us,omitempty"` // longest wait of a single thread
	Process string         `json:"process,omitempty"`    // process of that thread
	At      control.Micros `json:"at,omitempty"`
}

// disturbingWait is the wait of a single thread that invalidates a run. In the near mode of limits a computed share is valid for
// quota.ReportLifetime and recomputed every quota.SettleTime/10, so a member that is delayed by the difference admits nothing.
// All other timeouts between members (leases, votes, overdue attempts, probes of members) are longer.
const disturbingWait = quota.ReportLifetime - quota.SettleTime/10

// add records a Delayed event.
func (d *delays) add(e *Event) {
	if longest, err := strconv.ParseInt(e.Class, 10, 64); err == nil && control.Micros(longest) >= disturbingWait {
		d.disturbed.Count++
		if control.Micros(longest) > d.disturbed.Longest {
			d.disturbed.Longest, d.disturbed.Process, d.disturbed.At = control.Micros(longest), e.Process, e.At
		}
	}
	if d.waits == nil {
		d.waits = map[string][]wait{}
	}
	d.waits[e.Process] = append(d.waits[e.Process], wait{e.At - control.Micros(e.Value*1e6), e.At, e.Span})
}

// answered records an answer that arrived after its caller's deadline.
func (d *delays) answered(e *Event) {
	if d.late == nil {
		d.late = map[string]control.Micros{}
	}
	d.late[e.Call] = e.At
}

// taken records the time at which a gatekeeper's answer to a call is due.
func (d *delays) taken(e *history.Event) {
	if d.due == nil {
		d.due = map[[2]string]control.Micros{}
	}
	d.due[[2]string{e.Node, e.Call}] = e.At + e.Span
}

// waited returns the total wait of a process over the measurements that overlap with any of the given intervals, which are in
// order of time. Each measurement counts once.
func (d *delays) waited(process string, times ...span) (sum control.Micros) {
	readings := d.waits[process]
	begin, end := times[0].from, times[len(times)-1].to
	first, _ := slices.BinarySearchFunc(readings, begin, func(w wait, at control.Micros) int { return cmp.Compare(w.to, at) })
	for _, w := range readings[first:] {
		if w.from > end {
			break
		}
		if overlaps(times, w.from, w.to) {
			sum += w.span
		}
	}
	return sum
}

// explains reports whether waits for a processor explain the late answer to a call that was sent, due and answered at the given
// times. answered is 0 if no answer arrived by the end of the caller's time.
func (d *delays) explains(call, process string, sent, due, answered control.Micros) bool {
	if answered == 0 {
		answered = d.late[call]
	}
	if answered == 0 {
		return false
	}
	late := answered - due
	times := []span{{sent, min(sent+late, due)}, {due, answered}}
	return late <= wireSlack+d.waited(process, times...)+d.waited(Laboratory, times...)
}

// explainsRecord reports whether waits for a processor explain a late answer in a gatekeeper's records.
func (d *delays) explainsRecord(process, call string, at control.Micros) bool {
	due, known := d.due[[2]string{process, call}]
	return known && at > due && at-due <= wireSlack+d.waited(process, span{due, at})
}
