package node

import (
	"sync/atomic"
	"time"

	"beammux/control"
	"beammux/control/drain"
	"beammux/control/fleetview"
	"beammux/internal/history"
)

// Close stops the gatekeeper immediately and leaves open calls unanswered. Use Drain to stop one that serves callers.
func (n *Node) Close() {
	if n.ops.server != nil {
		n.ops.server.Close()
	}
	n.listener.Close()
	if n.agent != nil {
		n.agent.Close()
	}
	n.stop()
	n.stopRouting()
	n.closeFleetFeatures()
	n.publishers.Wait()
	if n.fleet != nil {
		n.fleet.Close()
	}
	n.store.Close()
	n.closeRecords()
}

// stopRouting stops the list, its connections and the core. No answers may be pending.
func (n *Node) stopRouting() {
	n.list.End()
	n.core.Post(n.core.Stop)
}

// Drain answers all calls that were accepted, then stops the gatekeeper.
func (n *Node) Drain() {
	n.log.Info("draining: answering the accepted calls")
	killAt := time.Now().Add(settleAfter + n.restartTime())
	n.core.Note(history.Event{Kind: history.Draining})
	n.startDrain((*drain.Drain).Shutdown)
	n.publishState(fleetview.Leaving)
	if n.agent != nil {
		n.agent.Drain()
	}
	time.Sleep(acceptFor)
	n.listener.Stop()
	time.Sleep(settleAfter - acceptFor)
	wait := n.beginSettling()
	wait()
	n.listener.Finish(min(flushTimeout, time.Until(killAt)-exitMargin))
	if n.agent != nil {
		n.agent.CloseWithin(min(flushTimeout, time.Until(killAt)-exitMargin))
	}
	n.stop()
	n.closeFleetFeatures()
	n.publishers.Wait()
	if n.fleet != nil {
		n.fleet.Leave()
	}
	if n.ops.server != nil {
		n.ops.server.Close()
	}
	n.store.Close()
	n.core.Note(history.Event{Kind: history.Finished})
	n.stopRouting()
	n.closeRecords()
	n.log.Info("drained")
}

// beginSettling bounds the time of all answers, and returns a function that waits until no answer is pending and
// no connection is left on which a set-up could still arrive. A set-up that is read after the last check for pending answers
// is on a connection that stays open until it is answered too. Callers that continue to send on open connections are served
// meanwhile, and receive their answers before the process may be killed. They do not delay the end: after half of the
// remaining time new set-ups are refused, and unread bytes no longer keep a connection open; at its end, less killMargin, all
// set-ups are ended that still wait, however long their callers would.
func (n *Node) beginSettling() (wait func()) {
	remaining := n.restartTime()
	n.core.AnswerWithin(max(0, remaining-killMargin))
	var late atomic.Bool
	refuseTimer := time.AfterFunc(remaining/2, func() {
		late.Store(true)
		n.front.TurnAway()
		if n.agent != nil {
			n.agent.TurnAway()
		}
	})
	endTimer := time.AfterFunc(max(0, remaining-killMargin)+abortDelay, func() {
		n.log.Info("draining: set-ups that still wait are ended")
		n.core.AbortAll()
	})
	return func() {
		defer refuseTimer.Stop()
		defer endTimer.Stop()
		for {
			drained := make(chan struct{})
			n.core.OnDrained(func() { close(drained) })
			<-drained
			if n.listener.FinishIdle(late.Load()) {
				return
			}
			time.Sleep(settleInterval)
		}
	}
}

// restartTime returns the minimum time that a planned restart leaves between settleAfter and SIGKILL: the longest deadline of a
// class, at most 3 s.
func (n *Node) restartTime() time.Duration {
	longest := control.Micros(0)
	for _, c := range n.cfg.Site.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(time.Duration(longest)*time.Microsecond, 3*time.Second)
}
