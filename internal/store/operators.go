package store

// SessionCount is the number of sessions that this member serves; 0 where it is no control machine.
func (n *Node) SessionCount() int {
	if n.sessions == nil {
		return 0
	}
	return len(n.sessions.all())
}

// FleetCounts are what this control machine last gathered of all sessions; nil where it is none, or has gathered nothing.
func (n *Node) FleetCounts() *FleetCounts {
	if n.sessions == nil {
		return nil
	}
	n.sessions.mu.Lock()
	defer n.sessions.mu.Unlock()
	return n.sessions.fleet
}

// StepDown hands the lead to another voter before this member ends, so that writes go on at once. It does nothing where this
// member does not lead. With an error the group elects a leader by itself once this member is gone.
func (n *Node) StepDown() error {
	if !n.Leader() {
		return nil
	}
	return n.raft.LeadershipTransfer().Error()
}
