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
)

// Core is the module's actor: the only owner of the Controller, the table of calls and their timers. What races (an
// answer, a withdrawal, a time-out) is settled by the order in which it comes here.
type Core struct {
	*actor.Actor
	clock        clock
	module       *control.Controller
	log          logrus.FieldLogger
	orphans      Orphans
	limits       *retry.Policy // of calls that come now; nil: as the settings say
	peers        map[uint32]*Peer
	calls        map[string]*call
	unanswered   int // calls without a final answer
	ended        endedCalls
	quotas       Quotas // nil: none
	releaseGuard control.Micros
	answerBy     control.Micros // calls that come now are answered by then; 0: by their own time
	actions      []control.Action
	handling     bool
	drained      func() // called once no call is unanswered

	recorder      Recorder // nil: off
	classes       []control.Class
	views         []control.View
	recordedViews map[uint32]recordedView
	viewedAt      control.Micros
	reported      map[uint32][]float64

	figures   *Stats
	observers []Observer
	counted   []control.View
	countedAt control.Micros
}

// NewCore starts the module. records may be nil: then nothing is recorded.
func NewCore(set control.Settings, seed uint64, records Recorder, log logrus.FieldLogger) *Core {
	c := &Core{Actor: actor.New(), clock: newClock(), module: control.New(set, seed), log: log, peers: map[uint32]*Peer{},
		calls: map[string]*call{}, releaseGuard: set.ReleaseGuard,
		recorder: records, classes: set.Classes, recordedViews: map[uint32]recordedView{}, reported: map[uint32][]float64{},
		figures: newFigures(len(set.Classes))}
	c.Post(func() { c.handle(control.Start{}) })
	return c
}

// SetOrphans sets who receives releases of unknown calls. It must be called before any server is added.
func (c *Core) SetOrphans(o Orphans) { c.Post(func() { c.orphans = o }) }

// Observer receives the outcomes of calls and attempts, from any goroutine. It must not block.
type Observer interface {
	Observe(now control.Micros, seen counting.Event)
}

// SetObservers sets the observers. It must be called before any call arrives.
func (c *Core) SetObservers(to ...Observer) { c.observers = to }

// SetBusy tells the module of a number that the fleet holds to be busy, by an answer at a time of the core's clock.
func (c *Core) SetBusy(number string, at control.Micros) {
	c.Post(func() { c.handle(control.BusyNumber{Key: number, At: at}) })
}

// SetInFlightLimit hands the module the limit for a server that the fleet ejects or readmits.
func (c *Core) SetInFlightLimit(limit control.InFlightLimit) { c.Post(func() { c.handle(limit) }) }

// observe reports an outcome of a call, or of its attempt at a server, to the observers. It is safe for concurrent use.
func (c *Core) observe(what counting.Kind, s *Setup, server uint32) {
	for _, o := range c.observers {
		o.Observe(c.clock.now(), counting.Event{Kind: what, Class: s.Class, Tenant: s.Tenant, Number: s.Key, Server: server})
	}
}

// SetLimits puts limits in force for the calls that come from now on. A call lives by those that it began with. The
// budget's counts go on.
func (c *Core) SetLimits(p *retry.Policy) {
	c.Post(func() {
		p.InheritCounts(c.limits)
		c.limits = p
	})
}

// Learned hands what the module has learned to f, from the core's actor.
func (c *Core) Learned(f func(control.Learned)) { c.Post(func() { f(c.module.Learned()) }) }

// Recall gives the module what it had learned before this start. It is called once the list is loaded.
func (c *Core) Recall(l control.Learned) {
	c.Post(func() { c.handle(control.Recall{Learned: l}) })
}

// Open takes in a call.
func (c *Core) Open(s Setup, caller Caller) {
	at := c.clock.now()
	c.observe(counting.Arrived, &s, 0)
	c.Post(func() { c.open(s, caller, at) })
}

