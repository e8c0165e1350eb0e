package routing

import (
	"slices"
	"time"

	"beammux/control"
	"beammux/internal/history"
)

// Recorder takes what happens, in order. Record is called by actors and by writers of connections and must not block.
type Recorder interface{ Record(history.Event) }

const (
	viewInterval       = control.Micros(50000)  // the module's views are looked at so often
	minViewAge         = control.Micros(250000) // a wait that moves is recorded at most so often
	minWaitChange      = control.Micros(5000)   // and only when it moves by this
	minWaitChangeShare = 0.2                    // and by this part
)

// note records an event as of now.
func (c *Core) note(e history.Event) {
	if c.recorder != nil {
		e.At = c.clock.now()
		c.recorder.Record(e)
	}
}

// Note records an event that is not the core's own. Any goroutine may call it.
func (c *Core) Note(e history.Event) { c.note(e) }

func (c *Core) noteTaken(k *call, arrived control.Micros) {
	if c.recorder == nil {
		return
	}
	worth := 0.0
	if k.Class >= 0 && k.Class < len(c.classes) {
		worth = c.classes[k.Class].Worth
	}
	c.recorder.Record(history.Event{At: arrived, Kind: history.Taken, Call: k.ID, Class: k.Class, Value: worth,
		Span: k.deadline - arrived, Again: k.WasCut})
}

func (c *Core) noteEnded(k *call, a *attempt, code control.Code) {
	c.note(history.Event{Kind: history.Ended, Call: k.ID, Attempt: a.number, Server: a.server, Code: code, Span: c.clock.now() - a.sentAt})
}

// noteReport records a load report with new figures: messages repeat the same figures until they are measured again,
// and the module counts them once.
func (c *Core) noteReport(server uint32, report []float64) {
	if c.recorder == nil || report == nil || slices.Equal(c.reported[server], report) {
		return
	}
	c.reported[server] = report
	c.note(history.Event{Kind: history.Reported, Server: server, Values: report})
}

// recordedView is what was last recorded of the module's view of a server.
type recordedView struct {
	control.View
	at control.Micros
}

// noteViews records where the module's view of a server has changed: its level within 50 ms, its wait now and then.
func (c *Core) noteViews() {
	if c.recorder == nil {
		return
	}
	now := c.clock.now()
	if now-c.viewedAt < viewInterval {
		return
	}
	c.viewedAt = now
	c.views = c.module.Views(c.views[:0])
	for _, v := range c.views {
		was, known := c.recordedViews[v.Server]
		moved := v.Wait - was.Wait
		if moved < 0 {
			moved = -moved
		}
		if known && v.Level == was.Level && (now-was.at < minViewAge || moved < minWaitChange || float64(moved) < minWaitChangeShare*float64(was.Wait)) {
			continue
		}
		c.recordedViews[v.Server] = recordedView{v, now}
		c.recorder.Record(history.Event{At: now, Kind: history.Viewed, Server: v.Server, Level: v.Level, Span: v.Wait, Value: v.Shed})
	}
}

// levelOf is the level that the module holds a server at, 0 where nothing is recorded.
func (c *Core) levelOf(server uint32) int {
	if c.recorder == nil {
		return 0
	}
	c.views = c.module.Views(c.views[:0])
	for _, v := range c.views {
		if v.Server == server {
			return v.Level
		}
	}
	return 0
}

// Views hands what the module believes of each server, and the core's time, to f from the core's actor.
func (c *Core) Views(f func(views []control.View, now control.Micros)) {
	c.Post(func() { f(c.module.Views(nil), c.clock.now()) })
}

const knownTimeout = 2 * time.Second

// StateEvents gives what the core and a list know now, as the events by which it became known.
func (c *Core) StateEvents(l *List) (events []history.Event) {
	now := c.clock.now()
	ask := func(post func(func()), what func() []history.Event) {
		answer := make(chan []history.Event, 1)
		post(func() { answer <- what() })
		select {
		case got := <-answer:
			events = append(events, got...)
		case <-time.After(knownTimeout): // it has ended
		}
	}
	ask(l.Post, func() (told []history.Event) {
		for name, h := range l.hosts {
			told = append(told, history.Event{At: now, Kind: history.Listed, Server: h.id, Name: name, State: h.State, N: int64(h.Cell), Since: h.since})
		}
		return told
	})
	ask(c.Post, func() (views []history.Event) {
		for _, v := range c.module.Views(nil) {
			views = append(views, history.Event{At: now, Kind: history.Viewed, Server: v.Server, Level: v.Level, Span: v.Wait, Value: v.Shed})
		}
		return views
	})
	return events
}

// Now is the core's time, in Unix microseconds.
func (c *Core) Now() control.Micros { return c.clock.now() }
