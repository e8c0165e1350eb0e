package fleetcheck

import (
	"cmp"
	"slices"
	"strconv"

	"beammux/control"
	"beammux/control/quota"
	"beammux/internal/history"
)

// Laboratory is the process of a Delayed event that tells of the laboratory itself: its stand-ins and relays.
const Laboratory = "laboratory"

const wireSlack = history.SocketSlack // by which an answer on sockets may be late

// delays holds how long the processes of a run had work and waited for a processor, as the kernel and the laboratory's own
// timers measured it. An answer is late through no fault of its process by at most what was waited where it counts: on the
// way to the gatekeeper, just after the call was sent, and from the moment that the answer was due.
//
// The waits of all threads of a process are added up, since one may wait after the other on the way of one answer. Threads that
// wait beside each other count each, so more may be excused than the process stood still. An answer that never comes is never
// excused, nor is one while whose time nothing waited.
type delays struct {
	waits map[string][]wait
	late  map[string]control.Micros    // first answer to calls whose time was up
	due   map[[2]string]control.Micros // by gatekeeper and call, as its records say

	disturbed Disturbance
}

// wait is what was waited in all by waits that ended between two looks.
type wait struct{ from, to, span control.Micros }

// Disturbance is how a run was kept from showing what the fleet does: a thread that could run was held up for as long as the
// gatekeepers' own figures count on being heard within.
type Disturbance struct {
	Count   int            `json:"count"`                // looks in which a thread had waited so long
	Longest control.Micros `json:"longest_us,omitempty"` // that one thread waited
	Process string         `json:"process,omitempty"`    // whose thread that was
	At      control.Micros `json:"at,omitempty"`
}

// disturbing is the wait of one thread that leaves a run without meaning. What the near mode of limits worked out holds for
// quota.ReportLifetime and is worked out anew at each quota.SettleTime/10: a member that is held up for the difference spends nothing.
// All other times that members count on between each other (leases, votes, overdue attempts, tests of members) are longer.
const disturbing = quota.ReportLifetime - quota.SettleTime/10

func (d *delays) add(e *Event) {
	if longest, err := strconv.ParseInt(e.Class, 10, 64); err == nil && control.Micros(longest) >= disturbing {
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

// answered takes an answer that came after its caller's time.
func (d *delays) answered(e *Event) {
	if d.late == nil {
		d.late = map[string]control.Micros{}
	}
	d.late[e.Call] = e.At
}

// taken notes when a gatekeeper owes an answer.
func (d *delays) taken(e *history.Event) {
	if d.due == nil {
		d.due = map[[2]string]control.Micros{}
	}
	d.due[[2]string{e.Node, e.Call}] = e.At + e.Span
}

// waited gives what a process waited, by the looks that a time overlaps with. One look counts once.
func (d *delays) waited(process string, times ...span) (sum control.Micros) {
	all := d.waits[process]
	begin, end := times[0].from, times[len(times)-1].to
	first, _ := slices.BinarySearchFunc(all, begin, func(w wait, at control.Micros) int { return cmp.Compare(w.to, at) })
	for _, w := range all[first:] {
		if w.from > end {
			break
		}
		if overlaps(times, w.from, w.to) {
			sum += w.span
		}
	}
	return sum
}

// explain tells whether waiting explains that a call's caller had its answer late: sent at a time, due at another, and come
// at a third, or 0 where it came after the caller's time, if at all.
func (d *delays) explain(call, process string, sent, due, came control.Micros) bool {
	if came == 0 {
		came = d.late[call]
	}
	if came == 0 {
		return false
	}
	late := came - due
	times := []span{{sent, min(sent+late, due)}, {due, came}}
	return late <= wireSlack+d.waited(process, times...)+d.waited(Laboratory, times...)
}

// explainRecord tells whether waiting explains a late answer in a gatekeeper's records.
func (d *delays) explainRecord(process, call string, at control.Micros) bool {
	due, known := d.due[[2]string{process, call}]
	return known && at > due && at-due <= wireSlack+d.waited(process, span{due, at})
}