func (c *Core) open(s Setup, caller Caller, arrived control.Micros) {
	deadline := arrived + control.Micros(s.TimeLeft/time.Microsecond)
	if at, ok := c.ended.endOf(s.ID); c.calls[s.ID] != nil || ok && c.clock.now()-at < c.releaseGuard {
		// The id is in use: the first call goes on by its own rules, and the second caller gets a failure. An id
		// used again at once would be sent again within the release guard.
		c.log.WithField("call", s.ID).Debug("set-up with the id of another call")
		c.figures.Class(s.Class).Error.Add(1)
		caller.Fail()
		return
	}
	if c.answerBy > 0 {
		deadline = min(deadline, c.answerBy)
	}
	limits := c.limits.For(s.Class, s.Key, s.FirstChoice, s.WasCut)
	if limits != nil && limits.GiveUp > 0 {
		deadline = min(deadline, arrived+limits.GiveUp)
	}
	k := &call{Setup: s, caller: caller, arrived: arrived, deadline: deadline}
	c.calls[s.ID] = k
	c.unanswered++
	c.figures.Open.Store(int64(len(c.calls)))
	c.noteTaken(k, arrived)
	k.deadlineTimer = c.After(span(deadline-c.clock.now()), func() { c.deadlineReached(k) })
	var quota control.Quota
	if c.quotas != nil {
		if k.quota = c.quotas.For(&s); k.quota != nil {
			k.admission = &admission{core: c, call: k}
			quota = k.admission
		}
	}
	c.handle(control.Call{Quota: quota, ID: s.ID, Class: s.Class, Tenant: s.Tenant, Key: s.Key, Deadline: deadline,
		FirstChoice: s.FirstChoice, WasCut: s.WasCut, Limits: limits, Excess: s.Excess})
}

// deadlineReached gives the module its grace from here on, not from the deadline: where the whole process stood still, the
// module's own timers are due at the same moment and may come in any order.
func (c *Core) deadlineReached(k *call) {
	if c.calls[k.ID] == k && !k.established {
		c.grantGrace(k)
	}
}

// grantGrace gives the module its grace from now on.
func (c *Core) grantGrace(k *call) {
	k.graceEnds = c.clock.now() + control.Micros(decisionGrace.Microseconds())
	k.deadlineTimer = c.After(decisionGrace, func() { c.deadlinePassed(k) })
}

// stalledInGrace tells whether the process stood still during the grace, so that the module did not have it, and grants it
// anew, maxGraces times at most.
func (c *Core) stalledInGrace(k *call) bool {
	late := c.clock.now() - k.graceEnds
	if late < control.Micros(graceStall.Microseconds()) || k.graces >= maxGraces {
		return false
	}
	k.graces++
	c.grantGrace(k)
	return true
}

// deadlinePassed fails a call for which the module gave no final answer in time.
func (c *Core) deadlinePassed(k *call) {
	if c.calls[k.ID] != k || k.established || c.stalledInGrace(k) {
		return
	}
	c.log.WithField("call", k.ID).Error("no decision by the deadline: call failed")
	c.endAttempt(k, control.TimedOut, true)
	c.handle(control.Withdrawn{ID: k.ID})
	c.close(k)
	c.note(history.Event{Kind: history.Failed, Call: k.ID})
	c.figures.Class(k.Class).Error.Add(1)
	k.caller.Fail()
}

// Withdraw gives up a set-up whose caller waits no longer. An established call is left alone, and so is another
// caller's of the same id. done, if not nil, is called with whether that came before the final answer.
func (c *Core) Withdraw(id string, caller Caller, done func(inTime bool)) {
	c.Post(func() {
		k := c.calls[id]
		inTime := k != nil && !k.established && k.caller == caller
		if inTime {
			c.withdraw(k)
		}
		if done != nil {
			done(inTime)
		}
	})
}

func (c *Core) withdraw(k *call) {
	c.handle(control.Withdrawn{ID: k.ID})
	c.endAttempt(k, control.Cancelled, true)
	c.close(k)
	c.note(history.Event{Kind: history.Gone, Call: k.ID})
}

// Hangup ends a call from the caller's side. Anyone may end an established call; a set-up is given up by its own caller
// alone, who may be nil where none is known. done is called with whether the call was known.
func (c *Core) Hangup(id string, cause int, caller Caller, done func(known bool)) {
	if cause < 1 || cause > 127 { // Q.850 has no others, and a server need not read them
		cause = CauseNormal
	}
	c.Post(func() {
		k := c.calls[id]
		if k != nil && k.established {
			c.releaseEstablished(k, cause)
		} else if k != nil && k.caller == caller {
			c.withdraw(k)
		}
		if done != nil {
			done(k != nil)
		}
	})
}

