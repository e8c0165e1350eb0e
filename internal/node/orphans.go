package node

import "beammux/internal/routing"

// Orphan forwards the release of a call that was established before this process started to its caller.
func (n *Node) Orphan(id string, cause int) {
	if n.agent == nil {
		n.front.Orphan(id, cause)
		return
	}
	n.agent.Orphan(id, cause, func() { n.front.Orphan(id, cause) })
}

// orphanAwareCore is the core as the JSON front uses it. It also ends calls that were established at SIP servers before this
// process started.
type orphanAwareCore struct {
	*routing.Core
	node *Node
}

// Hangup ends a call. If the core does not know it, the SIP agent ends it.
func (c orphanAwareCore) Hangup(id string, cause int, caller routing.Caller, done func(known bool)) {
	c.Core.Hangup(id, cause, caller, func(known bool) {
		if !known && c.node.agent != nil {
			c.node.agent.OrphanHangup(id, cause)
		}
		done(known)
	})
}
