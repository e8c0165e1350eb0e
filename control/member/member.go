// Package member decides which changes of a store's group are safe: who may join, when a learner may vote, and who may be
// removed. It does no I/O and reads no clock; package store asks it at the leader and carries out what it allows.
//
// A group writes while a majority of its voters is up (Raft, Ongaro and Ousterhout 2014, section 6; members change one at a
// time, Ongaro's thesis 2014, chapter 4). So a change is safe if a majority is up after it, too. A new member joins as a
// learner, which has no vote, and votes once it has nearly all that the others have: a voter that is far behind counts
// for the majority and can't make one.
package member

import (
	"fmt"
	"slices"
)

// Member is one of a group as the leader sees it.
type Member struct {
	Node, Address string
	Voter         bool
	Up            bool   // it answered just now
	Lag           uint64 // log entries that it lacks
}

// Group is what the leader knows.
type Group struct {
	Members       []Member
	Leader        string
	ChangePending bool // a change is not committed yet
}

// BehindMost is how many entries a learner may lack when it gets its vote: less than a second of a busy store.
const BehindMost = 64

// Change names what a change does.
type Change string

// The changes.
const (
	NoChange       Change = "nothing" // the group is so already
	AddLearner     Change = "add"     // as a learner
	ChangeAddress  Change = "move"    // the same member at another address; it keeps its vote
	PromoteLearner Change = "promote"
	RemoveMember   Change = "remove"
)

// RefusedError says why a change is not safe, and whether it can be forced.
type RefusedError struct {
	Reason    string
	Forceable bool
}

func (r *RefusedError) Error() string {
	if r.Forceable {
		return r.Reason + "; --force does it all the same"
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

// voters counts voters, and those of them that are up, leaving one member out.
func (g *Group) voters(without string) (all, up int) {
	for _, m := range g.Members {
		if m.Voter && m.Node != without {
			all++
			if m.Up {
				up++
			}
		}
	}
	return all, up
}

func majority(voters int) int { return voters/2 + 1 }

// Add decides on a member that wants to join, or that comes back at another address.
func (g *Group) Add(node, address string) (Change, error) {
	if g.ChangePending {
		return NoChange, refuse(false, "another change of members is on its way: one at a time")
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
		return NoChange, refuse(false, "%s is up at %s: two members of one name would both vote", node, m.Address)
	}
	// While it moves it is not up, so nothing is lost that was there.
	return ChangeAddress, nil
}

// Promote decides on a learner's vote.
func (g *Group) Promote(node string) (Change, error) {
	m := g.find(node)
	switch {
	case g.ChangePending:
		return NoChange, refuse(false, "another change of members is on its way: one at a time")
	case m == nil:
		return NoChange, refuse(false, "%s is not a member; add it first", node)
	case m.Voter:
		return NoChange, nil
	case !m.Up:
		return NoChange, refuse(false, "%s does not answer: as a voter it would count for the majority and not make one", node)
	case m.Lag > BehindMost:
		return NoChange, refuse(false, "%s lacks %d entries, %d at most: wait until it has them", node, m.Lag, BehindMost)
	}
	return PromoteLearner, nil
}

// Remove decides on taking a member out. What can be forced is what leaves no majority up; taking out the last voter can't.
func (g *Group) Remove(node string, force bool) (Change, error) {
	m := g.find(node)
	switch {
	case g.ChangePending:
		return NoChange, refuse(false, "another change of members is on its way: one at a time")
	case m == nil:
		return NoChange, nil
	case !m.Voter:
		return RemoveMember, nil
	}
	all, up := g.voters(node)
	if all == 0 {
		return NoChange, refuse(false, "%s is the last voter: without it the group is at its end", node)
	}
	if need := majority(all); up < need && !force {
		return NoChange, refuse(true, "of the %d voters left %d are up and %d are needed: nothing could be written, and what only %s holds would be lost",
			all, up, need, node)
	}
	return RemoveMember, nil
}
