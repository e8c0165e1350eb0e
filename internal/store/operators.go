package store

// SessionCount returns the number of sessions that this member serves; 0 if it is not a control machine.
func (n *Node) SessionCount() int {
	if n.sessions == nil {
		return 0
	}
	return len(n.sessions.allSessions())
}

// FleetCounts returns the counts of all sessions that this control machine last collected; nil if it is not a control
// machine or has not collected any yet.
func (n *Node) FleetCounts() *FleetCounts {
	if n.sessions == nil {
		return nil
	}
	n.sessions.mu.Lock()
	defer n.sessions.mu.Unlock()
	return n.sessions.fleetCounts
}

// StepDown transfers leadership to another voter, so that writes continue without an election when this member stops. It
// does nothing if this member is not the leader. After an error, the group elects a new leader once this member has stopped.
func (n *Node) StepDown() error {
	if !n.Leader() {
		return nil
	}
	return n.raft.LeadershipTransfer().Error()
}
