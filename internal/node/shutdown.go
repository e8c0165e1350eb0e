package node

import (
	"sync/atomic"
	"time"

	"beammux/control"
	"beammux/control/drain"
	"beammux/control/fleetview"
	"beammux/internal/history"
)

// Close ends the gatekeeper at once, without answering what is open. Drain is the way to end one that serves.
func (n *Node) Close() {
	if n.ops.server != nil {
		n.ops.server.Close()
	}
	n.listener.Close()
	if n.agent != nil {
		n.agent.Close()
	}
	n.stop()
	n.endRouting()
	n.closeShared()
	n.telling.Wait()
	if n.fleet != nil {
		n.fleet.Close()
	}
	n.store.Close()
	n.closeRecords()
}

// endRouting stops the list, its lines and the core: nothing is owed any more.
func (n *Node) endRouting() {
	n.list.End()
	n.core.Post(n.core.Stop)
}

// Drain answers all that was taken, then ends.
func (n *Node) Drain() {
	n.log.Info("draining: answering what was taken")
	n.core.Note(history.Event{Kind: history.Draining})
	n.sendAway((*drain.Drain).Shutdown)
	n.tellFleet(fleetview.Leaving)
	if n.agent != nil {
		n.agent.Drain()
	}
	time.Sleep(takeFor)
	n.listener.Stop()
	time.Sleep(openFor - takeFor)
	wait := n.beginSettling()
	wait()
	n.listener.Finish(flushFor)
	if n.agent != nil {
		n.agent.Close()
	}
	n.stop()
	n.closeShared()
	n.telling.Wait()
	if n.fleet != nil {
		n.fleet.Leave()
	}
	if n.ops.server != nil {
		n.ops.server.Close()
	}
	n.store.Close()
	n.core.Note(history.Event{Kind: history.Finished})
	n.endRouting()
	n.closeRecords()
	n.log.Info("drained")
}

// beginSettling bounds the time of all answers from now on, and returns a function that waits until nothing is owed and no
// connection is left on which something could come to be: what is read after the last look at "nothing is owed" is on a
// connection that stays open until it is answered too. Callers who go on sending on the connections that are kept are served
// meanwhile, and have their answers before the process may be killed; but they don't hold it: past half of that time what
// still comes is refused, and bytes that nobody has read keep no connection open.
func (n *Node) beginSettling() (wait func()) {
	left := n.restartTime()
	n.core.AnswerWithin(max(0, left-killSlack))
	var late atomic.Bool
	turnAway := time.AfterFunc(left/2, func() {
		late.Store(true)
		n.front.TurnAway()
		if n.agent != nil {
			n.agent.TurnAway()
		}
	})
	return func() {
		defer turnAway.Stop()
		for {
			drained := make(chan struct{})
			n.core.OnDrained(func() { close(drained) })
			<-drained
			if n.listener.FinishIdle(late.Load()) {
				return
			}
			time.Sleep(settleEvery)
		}
	}
}

// restartTime is what a planned restart gives at the least, past openFor, until SIGKILL: the longest deadline, 3 s at most.
func (n *Node) restartTime() time.Duration {
	longest := control.Micros(0)
	for _, c := range n.cfg.Site.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(time.Duration(longest)*time.Microsecond, 3*time.Second)
}
