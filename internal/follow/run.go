package follow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/advice"
	"beammux/control/scope"
	"beammux/control/session"
	"beammux/internal/store"
)

// watchFunc is store.WatchSession.
type watchFunc func(ctx context.Context, dial store.Dial, address string, r store.WatchRequest, reports <-chan store.WatchReport, handle func(store.WatchEvent) error) error

// watched is one session that runs.
type watched struct {
	replica session.Replica
	cancel  context.CancelFunc
	reports chan store.WatchReport // holds at most the newest
	last    store.WatchReport
	// reported tells that last was given to the session.
	reported bool
}

// arrival is what a session brought: an event, or its end.
type arrival struct {
	session uint64
	event   *store.WatchEvent // nil: the session has ended
	end     error
}

// run carries out what the session machine decides, until the context ends.
func (f *Follower) run(ctx context.Context) {
	defer f.work.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if at, ok := f.machine.NextTick(); ok {
			timer.Reset(time.Duration(at-f.now()) * time.Microsecond)
		}
		select {
		case <-ctx.Done():
			f.leave()
			return
		case a := <-f.arrivals:
			f.take(ctx, a)
		case <-timer.C:
			f.takeWaiting(ctx)
			f.carryOut(ctx, f.machine.Tick(f.now()), nil)
		}
		f.publish()
		f.report()
	}
}

// takeWaiting takes what each session has waiting. It counts before what is due: an Apply that took long must not end the
// session whose heartbeats waited meanwhile.
func (f *Follower) takeWaiting(ctx context.Context) {
	for range len(f.open) {
		select {
		case a := <-f.arrivals:
			f.take(ctx, a)
		default:
			return
		}
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
		e := session.Event{
			Kind: kindOf(a.event.Kind), Revision: a.event.Revision, LeaderlessFor: micros(a.event.Age), HeartbeatInterval: micros(a.event.Every),
		}
		f.carryOut(ctx, f.machine.HandleEvent(f.now(), a.session, e), a.event)
		f.heard(a)
		return
	}
	w := f.open[a.session]
	if w == nil {
		return
	}
	w.cancel()
	delete(f.open, a.session)
	f.setFault(w, a.end)
	f.carryOut(ctx, f.machine.HandleEnd(f.now(), a.session, endOf(a.end)), nil)
}

func kindOf(k store.WatchKind) session.EventKind {
	switch k {
	case store.Snapshot:
		return session.Snapshot
	case store.Change:
		return session.Change
	}
	return session.Heartbeat
}

// carryOut carries out actions; the event is the one that led to them, if any.
func (f *Follower) carryOut(ctx context.Context, actions []session.Action, e *store.WatchEvent) {
	for _, a := range actions {
		switch a.Type {
		case session.Connect:
			f.connect(ctx, a)
		case session.Close:
			f.close(a.Session, e)
		case session.Accept:
			f.accept(e)
		}
	}
}

// close ends a session that the machine gave up: by an event, or since none came.
func (f *Follower) close(id uint64, e *store.WatchEvent) {
	w := f.open[id]
	if w == nil {
		return
	}
	w.cancel()
	delete(f.open, id)
	if e == nil {
		f.setFault(w, &NoAnswerError{})
	} else {
		f.setFault(w, &UnusableError{Revision: e.Revision, Seen: f.machine.HighestRevision()})
	}
}

// setFault notes why a session has ended. The status tells it while there is no other session.
func (f *Follower) setFault(w *watched, err error) {
	f.fault = fmt.Sprintf("%s (%s): %v", w.replica.Name, w.replica.Address, err)
	f.advice = advice.Of(err)
}

func (f *Follower) connect(ctx context.Context, a session.Action) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watched{replica: a.Replica, cancel: cancel, reports: make(chan store.WatchReport, 1)}
	f.open[a.Session] = w
	self := f.options.Self
	request := store.WatchRequest{
		Prefixes: self.Prefixes(), After: a.StartRevision,
		Session: store.SessionInfo{Name: self.Name, Region: self.Region, Zone: self.Zone, Service: self.Service},
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
		err := f.watch(ctx, f.options.Dial, w.replica.Address, request, w.reports, func(e store.WatchEvent) error {
			return hand(arrival{session: a.Session, event: &e})
		})
		hand(arrival{session: a.Session, end: err})
	}()
}

// accept takes over the records of an event, whole.
func (f *Follower) accept(e *store.WatchEvent) {
	before := f.settings.refused
	switch e.Kind {
	case store.Snapshot:
		f.settings.replace(e.Revision, records(e))
	case store.Change:
		f.settings.change(e.Revision, records(e))
	default:
		f.settings.advance(e.Revision)
	}
	if r := f.settings.refused; r != nil && r != before {
		f.log.WithFields(logrus.Fields{"revision": r.Revision, "fault": r.Fault, "advice": r.Advice}).
			Warn("settings refused: the last good ones stay in force")
	}
}

func records(e *store.WatchEvent) []scope.Record {
	list := make([]scope.Record, 0, len(e.Records))
	for _, r := range e.Records {
		list = append(list, scope.Record{Key: r.Key, Value: r.Value, Revision: r.Revision})
	}
	return list
}

// heard notes what an event of the current session says.
func (f *Follower) heard(a arrival) {
	if w := f.current(); w == nil || w != f.open[a.session] {
		return
	}
	if a.event.Kind == store.Heartbeat {
		f.setWord(time.Now().Add(-a.event.Age), a.event.Fleet)
	}
	if f.disk != nil && time.Since(f.disk.seenAt) >= seenEvery {
		f.saveSeen()
	}
}

// current is the current session; nil: there is none.
func (f *Follower) current() *watched {
	replica, ok := f.machine.Current()
	if !ok {
		return nil
	}
	for _, w := range f.open {
		if w.replica.Name == replica.Name {
			return w
		}
	}
	return nil
}

// report brings the newest report to the current session, if it differs from the last. The status tells the same already.
func (f *Follower) report() {
	w := f.current()
	if w == nil {
		return
	}
	r := store.WatchReport{InForce: f.settings.inForce.Revision}
	if refused := f.settings.refused; refused != nil {
		r.Refused, r.Fault = refused.Revision, refused.Fault
	}
	if w.reported && w.last == r {
		return
	}
	w.last, w.reported = r, true
	select {
	case <-w.reports:
	default:
	}
	w.reports <- r
}

// endOf tells the session machine why a session has ended.
func endOf(err error) session.End {
	var back *store.ComeBack
	var behind *store.ReplicaBehind
	var slow *store.WatcherTooSlow
	var control *store.NotControl
	var request *store.BadRequest
	var full *store.SessionsFull
	switch {
	case errors.As(err, &back):
		return session.End{Reason: session.RetryLater, RetryAfter: micros(back.After)}
	case errors.As(err, &behind):
		return session.End{Reason: session.Behind}
	case errors.As(err, &slow):
		return session.End{Reason: session.TooSlow}
	case errors.As(err, &full):
		return session.End{Reason: session.Full}
	case errors.As(err, &control), errors.As(err, &request):
		return session.End{Reason: session.ProtocolError}
	}
	return session.End{Reason: session.Lost}
}

func micros(d time.Duration) control.Micros { return control.Micros(d.Microseconds()) }
