package routing

import (
	"slices"
	"time"

	"beammux/control"
	"beammux/internal/history"
)

// Recorder receives events in the order in which they occur. Record is called by actors and by the writers of connections
// and must not block.
type Recorder interface{ Record(history.Event) }

const (
	viewInterval       = control.Micros(50000)  // interval of reading the module's views
	minViewAge         = control.Micros(250000) // least time between two records of a changing wait
	minWaitChange      = control.Micros(5000)   // least change of a wait that is recorded
	minWaitChangeRatio = 0.2                    // least change of a wait that is recorded, as a part of the wait
)

// note records an event with the current time.
func (c *Core) note(e history.Event) {
	if c.recorder != nil {
		e.At = c.clock.now()
		c.recorder.Record(e)
	}
}

// Note records an event from outside the core. It is safe for concurrent use.
func (c *Core) Note(e history.Event) { c.note(e) }

// noteArrived records the arrival of a call.
func (c *Core) noteArrived(call *callState, arrived control.Micros) {
	if c.recorder == nil {
		return
	}
	worth := 0.0
	if call.Class >= 0 && call.Class < len(c.classes) {
		worth = c.classes[call.Class].Worth
	}
	c.recorder.Record(history.Event{At: arrived, Kind: history.Received, Call: call.ID, Class: call.Class, Value: worth,
		Span: call.deadline - arrived, Repeated: call.WasCut})
}

// noteEnded records the end of an attempt.
func (c *Core) noteEnded(call *callState, a *attempt, code control.Code) {
	c.note(history.Event{Kind: history.Ended, Call: call.ID, Attempt: a.number, Server: a.server, Code: code, Span: c.clock.now() - a.sentAt})
}

// noteReport records a load report whose values have changed. Servers repeat the same values until they measure them
// again, and the module counts them once.
func (c *Core) noteReport(server uint32, report []float64) {
	if c.recorder == nil || report == nil || slices.Equal(c.lastReports[server], report) {
		return
	}
	c.lastReports[server] = report
	c.note(history.Event{Kind: history.Reported, Server: server, Values: report})
}

// recordedView is the last recorded view that the module had of a server.
type recordedView struct {
	control.View
	recordedAt control.Micros
}

// noteViews records changes of the module's views of servers: a change of the level within viewInterval, a change of the
// wait at most every minViewAge.
func (c *Core) noteViews() {
	if c.recorder == nil {
		return
	}
	now := c.clock.now()
	if now-c.viewsReadAt < viewInterval {
		return
	}
	c.viewsReadAt = now
	c.viewBuffer = c.module.Views(c.viewBuffer[:0])
	for _, v := range c.viewBuffer {
		last, known := c.recordedViews[v.Server]
		change := v.Wait - last.Wait
		if change < 0 {
			change = -change
		}
		if known && v.Level == last.Level && (now-last.recordedAt < minViewAge || change < minWaitChange || float64(change) < minWaitChangeRatio*float64(last.Wait)) {
			continue
		}
		c.recordedViews[v.Server] = recordedView{v, now}
		c.recorder.Record(history.Event{At: now, Kind: history.Viewed, Server: v.Server, Level: v.Level, Span: v.Wait, Value: v.Shed})
	}
}

// levelOf returns the level of a server in the module's view. It returns 0 without a recorder.
func (c *Core) levelOf(server uint32) int {
	if c.recorder == nil {
		return 0
	}
	c.viewBuffer = c.module.Views(c.viewBuffer[:0])
	for _, v := range c.viewBuffer {
		if v.Server == server {
			return v.Level
		}
	}
	return 0
}

// Views calls f from the core's actor with the module's view of each server and the core's time.
func (c *Core) Views(f func(views []control.View, now control.Micros)) {
	c.Post(func() { f(c.module.Views(nil), c.clock.now()) })
}

const stateTimeout = 2 * time.Second // for each actor's reply to StateEvents

// StateEvents returns the current state of the core and a list, as the events that would lead to it.
func (c *Core) StateEvents(l *List) (events []history.Event) {
	now := c.clock.now()
	query := func(post func(func()), collect func() []history.Event) {
		reply := make(chan []history.Event, 1)
		post(func() { reply <- collect() })
		select {
		case received := <-reply:
			events = append(events, received...)
		case <-time.After(stateTimeout): // the actor has stopped
		}
	}
	query(l.Post, func() (listEvents []history.Event) {
		for name, h := range l.hosts {
			listEvents = append(listEvents, history.Event{At: now, Kind: history.Listed, Server: h.id, Name: name, State: h.State, N: int64(h.Cell), Since: h.since})
		}
		return listEvents
	})
	query(c.Post, func() (views []history.Event) {
		for _, v := range c.module.Views(nil) {
			views = append(views, history.Event{At: now, Kind: history.Viewed, Server: v.Server, Level: v.Level, Span: v.Wait, Value: v.Shed})
		}
		return views
	})
	return events
}

// Now returns the core's time, in Unix microseconds.
func (c *Core) Now() control.Micros { return c.clock.now() }
