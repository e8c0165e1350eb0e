package node

import "beammux/internal/routing"

// Orphan passes on the release of a call that stood before this process started.
func (n *Node) Orphan(id string, cause int) {
	if n.agent == nil {
		n.front.Orphan(id, cause)
		return
	}
	n.agent.Orphan(id, cause, func() { n.front.Orphan(id, cause) })
}

// restarted is the core as the JSON front sees it: it also ends calls that stand at SIP servers since before this
// process started.
type restarted struct {
	*routing.Core
	node *Node
}

func (r restarted) Hangup(id string, cause int, caller routing.Caller, done func(known bool)) {
	r.Core.Hangup(id, cause, caller, func(known bool) {
		if !known && r.node.agent != nil {
			r.node.agent.OrphanHangup(id, cause)
		}
		done(known)
	})
}