// releaseEstablished ends an established call from this side.
func (c *Core) releaseEstablished(k *call, cause int) {
	a := k.current
	a.peer.release(k.ID, cause)
	c.close(k)
	c.note(history.Event{Kind: history.Released, Call: k.ID, Server: a.server, N: int64(cause)})
	c.handle(control.AttemptEnded{ID: k.ID, Attempt: a.number, Server: a.server, Code: control.Cancelled,
		Elapsed: c.clock.now() - a.sentAt, Settled: true})
}

// close takes a call off the table.
func (c *Core) close(k *call) {
	if !k.established {
		c.unanswered--
	}
	k.deadlineTimer.Stop()
	if k.admission != nil && k.admission.admitted {
		k.admission.admitted = false
		k.quota.Done()
	}
	delete(c.calls, k.ID)
	c.figures.Open.Store(int64(len(c.calls)))
	if k.attempts > 0 { // a call that was never sent needs no release guard, and must use no memory in a flood
		c.ended.add(k.ID, c.clock.now())
	}
	c.checkDrained()
}

// AnswerWithin bounds the time of the calls that come from now on: each has its final answer after the span at the latest. The
// process may be killed then.
func (c *Core) AnswerWithin(d time.Duration) {
	c.Post(func() { c.answerBy = c.clock.now() + control.Micros(d/time.Microsecond) })
}

// OnDrained calls f once no caller is owed an answer.
func (c *Core) OnDrained(f func()) {
	c.Post(func() {
		c.drained = f
		c.checkDrained()
	})
}

// checkDrained calls the function given to Drained if no call is unanswered. It is posted, so that the last answer has been
// handed over by then.
func (c *Core) checkDrained() {
	if c.unanswered > 0 || c.drained == nil {
		return
	}
	c.Post(func() {
		if c.unanswered == 0 && c.drained != nil {
			f := c.drained
			c.drained = nil
			f()
		}
	})
}

// handle gives the module one event and carries out its actions. Events that the actions bring about are posted, so
// the module is never entered twice.
func (c *Core) handle(e control.Event) {
	c.actions = append(c.actions, c.ask(e)...) // the module reuses its slice
	if c.handling {
		return
	}
	c.handling = true
	for len(c.actions) > 0 {
		a := c.actions[0]
		c.actions = c.actions[1:]
		c.act(a)
	}
	c.handling = false
	c.noteViews()
	c.countTargets(c.clock.now())
}

// ask guards against a panic in the module: one bad event must not end all calls. The overdue timer answers the call.
func (c *Core) ask(e control.Event) (actions []control.Action) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithField("event", fmt.Sprintf("%T", e)).Errorf("module panicked: %v", p)
		}
	}()
	return c.module.Handle(c.clock.now(), e)
}

func (c *Core) act(a control.Action) {
	k := c.calls[a.ID]
	if k != nil && k.established {
		k = nil
	}
	switch a.Kind {
	case control.Send:
		if k != nil {
			c.send(k, a)
		}
	case control.Refuse:
		if k != nil {
			c.close(k)
			c.note(history.Event{Kind: history.Refused, Call: k.ID, Span: a.Wait})
			c.figures.Class(k.Class).Overload.Add(1)
			c.observe(counting.Refused, &k.Setup, 0)
			k.caller.Refuse(span(a.Wait))
		}
	case control.Fail:
		if k != nil {
			c.close(k)
			c.note(history.Event{Kind: history.Failed, Call: k.ID})
			c.figures.Class(k.Class).Error.Add(1)
			c.observe(counting.Failed, &k.Setup, 0)
			k.caller.Fail()
		}
	case control.Cancel:
		if k != nil && k.current != nil && k.current.number == a.Attempt {
			c.endAttempt(k, control.Cancelled, false)
		}
	case control.SetTimer:
		c.After(span(a.At-c.clock.now()), func() { c.handle(control.Timer{Key: a.Key}) })
	case control.Watch: // the list comes by itself
	case control.Log:
		c.log.Info(a.Text)
	}
}
