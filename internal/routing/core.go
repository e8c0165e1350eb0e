package routing

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/retry"
	"beammux/internal/actor"
	"beammux/internal/counting"
	"beammux/internal/history"
	"beammux/internal/loglimit"
)

// Core is the actor that owns the decision module (a control.Controller), the table of calls and their timers. Races between
// an answer, a withdrawal and a time-out are settled by the order in which they arrive in its mailbox.
type Core struct {
	*actor.Actor
	clock          clock
	module         *control.Controller
	log            logrus.FieldLogger
	orphans        Orphans       // receives releases of unknown calls; nil: they are ignored
	limits         *retry.Policy // limits of the calls that arrive from now on; nil: those of the settings
	peers          map[uint32]*Peer
	calls          map[string]*callState
	unanswered     int // calls without a final answer
	ended          endedCalls
	quotas         Quotas           // nil if there are none
	releaseGuard   control.Micros   // least time between the end of a call and a new set-up with the same id
	latestDeadline control.Micros   // upper bound of the deadlines of new calls; 0: no bound
	actions        []control.Action // not yet carried out; see handle
	handling       bool             // handle is carrying out actions
	onDrained      func()           // called once no call is unanswered

	recorder      Recorder // nil if nothing is recorded
	classes       []control.Class
	viewBuffer    []control.View          // reused for each read of the module's views
	recordedViews map[uint32]recordedView // by server
	viewsReadAt   control.Micros
	lastReports   map[uint32][]float64 // last recorded load report, by server

	endings          *loglimit.Limiter // log of calls that did not end in the ordinary way
	stats            *Stats
	observers        []Observer
	countedViews     []control.View // buffer of countTargets
	targetsCountedAt control.Micros
}

// NewCore creates a core and starts its module. eventRecorder may be nil: then nothing is recorded.
func NewCore(settings control.Settings, seed uint64, eventRecorder Recorder, log logrus.FieldLogger) *Core {
	c := &Core{Actor: actor.New(), clock: newClock(), module: control.New(settings, seed), log: log, peers: map[uint32]*Peer{},
		calls: map[string]*callState{}, releaseGuard: settings.ReleaseGuard,
		recorder: eventRecorder, classes: settings.Classes, recordedViews: map[uint32]recordedView{}, lastReports: map[uint32][]float64{},
		endings: loglimit.New(log), stats: newStats(len(settings.Classes))}
	c.Post(func() { c.handle(control.Start{}) })
	return c
}

// SetOrphans sets the receiver of releases of unknown calls. It must be called before any server is added.
func (c *Core) SetOrphans(o Orphans) { c.Post(func() { c.orphans = o }) }

// Observer receives the outcomes of calls and attempts. It must be safe for concurrent use and must not block.
type Observer interface {
	Observe(now control.Micros, event counting.Event)
}

// SetObservers sets the observers of calls and attempts. It must be called before any call arrives.
func (c *Core) SetObservers(receivers ...Observer) { c.observers = receivers }

// SetBusy informs the module that the fleet considers a number busy. at is the time of the latest busy answer, by the core's
// clock.
func (c *Core) SetBusy(number string, at control.Micros) {
	c.Post(func() { c.handle(control.BusyNumber{Key: number, At: at}) })
}

// SetInFlightLimit passes the module the in-flight limit of a server that the fleet ejects or readmits.
func (c *Core) SetInFlightLimit(limit control.InFlightLimit) { c.Post(func() { c.handle(limit) }) }

// observe reports an outcome of a call, or of its attempt at a server, to the observers; server is 0 for an outcome of a call.
// It is safe for concurrent use.
func (c *Core) observe(kind counting.Kind, s *Setup, server uint32) {
	for _, o := range c.observers {
		o.Observe(c.clock.now(), counting.Event{Kind: kind, Class: s.Class, Tenant: s.Tenant, Number: s.Key, Server: server})
	}
}

// SetLimits sets the limits of the calls that arrive from now on. Calls that have arrived keep their limits. The counts of the
// retry budget are carried over from the previous policy.
func (c *Core) SetLimits(policy *retry.Policy) {
	c.Post(func() {
		policy.InheritCounts(c.limits)
		c.limits = policy
	})
}

// Learned calls f from the core's actor with the state that the module has learned.
func (c *Core) Learned(f func(control.Learned)) { c.Post(func() { f(c.module.Learned()) }) }

// Recall restores the state that the module had learned before a restart. It must not be called before the list of servers is
// loaded.
func (c *Core) Recall(learned control.Learned) {
	c.Post(func() { c.handle(control.Recall{Learned: learned}) })
}

