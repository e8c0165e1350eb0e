// Package member decides which membership changes of a store's group are safe: who may join, when a learner may become a
// voter, and who may be removed. It does no I/O and reads no clock; package store calls it on the leader and executes the
// permitted changes.
//
// A group can write while a majority of its voters is up (Raft, Ongaro and Ousterhout 2014, section 6; members change one
// at a time, Ongaro's thesis 2014, chapter 4). So a change is safe if a majority is still up after it. A new member joins
// as a learner without a vote and becomes a voter once it has nearly the whole log: a voter that is far behind raises the
// majority needed without being able to contribute to it.
package member

import (
	"fmt"
	"slices"
)

// Member is a member of the group as seen by the leader.
type Member struct {
	Node, Address string
	Voter         bool
	Up            bool   // it has just answered the leader
	Lag           uint64 // number of log entries that it lacks
}

// Group is the state of the group as known to the leader.
type Group struct {
	Members       []Member
	Leader        string
	ChangePending bool // a membership change is not committed yet
}

// MaxPromotionLag is the number of log entries that a learner may lack when it becomes a voter: less than one second of a
// busy store.
const MaxPromotionLag = 64

// Change is the kind of a membership change.
type Change string

// The kinds of membership changes.
const (
	NoChange       Change = "nothing" // the group is already in the requested state
	AddLearner     Change = "add"     // add the member as a learner
	ChangeAddress  Change = "move"    // change the address of a member; it keeps its vote
	PromoteLearner Change = "promote"
	RemoveMember   Change = "remove"
)

// RefusedError reports why a change is not safe, and whether it can be forced.
type RefusedError struct {
	Reason    string
	Forceable bool
}

// Error implements error.
func (r *RefusedError) Error() string {
	if r.Forceable {
		return r.Reason + "; use --force to do it anyway"
	}
	return r.Reason
}

func refuse(forceable bool, format string, args ...any) *RefusedError {
	return &RefusedError{fmt.Sprintf(format, args...), forceable}
}

func (g *Group) find(node string) *Member {
	if i := slices.IndexFunc(g.Members, func(m Member) bool { return m.Node == node }); i >= 0 {
		return &g.Members[i]
	}
	return nil
}

// voters returns the number of voters, and how many of them are up, leaving out one member.
func (g *Group) voters(except string) (all, up int) {
	for _, m := range g.Members {
		if m.Voter && m.Node != except {
			all++
			if m.Up {
				up++
			}
		}
	}
	return all, up
}

func majority(voters int) int { return voters/2 + 1 }

// Add decides on a member that wants to join, or that returns at another address.
func (g *Group) Add(node, address string) (Change, error) {
	if g.ChangePending {
		return NoChange, refuse(false, "another membership change is in progress; only one at a time is allowed")
	}
	if i := slices.IndexFunc(g.Members, func(m Member) bool { return m.Address == address && m.Node != node }); i >= 0 {
		return NoChange, refuse(false, "%s is the address of %s already", address, g.Members[i].Node)
	}
	m := g.find(node)
	switch {
	case m == nil:
		return AddLearner, nil
	case m.Address == address:
		return NoChange, nil
	case m.Up:
		return NoChange, refuse(false, "%s is up at %s: two members with one name would both vote", node, m.Address)
	}
	// The member is down, so changing its address does not take a running voter from the group.
	return ChangeAddress, nil
}

// Promote decides whether a learner may become a voter.
func (g *Group) Promote(node string) (Change, error) {
	m := g.find(node)
	switch {
	case g.ChangePending:
		return NoChange, refuse(false, "another membership change is in progress; only one at a time is allowed")
	case m == nil:
		return NoChange, refuse(false, "%s is not a member; add it first", node)
	case m.Voter:
		return NoChange, nil
	case !m.Up:
		return NoChange, refuse(false, "%s does not answer: as a voter it would raise the majority needed without contributing to it", node)
	case m.Lag > MaxPromotionLag:
		return NoChange, refuse(false, "%s lacks %d entries, at most %d are allowed: wait until it has caught up", node, m.Lag, MaxPromotionLag)
	}
	return PromoteLearner, nil
}

// Remove decides on the removal of a member. A removal that leaves no majority up can be forced; the removal of the last
// voter cannot.
func (g *Group) Remove(node string, force bool) (Change, error) {
	m := g.find(node)
	switch {
	case g.ChangePending:
		return NoChange, refuse(false, "another membership change is in progress; only one at a time is allowed")
	case m == nil:
		return NoChange, nil
	case !m.Voter:
		return RemoveMember, nil
	}
	all, up := g.voters(node)
	if all == 0 {
		return NoChange, refuse(false, "%s is the last voter: the group cannot exist without it", node)
	}
	if need := majority(all); up < need && !force {
		return NoChange, refuse(true, "of the %d voters left %d are up and %d are needed: the group could not write, and entries that only %s holds would be lost",
			all, up, need, node)
	}
	return RemoveMember, nil
}
