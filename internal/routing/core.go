package routing

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/retry"
	"beammux/internal/actor"
	"beammux/internal/counting"
	"beammux/internal/history"
)

// Causes (Q.850) of a release.
const (
	CauseNormal  = 16 // the call came to its end, or its set-up was given up
	CauseCongest = 34 // refused: trying again is harmless
	CauseFailed  = 41 // failed or cut
)

// Setup is a call as a front took it in.
type Setup struct {
	ID          string
	Class       int    // place in the settings, -1 for one that they don't name
	Tenant      int    // place in the settings, -1 where its front is not told one
	Key         string // number called
	FirstChoice int    // cell
	WasCut      bool
	Left        time.Duration // how long the caller still waits
	Body        []byte        // description, passed on unchanged
	Excess      bool          // more than its front takes at a time: it is refused at once, and goes to no server
}

// ValidKey tells whether a number called can stand in a request line. Servers close on what they can't read, and take
// along what else is open on that connection.
func ValidKey(key string) bool {
	for i := range len(key) {
		c := key[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && strings.IndexByte("-_.!~*'()&=+$,;?/%", c) < 0 {
			return false
		}
	}
	return len(key) <= maxKey
}

// MaxBody is the longest description: with its headers it must fit into a message of 16 KiB.
const MaxBody = 15 << 10

const maxKey = 128

// Caller is the front's end of one call. Its methods are called by the core's actor and must not block. Answer,
// Refuse and Fail are the final answer: one of them is called once, unless the call is withdrawn first.
type Caller interface {
	// Gone tells whether the caller has closed its connection or cancelled. The front says so at once and withdraws the call
	// as well: the withdrawal is what ends the call, in its turn; Gone keeps an attempt that is ahead of it in a mailbox or
	// a write queue from beginning. Any goroutine may ask.
	Gone() bool
	Answer(body []byte) bool // the call stands; false if the caller can no longer be told
	Refuse(wait time.Duration)
	Fail()
	Release(cause int) // a call that stood is over
}

// Orphans takes releases of calls that the core does not know: they stood before this process started.
type Orphans interface{ Orphan(id string, cause int) }

type attempt struct {
	number int
	server uint32
	peer   *Peer
	sentAt control.Micros
	expiry *time.Timer
	over   *atomic.Bool // given up: what of it was not written yet never is
}

type call struct {
	Setup
	caller   Caller
	arrived  control.Micros
	dropDead control.Micros
	attempts int
	out      *attempt // attempt that is out, or the one that stands
	stands   bool
	stoodAt  control.Micros
	overdue  *time.Timer
	quota    Quota
	admitted *admission // nil: nothing bounds it
	stray    bool       // a given-up attempt was answered late by the server where another is out
}

const (
	backstop    = 15 * time.Millisecond // past a caller's deadline; then the core itself answers
	rememberFor = 2 * time.Minute       // ids of calls that are over: a release told twice is passed on once
	rememberMax = 1 << 16               // so many at most, the newest, whatever the callers do
)

// Core is the module's actor: the only owner of the Controller, the table of calls and their timers. What races (an
// answer, a withdrawal, a time-out) is settled by the order in which it comes here.
type Core struct {
	*actor.Actor
	clock   clock
	module  *control.Controller
	log     logrus.FieldLogger
	orphans Orphans
	limits  *retry.Policy // of calls that come now; nil: as the settings say
	peers   map[uint32]*Peer
	calls   map[string]*call
	pending int // calls that are owed an answer
	over    memory
	quotas  Quotas // nil: none
	guard   control.Micros
	until   control.Micros // calls that come now are answered by then; 0: by their own time
	actions []control.Action
	busy    bool
	drained func() // told when nothing is owed

	recorder Recorder // nil: off
	classes  []control.Class
	views    []control.View
	viewed   map[uint32]viewed
	viewedAt control.Micros
	reported map[uint32][]float64

	figures   *Figures
	observers []Observer
	counted   []control.View
	countedAt control.Micros
}

// NewCore starts the module. records may be nil: then nothing is recorded.
func NewCore(set control.Settings, seed uint64, records Recorder, log logrus.FieldLogger) *Core {
	c := &Core{Actor: actor.New(), clock: newClock(), module: control.New(set, seed), log: log, peers: map[uint32]*Peer{},
		calls: map[string]*call{}, guard: set.ReleaseGuard,
		recorder: records, classes: set.Classes, viewed: map[uint32]viewed{}, reported: map[uint32][]float64{},
		figures: newFigures(len(set.Classes))}
	c.Post(func() { c.handle(control.Start{}) })
	return c
}

// SetOrphans names who is told of releases of unknown calls; it is called before any server is.
func (c *Core) SetOrphans(o Orphans) { c.Post(func() { c.orphans = o }) }

// Observer is told what is seen of calls and attempts, from any goroutine. It must not block.
type Observer interface {
	Observe(now control.Micros, seen counting.Seen)
}

// SetObservers names who is told. It is called before any call comes.
func (c *Core) SetObservers(to ...Observer) { c.observers = to }

// SetBusy tells the module of a number that the fleet holds to be busy, by an answer at a time of the core's clock.
func (c *Core) SetBusy(number string, at control.Micros) {
	c.Post(func() { c.handle(control.BusyNumber{Key: number, At: at}) })
}

// SetVerdict tells the module of a verdict of the fleet.
func (c *Core) SetVerdict(v control.Verdict) { c.Post(func() { c.handle(v) }) }

// saw counts what is seen of a call, or of its attempt at a server. Any goroutine may call it.
func (c *Core) saw(what counting.What, s *Setup, server uint32) {
	for _, o := range c.observers {
		o.Observe(c.clock.now(), counting.Seen{What: what, Class: s.Class, Tenant: s.Tenant, Number: s.Key, Server: server})
	}
}

// Quotas gives what bounds a call, nil where nothing does. It is called by the core's actor for each call that comes.
type Quotas interface{ For(s *Setup) Quota }

// Quota bounds one call. Done is called once, when a call that was let in is over.
type Quota interface {
	control.Quota
	Done()
}

// SetQuotas names what bounds calls. It is called before any call comes.
func (c *Core) SetQuotas(q Quotas) { c.quotas = q }

// admission asks a call's quota, and keeps what it lets in on record.
type admission struct {
	core *Core
	call *call
	let  bool
}

// Take implements control.Quota.
func (a *admission) Take(now control.Micros) (ok bool, wait control.Micros) {
	if ok, wait = a.call.quota.Take(now); ok {
		a.let = true
		a.core.note(history.Event{Kind: history.Admitted, Call: a.call.ID, Class: a.call.Class})
	}
	return ok, wait
}

// SetLimits puts limits in force for the calls that come from now on. A call lives by those that it began with. The
// budget's counts go on.
func (c *Core) SetLimits(p *retry.Policy) {
	c.Post(func() {
		p.Adopt(c.limits)
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
	c.saw(counting.Arrived, &s, 0)
	c.Post(func() { c.open(s, caller, at) })
}

func (c *Core) open(s Setup, caller Caller, arrived control.Micros) {
	dropDead := arrived + control.Micros(s.Left/time.Microsecond)
	if at, ok := c.over.at(s.ID); c.calls[s.ID] != nil || ok && c.clock.now()-at < c.guard {
		// The id is in use: the first call goes on by its own rules, and who asked second is told that this failed. An id
		// used again at once would be sent again within the release guard.
		c.log.WithField("call", s.ID).Debug("set-up with the id of another call")
		c.figures.Class(s.Class).Error.Add(1)
		caller.Fail()
		return
	}
	if c.until > 0 {
		dropDead = min(dropDead, c.until)
	}
	limits := c.limits.For(s.Class, s.Key, s.FirstChoice, s.WasCut)
	if limits != nil && limits.GiveUp > 0 {
		dropDead = min(dropDead, arrived+limits.GiveUp)
	}
	k := &call{Setup: s, caller: caller, arrived: arrived, dropDead: dropDead}
	c.calls[s.ID] = k
	c.pending++
	c.figures.Open.Store(int64(len(c.calls)))
	c.noteTaken(k, arrived)
	k.overdue = c.After(span(dropDead-c.clock.now())+backstop, func() { c.overdue(k) })
	var quota control.Quota
	if c.quotas != nil {
		if k.quota = c.quotas.For(&s); k.quota != nil {
			k.admitted = &admission{core: c, call: k}
			quota = k.admitted
		}
	}
	c.handle(control.Call{Quota: quota, ID: s.ID, Class: s.Class, Tenant: s.Tenant, Key: s.Key, DropDead: dropDead,
		FirstChoice: s.FirstChoice, WasCut: s.WasCut, Limits: limits, Excess: s.Excess})
}

// overdue guards the rule of one final answer against a module that gave none in time.
func (c *Core) overdue(k *call) {
	if c.calls[k.ID] != k || k.stands {
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

// Withdraw says that the caller of a set-up waits no longer. A call that stands is left alone, and so is another
// caller's of the same id. done, if not nil, hears whether that came before the final answer.
func (c *Core) Withdraw(id string, caller Caller, done func(inTime bool)) {
	c.Post(func() {
		k := c.calls[id]
		inTime := k != nil && !k.stands && k.caller == caller
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

// Hangup ends a call from the caller's side. Anyone may end a call that stands; a set-up is given up by its own caller
// alone, who may be nil where none is known. done hears whether the call was known.
func (c *Core) Hangup(id string, cause int, caller Caller, done func(known bool)) {
	if cause < 1 || cause > 127 { // Q.850 has no others, and a server need not read them
		cause = CauseNormal
	}
	c.Post(func() {
		k := c.calls[id]
		if k != nil && k.stands {
			c.release(k, cause)
		} else if k != nil && k.caller == caller {
			c.withdraw(k)
		}
		if done != nil {
			done(k != nil)
		}
	})
}

// release ends a call that stands from this side.
func (c *Core) release(k *call, cause int) {
	a := k.out
	a.peer.release(k.ID, cause)
	c.close(k)
	c.note(history.Event{Kind: history.Released, Call: k.ID, Server: a.server, N: int64(cause)})
	c.handle(control.Resolved{ID: k.ID, Attempt: a.number, Server: a.server, Code: control.Cancelled,
		Took: c.clock.now() - a.sentAt, Settled: true})
}

// close takes a call off the table.
func (c *Core) close(k *call) {
	if !k.stands {
		c.pending--
	}
	k.overdue.Stop()
	if k.admitted != nil && k.admitted.let {
		k.admitted.let = false
		k.quota.Done()
	}
	delete(c.calls, k.ID)
	c.figures.Open.Store(int64(len(c.calls)))
	if k.attempts > 0 { // what no server has heard of needs no guard, and a flood of it no memory
		c.over.add(k.ID, c.clock.now())
	}
	c.settled()
}

// AnswerWithin bounds the time of the calls that come from now on: each has its final answer after the span at the latest. The
// process may be killed then.
func (c *Core) AnswerWithin(d time.Duration) {
	c.Post(func() { c.until = c.clock.now() + control.Micros(d/time.Microsecond) })
}

// Drained calls f once no caller is owed an answer.
func (c *Core) Drained(f func()) {
	c.Post(func() {
		c.drained = f
		c.settled()
	})
}

// settled tells who waits for it that nothing is owed. It is posted: the last answer is handed over by then, and not
// just about to be.
func (c *Core) settled() {
	if c.pending > 0 || c.drained == nil {
		return
	}
	c.Post(func() {
		if c.pending == 0 && c.drained != nil {
			f := c.drained
			c.drained = nil
			f()
		}
	})
}

// endAttempt gives up the attempt that is out, if any, and reports its end.
func (c *Core) endAttempt(k *call, code control.Code, settled bool) {
	a := k.out
	if a == nil {
		return
	}
	k.out = nil
	a.over.Store(true)
	a.expiry.Stop()
	c.noteEnded(k, a, code)
	c.sawEnd(k, a, code)
	a.peer.cancel(ref{k.ID, a.number})
	k.sweep(a.peer)
	c.handle(control.Resolved{ID: k.ID, Attempt: a.number, Server: a.server, Code: code,
		Took: c.clock.now() - a.sentAt, Settled: settled})
}

// handle gives the module one event and carries out its actions. Events that the actions bring about are posted, so
// the module is never entered twice.
func (c *Core) handle(e control.Event) {
	c.actions = append(c.actions, c.ask(e)...) // the module reuses its slice
	if c.busy {
		return
	}
	c.busy = true
	for len(c.actions) > 0 {
		a := c.actions[0]
		c.actions = c.actions[1:]
		c.act(a)
	}
	c.busy = false
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
	if k != nil && k.stands {
		k = nil
	}
	switch a.Do {
	case control.Send:
		if k != nil {
			c.send(k, a)
		}
	case control.Refuse:
		if k != nil {
			c.close(k)
			c.note(history.Event{Kind: history.Refused, Call: k.ID, Span: a.Wait})
			c.figures.Class(k.Class).Overload.Add(1)
			c.saw(counting.Refused, &k.Setup, 0)
			k.caller.Refuse(span(a.Wait))
		}
	case control.Fail:
		if k != nil {
			c.close(k)
			c.note(history.Event{Kind: history.Failed, Call: k.ID})
			c.figures.Class(k.Class).Error.Add(1)
			c.saw(counting.Failed, &k.Setup, 0)
			k.caller.Fail()
		}
	case control.Cancel:
		if k != nil && k.out != nil && k.out.number == a.Attempt {
			c.endAttempt(k, control.Cancelled, false)
		}
	case control.Defer:
		c.After(span(a.At-c.clock.now()), func() { c.handle(control.Timer{Key: a.Key}) })
	case control.Watch: // the list comes by itself
	case control.Note:
		c.log.Info(a.Text)
	}
}

func (c *Core) send(k *call, a control.Action) {
	if k.caller.Gone() { // its withdrawal is on the way
		c.withdraw(k)
		return
	}
	now := c.clock.now()
	at := &attempt{number: k.attempts, server: a.Server, peer: c.peers[a.Server], sentAt: now, over: &atomic.Bool{}}
	k.attempts++
	left := k.dropDead - now
	if a.Wait > 0 {
		left = min(left, a.Wait)
	}
	if at.peer == nil || left <= 0 || k.out != nil {
		// Not on the list any more, too late, or a second copy: it never leaves.
		c.Post(func() {
			c.handle(control.Resolved{ID: k.ID, Attempt: at.number, Server: a.Server, Code: control.NotSent})
		})
		return
	}
	k.out = at
	at.expiry = c.After(span(left), func() {
		if c.calls[k.ID] == k && k.out == at && !k.stands {
			c.endAttempt(k, control.TimedOut, false)
		}
	})
	c.figures.Class(k.Class).Dispatches.Add(1)
	if len(c.observers) > 0 {
		c.saw(counting.Sent, &k.Setup, a.Server)
		c.After(OverdueAfter, func() {
			if c.calls[k.ID] == k && k.out == at && !k.stands {
				c.saw(counting.Overdue, &k.Setup, a.Server)
			}
		})
	}
	at.peer.setup(Attempt{ref: ref{k.ID, at.number}, Class: k.Class, Key: k.Key, Body: k.Body,
		Deadline: time.Now().Add(span(left)), level: c.levelOf(a.Server), over: at.over, caller: k.caller})
}

// sawEnd counts the end of an attempt that did not stand. What was never sent, or called off from this side, says nothing
// of its server.
func (c *Core) sawEnd(k *call, a *attempt, code control.Code) {
	switch code {
	case control.TimedOut:
		c.saw(counting.TimedOut, &k.Setup, a.server)
	case control.Full:
		c.saw(counting.Full, &k.Setup, a.server)
	case control.Failed, control.Cut, control.Unreachable:
		c.saw(counting.Errored, &k.Setup, a.server)
	}
}

// OverdueAfter is how long an attempt is out before that is seen as a sign of its server. Its end may come later.
const OverdueAfter = 400 * time.Millisecond

// attemptOf gives the call whose attempt is out and not yet ended, or nil: an attempt ends once.
func (c *Core) attemptOf(r ref) *call {
	k := c.calls[r.id]
	if k == nil || k.stands || k.out == nil || k.out.number != r.attempt {
		return nil
	}
	return k
}

// answered: a server says that the call stands.
func (c *Core) answered(p *Peer, r ref, body []byte) {
	k := c.attemptOf(r)
	if k == nil {
		c.late(p, r)
		return
	}
	a := k.out
	a.expiry.Stop()
	k.overdue.Stop()
	k.stands, k.stoodAt = true, c.clock.now()
	c.pending--
	c.figures.Class(k.Class).Success.Add(1)
	c.saw(counting.Stood, &k.Setup, 0)
	c.saw(counting.Answered, &k.Setup, a.server)
	c.note(history.Event{Kind: history.Stood, Call: k.ID, Attempt: a.number, Server: a.server, Span: k.stoodAt - k.arrived})
	told := k.caller.Answer(body)
	c.handle(control.Opened{ID: k.ID, Attempt: a.number, Server: a.server, Took: k.stoodAt - a.sentAt})
	if !told && c.calls[k.ID] == k {
		c.release(k, CauseNormal)
	}
	c.settled()
}

// late: an answer to a set-up that had been given up. The server is told that nobody wants it, but not while another
// attempt of the call is out or stands there: servers know a call by its id alone, and the release would end that one.
func (c *Core) late(p *Peer, r ref) {
	k := c.calls[r.id]
	switch {
	case k == nil || k.out == nil || k.out.peer != p:
		p.release(r.id, CauseNormal)
	case k.out.number != r.attempt:
		k.stray = true
	}
}

// sweep releases at a server what was answered late there, now that no attempt of the call is out at it.
func (k *call) sweep(p *Peer) {
	if k.stray {
		k.stray = false
		p.release(k.ID, CauseNormal)
	}
}

// Outcome is the end of an attempt as the wire saw it.
type Outcome struct {
	Code     control.Code
	Reason   int
	ToldWait control.Micros
	Report   []float64
}

// failed: an attempt ended without an answer.
func (c *Core) failed(r ref, o Outcome) {
	k := c.attemptOf(r)
	if k == nil {
		return
	}
	a := k.out
	k.out = nil
	a.expiry.Stop()
	c.noteEnded(k, a, o.Code)
	if o.Reason == control.LinesBusy { // the number's fault, not the server's
		c.saw(counting.Busy, &k.Setup, 0)
	} else {
		c.sawEnd(k, a, o.Code)
	}
	c.noteReport(a.server, o.Report)
	k.sweep(a.peer)
	c.handle(control.Resolved{ID: k.ID, Attempt: a.number, Server: a.server, Code: o.Code,
		Took: c.clock.now() - a.sentAt, Reason: o.Reason, ToldWait: o.ToldWait, Report: o.Report})
}

// released: a server says that a call which stood is over. One told twice is passed on once.
func (c *Core) released(p *Peer, id string, cause int, report []float64) {
	k := c.calls[id]
	if k == nil || !k.stands {
		if report != nil {
			c.noteReport(p.server, report)
			c.handle(control.Status{Server: p.server, Code: control.OK, Report: report})
		}
		if _, known := c.over.at(id); k == nil && !known && c.orphans != nil {
			c.over.add(id, c.clock.now())
			c.orphans.Orphan(id, cause)
		}
		return
	}
	code := control.OK
	if cause != CauseNormal {
		code = control.Cut
	}
	c.finish(k, code, cause, report)
}

// finish ends a call that stood from the server's side.
func (c *Core) finish(k *call, code control.Code, cause int, report []float64) {
	a := k.out
	c.close(k)
	c.note(history.Event{Kind: history.Released, Call: k.ID, Server: a.server, N: int64(cause)})
	c.noteReport(a.server, report)
	k.caller.Release(cause)
	c.handle(control.Resolved{ID: k.ID, Attempt: a.number, Server: a.server, Code: code,
		Took: c.clock.now() - a.sentAt, Settled: true, Report: report})
}

// died: the process behind a peer is gone, and with it the calls that stood there since before a time. Where that is
// not certain, the server is told that they are over.
func (c *Core) died(p *Peer, before control.Micros, tell bool) {
	for _, k := range c.calls {
		if k.stands && k.out.peer == p && k.stoodAt < before {
			if tell {
				p.release(k.ID, CauseNormal)
			}
			c.finish(k, control.Cut, CauseFailed, nil)
		}
	}
}

// status: free agents and the like, told unasked.
func (c *Core) status(p *Peer, report []float64) {
	c.noteReport(p.server, report)
	c.handle(control.Status{Server: p.server, Code: control.OK, Report: report})
}