// Open starts the handling of a new call. The caller receives exactly one final answer, unless the call is withdrawn first.
func (c *Core) Open(s Setup, caller Caller) {
	arrived := c.clock.now()
	c.observe(counting.Arrived, &s, 0)
	c.Post(func() { c.open(s, caller, arrived) })
}

// open adds a call to the table and passes it to the module.
func (c *Core) open(s Setup, caller Caller, arrived control.Micros) {
	deadline := arrived + control.Micros(s.TimeLeft/time.Microsecond)
	if endedAt, ok := c.ended.endOf(s.ID); c.calls[s.ID] != nil || ok && c.clock.now()-endedAt < c.releaseGuard {
		// The id is in use: the first call continues unchanged, and the second caller gets a failure. The id of a call that has
		// ended is rejected until the release guard has passed: a set-up must not be sent with it before then.
		c.log.WithField("call", s.ID).Debug("set-up rejected: its id is in use by another call")
		c.stats.Class(s.Class).Error.Add(1)
		caller.Fail()
		return
	}
	if c.latestDeadline > 0 {
		deadline = min(deadline, c.latestDeadline)
	}
	limits := c.limits.For(s.Class, s.Key, s.FirstChoice, s.WasCut)
	if limits != nil && limits.GiveUp > 0 {
		deadline = min(deadline, arrived+limits.GiveUp)
	}
	call := &callState{Setup: s, caller: caller, arrived: arrived, deadline: deadline}
	c.calls[s.ID] = call
	c.unanswered++
	c.stats.Open.Store(int64(len(c.calls)))
	c.noteArrived(call, arrived)
	call.deadlineTimer = c.After(span(deadline-c.clock.now()), func() { c.deadlineReached(call) })
	var quota control.Quota
	if c.quotas != nil {
		if call.quota = c.quotas.For(&s); call.quota != nil {
			call.admission = &admission{core: c, callState: call}
			quota = call.admission
		}
	}
	c.handle(control.Call{Quota: quota, ID: s.ID, Class: s.Class, Tenant: s.Tenant, Key: s.Key, Deadline: deadline,
		FirstChoice: s.FirstChoice, WasCut: s.WasCut, Limits: limits, Excess: s.Excess})
}

// deadlineReached starts the module's grace period. The period is counted from this moment, not from the deadline: after a stall
// of the whole process the module's own timers are due at the same moment as this one, and may fire in any order.
func (c *Core) deadlineReached(call *callState) {
	if c.calls[call.ID] == call && !call.established {
		c.startGrace(call)
	}
}

// startGrace starts the module's grace period for a call.
func (c *Core) startGrace(call *callState) {
	call.graceEnds = c.clock.now() + control.Micros(decisionGrace.Microseconds())
	call.deadlineTimer = c.After(decisionGrace, func() { c.graceExpired(call) })
}

// renewGraceAfterStall starts the grace period again if the process was stalled during it, so that the module had no chance to
// use it, and reports whether it did so. It does so at most maxGraceRenewals times for one call.
func (c *Core) renewGraceAfterStall(call *callState) bool {
	late := c.clock.now() - call.graceEnds
	if late < control.Micros(stallThreshold.Microseconds()) || call.graceRenewals >= maxGraceRenewals {
		return false
	}
	call.graceRenewals++
	c.startGrace(call)
	return true
}

// graceExpired runs at the end of the grace period. It fails a call for which the module has made no final answer.
func (c *Core) graceExpired(call *callState) {
	if c.calls[call.ID] != call || call.established || c.renewGraceAfterStall(call) {
		return
	}
	c.log.WithField("call", call.ID).Error("no decision by the deadline: call failed")
	c.endAttempt(call, control.TimedOut, true)
	c.handle(control.Withdrawn{ID: call.ID})
	c.close(call)
	c.note(history.Event{Kind: history.Failed, Call: call.ID})
	c.stats.Class(call.Class).Error.Add(1)
	call.caller.Fail()
}

// Withdraw gives up a set-up whose caller no longer waits. It does not affect an established call, nor a call of another caller
// with the same id. done, if not nil, receives whether the set-up was withdrawn before its final answer.
func (c *Core) Withdraw(id string, caller Caller, done func(inTime bool)) {
	c.Post(func() {
		call := c.calls[id]
		inTime := call != nil && !call.established && call.caller == caller
		if inTime {
			c.withdraw(call)
		}
		if done != nil {
			done(inTime)
		}
	})
}

// withdraw gives up the set-up of a call that has no final answer yet.
func (c *Core) withdraw(call *callState) {
	c.handle(control.Withdrawn{ID: call.ID})
	c.endAttempt(call, control.Cancelled, true)
	c.close(call)
	c.note(history.Event{Kind: history.Gone, Call: call.ID})
}

