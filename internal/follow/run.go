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

// watchFunc has the signature of store.WatchSession; tests replace it.
type watchFunc func(ctx context.Context, dial store.Dial, address string, r store.WatchRequest, reports <-chan store.WatchReport, handle func(store.WatchEvent) error) error

// watchSession is an open watch session.
type watchSession struct {
	replica session.Replica
	cancel  context.CancelFunc
	reports chan store.WatchReport // buffers at most the newest report
	last    store.WatchReport
	// reported reports whether last was passed to the session.
	reported bool
}

// sessionMessage is a message from a session's goroutine: an event, or the end of the session.
type sessionMessage struct {
	session uint64            // ID of the session
	event   *store.WatchEvent // nil: the session has ended
	end     error             // reason of the end
}

// run handles session events and executes the actions of the session machine, until ctx is done.
func (f *Follower) run(ctx context.Context) {
	defer f.work.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if wakeTime, ok := f.machine.NextTick(); ok {
			timer.Reset(time.Duration(wakeTime-f.now()) * time.Microsecond)
		}
		select {
		case <-ctx.Done():
			f.closeSessions()
			return
		case message := <-f.messages:
			f.handleMessage(ctx, message)
		case <-timer.C:
			f.handlePending(ctx)
			f.execute(ctx, f.machine.Tick(f.now()), nil)
		}
		f.updateStatus()
		f.sendReport()
	}
}

// handlePending handles one pending message per session, if there are any. It runs before the session machine checks its
// timeouts: a slow Apply must not close the session whose heartbeats were waiting in the meantime.
func (f *Follower) handlePending(ctx context.Context) {
	for range len(f.open) {
		select {
		case message := <-f.messages:
			f.handleMessage(ctx, message)
		default:
			return
		}
	}
}

// closeSessions closes all sessions and saves the highest revision seen.
func (f *Follower) closeSessions() {
	for _, w := range f.open {
		w.cancel()
	}
	if f.disk != nil {
		f.saveSeen()
	}
}

// handleMessage handles an event or the end of a session.
func (f *Follower) handleMessage(ctx context.Context, message sessionMessage) {
	if message.event != nil {
		e := session.Event{
			Kind: eventKind(message.event.Kind), Revision: message.event.Revision, LeaderlessFor: micros(message.event.Age), HeartbeatInterval: micros(message.event.Every),
		}
		f.execute(ctx, f.machine.HandleEvent(f.now(), message.session, e), message.event)
		f.recordContact(message)
		return
	}
	w := f.open[message.session]
	if w == nil {
		return
	}
	w.cancel()
	delete(f.open, message.session)
	f.setFault(w, message.end)
	f.execute(ctx, f.machine.HandleEnd(f.now(), message.session, sessionEnd(message.end)), nil)
}

// eventKind converts the kind of a watch event.
func eventKind(k store.WatchKind) session.EventKind {
	switch k {
	case store.Snapshot:
		return session.Snapshot
	case store.Change:
		return session.Change
	}
	return session.Heartbeat
}

// execute executes the actions of the session machine. e is the event that caused them, or nil.
func (f *Follower) execute(ctx context.Context, actions []session.Action, e *store.WatchEvent) {
	for _, a := range actions {
		switch a.Type {
		case session.Connect:
			f.connect(ctx, a)
		case session.Close:
			f.closeSession(a.Session, e)
		case session.Accept:
			f.accept(e)
		}
	}
}

// closeSession closes a session at the request of the session machine, because of the unusable event e or, if e is nil,
// because of a timeout.
func (f *Follower) closeSession(id uint64, e *store.WatchEvent) {
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

// setFault records why a session has ended. The status reports it until another session is established.
func (f *Follower) setFault(w *watchSession, err error) {
	f.fault = fmt.Sprintf("%s (%s): %v", w.replica.Name, w.replica.Address, err)
	f.advice = advice.Of(err)
}

// connect opens the session that an action requests, in its own goroutine.
func (f *Follower) connect(ctx context.Context, a session.Action) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watchSession{replica: a.Replica, cancel: cancel, reports: make(chan store.WatchReport, 1)}
	f.open[a.Session] = w
	self := f.options.Self
	request := store.WatchRequest{
		Prefixes: self.Prefixes(), After: a.StartRevision,
		Session: store.SessionInfo{Name: self.Name, Region: self.Region, Zone: self.Zone, Service: self.Service},
	}
	f.work.Add(1)
	go func() {
		defer f.work.Done()
		deliver := func(a sessionMessage) error {
			select {
			case f.messages <- a:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		err := f.watch(ctx, f.options.Dial, w.replica.Address, request, w.reports, func(e store.WatchEvent) error {
			return deliver(sessionMessage{session: a.Session, event: &e})
		})
		deliver(sessionMessage{session: a.Session, end: err})
	}()
}

// accept applies all records of an event to the settings.
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

// records converts the records of an event.
func records(e *store.WatchEvent) []scope.Record {
	list := make([]scope.Record, 0, len(e.Records))
	for _, r := range e.Records {
		list = append(list, scope.Record{Key: r.Key, Value: r.Value, Revision: r.Revision})
	}
	return list
}

// recordContact records the leader contact of a heartbeat on the current session, and saves the highest revision seen every
// seenInterval. Events of other sessions are ignored.
func (f *Follower) recordContact(message sessionMessage) {
	if w := f.currentSession(); w == nil || w != f.open[message.session] {
		return
	}
	if message.event.Kind == store.Heartbeat {
		f.recordLeaderContact(time.Now().Add(-message.event.Age), message.event.Fleet)
	}
	if f.disk != nil && time.Since(f.disk.seenWriteTime) >= seenInterval {
		f.saveSeen()
	}
}

// currentSession returns the current session, or nil if there is none.
func (f *Follower) currentSession() *watchSession {
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

// sendReport passes a report to the current session if it differs from the last one. The status has been updated before.
func (f *Follower) sendReport() {
	w := f.currentSession()
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

// sessionEnd converts the error that ended a session to the form of the session machine.
func sessionEnd(err error) session.End {
	var comeBack *store.ComeBack
	var replicaBehind *store.ReplicaBehind
	var tooSlow *store.WatcherTooSlow
	var notControl *store.NotControl
	var badRequest *store.BadRequest
	var sessionsFull *store.SessionsFull
	switch {
	case errors.As(err, &comeBack):
		return session.End{Reason: session.RetryLater, RetryAfter: micros(comeBack.After)}
	case errors.As(err, &replicaBehind):
		return session.End{Reason: session.Behind}
	case errors.As(err, &tooSlow):
		return session.End{Reason: session.TooSlow}
	case errors.As(err, &sessionsFull):
		return session.End{Reason: session.Full}
	case errors.As(err, &notControl), errors.As(err, &badRequest):
		return session.End{Reason: session.ProtocolError}
	}
	return session.End{Reason: session.Lost}
}

// micros converts a duration.
func micros(d time.Duration) control.Micros { return control.Micros(d.Microseconds()) }
