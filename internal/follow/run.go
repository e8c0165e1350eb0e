package follow

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/advice"
	"beammux/control/session"
)

// watchFunc is store.WatchSession.
type watchFunc func(ctx context.Context, dial Dial, address string, r WatchRequest, reports <-chan WatchReport, handle func(WatchEvent) error) error

// watched is one session that runs.
type watched struct {
	replica session.Replica
	cancel  context.CancelFunc
	reports chan WatchReport // holds at most the newest
	sent    WatchReport
	told    bool // sent holds a report
}

// arrival is what a session brought: an event, or its end.
type arrival struct {
	session uint64
	event   *WatchEvent
	end     error
}

// run carries out what the session machine decides, until the context ends.
func (f *Follower) run(ctx context.Context) {
	defer f.work.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if at, ok := f.machine.Wake(); ok {
			timer.Reset(time.Duration(at-f.now()) * time.Microsecond)
		}
		select {
		case <-ctx.Done():
			f.leave()
			return
		case a := <-f.arrivals:
			f.take(ctx, a)
		case <-timer.C:
			// What has arrived counts before what is due: an Apply that took long must not end the session.
			select {
			case a := <-f.arrivals:
				f.take(ctx, a)
			default:
				f.carryOut(ctx, f.machine.Tick(f.now()), nil)
			}
		}
		f.publish()
	}
}

// leave ends all sessions.
func (f *Follower) leave() {
	for _, w := range f.open {
		w.cancel()
	}
	if f.disk != nil {
		f.saveSeen()
	}
}

func (f *Follower) take(ctx context.Context, a arrival) {
	if a.event != nil {
		e := session.Event{Kind: kindOf(a.event.Kind), Revision: a.event.Revision}
		f.carryOut(ctx, f.machine.Heard(f.now(), a.session, e), a.event)
		f.heard(a)
		if f.disk != nil && time.Since(f.disk.seenAt) >= seenEvery {
			f.saveSeen()
		}
		return
	}
	w := f.open[a.session]
	if w == nil {
		return
	}
	w.cancel()
	delete(f.open, a.session)
	f.ended(w, a.end)
	f.carryOut(ctx, f.machine.Ended(f.now(), a.session, endOf(a.end)), nil)
}

func kindOf(k WatchKind) session.EventKind {
	switch k {
	case Snapshot:
		return session.Snapshot
	case Change:
		return session.Change
	}
	return session.Heartbeat
}

// carryOut carries out actions; the event is the one that led to them, if any.
func (f *Follower) carryOut(ctx context.Context, actions []session.Action, e *WatchEvent) {
	for _, a := range actions {
		switch a.Do {
		case session.Connect:
			f.connect(ctx, a)
		case session.Close:
			if w := f.open[a.Session]; w != nil {
				w.cancel()
				delete(f.open, a.Session)
			}
		case session.Accept:
			f.accept(e)
		}
	}
}

func (f *Follower) connect(ctx context.Context, a session.Action) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watched{replica: a.Replica, cancel: cancel, reports: make(chan WatchReport, 1)}
	f.open[a.Session] = w
	self := f.options.Self
	request := WatchRequest{
		Prefixes: self.Prefixes(), After: a.After,
		Session: SessionInfo{Name: self.Name, Region: self.Region, Zone: self.Zone, Service: self.Service},
	}
	f.work.Add(1)
	go func() {
		defer f.work.Done()
		hand := func(a arrival) error {
			select {
			case f.arrivals <- a:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		err := f.watch(ctx, f.options.Dial, w.replica.Address, request, w.reports, func(e WatchEvent) error {
			return hand(arrival{session: a.Session, event: &e})
		})
		if err == nil {
			err = errEnded
		}
		hand(arrival{session: a.Session, end: err})
	}()
}

var errEnded = errors.New("the control machine ended the session")

func (f *Follower) accept(e *WatchEvent) {
	before := f.settings.refused
	switch e.Kind {
	case Snapshot:
		f.settings.replace(e.Revision, e.Records)
	case Change:
		f.settings.change(e.Revision, e.Records)
	default:
		f.settings.advance(e.Revision)
	}
	if r := f.settings.refused; r != nil && r != before {
		f.log.WithFields(logrus.Fields{"revision": r.Revision, "fault": r.Fault, "advice": r.Advice}).
			Warn("settings refused, the last good ones stay in force")
	}
}

// heard notes what an event of the current session says, and reports upstream what is in force.
func (f *Follower) heard(a arrival) {
	w := f.open[a.session]
	current, ok := f.machine.Current()
	if w == nil || !ok || current.Name != w.replica.Name {
		return
	}
	f.mu.Lock()
	f.wordAt = time.Now()
	if a.event.Fleet != nil {
		f.status.Fleet = a.event.Fleet
	}
	f.mu.Unlock()
	f.report(w)
}

// report brings the newest report to a session, if it differs from the last.
func (f *Follower) report(w *watched) {
	r := WatchReport{InForce: f.settings.inForce.Revision}
	if refused := f.settings.refused; refused != nil {
		r.Refused, r.Fault = refused.Revision, refused.Fault
	}
	if w.told && w.sent == r {
		return
	}
	w.sent, w.told = r, true
	select {
	case <-w.reports:
	default:
	}
	w.reports <- r
}

func (f *Follower) ended(w *watched, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.Fault = w.replica.Name + ": " + err.Error()
	f.status.Advice = advice.Of(err)
}

// endOf tells the session machine why a session has ended.
func endOf(err error) session.End {
	return session.End{Reason: session.Lost}
}

func micros(d time.Duration) control.Micros { return control.Micros(d.Microseconds()) }

func notYet(ctx context.Context, dial Dial, address string, r WatchRequest, reports <-chan WatchReport, handle func(WatchEvent) error) error {
	return &net.OpError{Op: "watch", Err: errors.New("internal/store has no WatchSession yet")}
}