// Hangup ends a call on behalf of its caller. An established call ends regardless of caller, but a set-up is given up only if
// caller is its own; a nil caller is not known and gives up no set-up. done, if not nil, receives whether the call was known.
func (c *Core) Hangup(id string, cause int, caller Caller, done func(known bool)) {
	if cause < 1 || cause > 127 { // outside the range of Q.850; a server need not accept it
		cause = CauseNormal
	}
	c.Post(func() {
		call := c.calls[id]
		if call != nil && call.established {
			c.releaseEstablished(call, cause)
		} else if call != nil && call.caller == caller {
			c.withdraw(call)
		}
		if done != nil {
			done(call != nil)
		}
	})
}

// releaseEstablished ends an established call and releases it at its server.
func (c *Core) releaseEstablished(call *callState, cause int) {
	a := call.current
	a.peer.release(call.refOf(a), cause)
	c.close(call)
	c.note(history.Event{Kind: history.Released, Call: call.ID, Server: a.server, N: int64(cause)})
	c.handle(control.AttemptEnded{ID: call.ID, Attempt: a.number, Server: a.server, Code: control.Cancelled,
		Elapsed: c.clock.now() - a.sentAt, Settled: true})
}

// close removes a call from the table.
func (c *Core) close(call *callState) {
	if !call.established {
		c.unanswered--
	}
	call.deadlineTimer.Stop()
	if call.admission != nil && call.admission.admitted {
		call.admission.admitted = false
		call.quota.Done()
	}
	delete(c.calls, call.ID)
	call.Body = nil // timers may still refer to the call
	c.stats.Open.Store(int64(len(c.calls)))
	if call.attempts > 0 { // a call that was never sent needs no release guard, and must not use memory during a flood
		c.ended.add(call.ID, c.clock.now())
	}
	c.checkDrained()
}

// handle passes one event to the module and carries out the resulting actions. Carrying out an action may call handle again:
// the nested invocation only appends its actions to c.actions, and the outer one carries them out.
func (c *Core) handle(event control.Event) {
	c.actions = append(c.actions, c.callModule(event)...) // copied: the module reuses its slice
	if c.handling {
		return
	}
	c.handling = true
	for len(c.actions) > 0 {
		action := c.actions[0]
		c.actions = c.actions[1:]
		c.execute(action)
	}
	c.handling = false
	c.noteViews()
	c.countTargets(c.clock.now())
}

// callModule passes one event to the module and recovers from a panic in it: one bad event must not end all calls. A call that
// is left without a decision is answered by its deadline timer.
func (c *Core) callModule(event control.Event) (actions []control.Action) {
	defer func() {
		if recovered := recover(); recovered != nil {
			c.log.WithField("event", fmt.Sprintf("%T", event)).Errorf("module panicked: %v", recovered)
		}
	}()
	return c.module.Handle(c.clock.now(), event)
}

// execute carries out one action of the module.
func (c *Core) execute(action control.Action) {
	call := c.calls[action.ID]
	if call != nil && call.established { // it has its final answer; the actions concern unanswered calls only
		call = nil
	}
	switch action.Kind {
	case control.Send:
		if call != nil {
			c.send(call, action)
		}
	case control.Refuse:
		if call != nil {
			c.refuse(call, action.Wait)
		}
	case control.Fail:
		if call != nil {
			c.fail(call)
		}
	case control.Cancel:
		if call != nil && call.current != nil && call.current.number == action.Attempt {
			c.endAttempt(call, control.Cancelled, false)
		}
	case control.SetTimer:
		c.After(span(action.At-c.clock.now()), func() { c.handle(control.Timer{Key: action.Key}) })
	case control.Watch: // nothing to do: updates of the list arrive without a request
	case control.Log:
		c.log.Info(action.Text)
	}
}

// refuse answers a call with a refusal. Its caller should not retry before wait has passed.
func (c *Core) refuse(call *callState, wait control.Micros) {
	c.close(call)
	c.note(history.Event{Kind: history.Refused, Call: call.ID, Span: wait})
	c.stats.Class(call.Class).Overload.Add(1)
	c.observe(counting.Refused, &call.Setup, 0)
	call.caller.Refuse(span(wait))
}

// fail answers a call with a failure.
func (c *Core) fail(call *callState) {
	c.close(call)
	c.note(history.Event{Kind: history.Failed, Call: call.ID})
	c.stats.Class(call.Class).Error.Add(1)
	c.observe(counting.Failed, &call.Setup, 0)
	call.caller.Fail()
}
