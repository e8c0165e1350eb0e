package store

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"golang.org/x/sync/errgroup"
)

// A group that is made anew, after the loss of all its members, begins with low revisions, and clients that followed the group
// before take nothing from it: for them revisions never go back. Raising lifts the group's revisions above all that such
// clients may hold. It is a command like any other, so every member does it at the same entry. It restamps every record, as
// if one transaction had written them all anew, and the history begins at it, so every session gets a snapshot.

// MaxRaise is the highest revision above which a group can be raised. It leaves as many revisions as raft has indexes.
const MaxRaise = 1 << 62

// raises is what a member of an earlier version does not know.
const raises = "raised revisions"

// raiseConfirmed is in the answer to a raise of a member that knows it.
const raiseConfirmed = "raised"

// raise lifts the revision above one; where it is above already nothing changes. The lock is held, and index is that of the
// command.
func (m *machine) raise(above uint64) result {
	if revision := m.index + m.offset; revision > above || above > MaxRaise {
		m.moved(revision, nil)
		return result{Revision: revision, Done: raiseConfirmed}
	}
	revision := above + 1
	m.offset = revision - m.index
	keys := slices.Sorted(maps.Keys(m.records))
	for _, key := range keys {
		r := m.records[key]
		r.Revision = revision
		m.records[key] = r
	}
	for _, key := range keys { // after all: who hears of one reads all
		m.tell(m.records[key])
	}
	if m.history != nil {
		m.history.reset(revision)
	}
	m.advance(revision)
	return result{Revision: revision, Done: raiseConfirmed}
}

// Raise lifts the revisions of the group above one and gives its revision then. Where it is above it already nothing changes.
// Every member must be up, since one of an earlier version would go on with lower revisions than the rest: the error is
// *MemberAway or *EarlierVersion otherwise, and nothing is done.
func (n *Node) Raise(ctx context.Context, above uint64) (revision uint64, err error) {
	if err := checkRaise(above); err != nil {
		return 0, err
	}
	if err := n.allRaise(ctx); err != nil {
		return 0, err
	}
	return n.write(ctx, command{Op: opRaise, At: above, Hop: true})
}

// RaiseTo is Node.Raise through the member at an address.
func RaiseTo(ctx context.Context, addr string, above uint64) (revision uint64, err error) {
	if err := checkRaise(above); err != nil {
		return 0, err
	}
	r, err := ask(ctx, addr, command{Op: opRaise, At: above})
	switch {
	case err != nil:
		return 0, err
	case r.Done != raiseConfirmed:
		return 0, &EarlierVersion{raises, addr}
	}
	return r.Revision, nil
}

func checkRaise(above uint64) error {
	if above > MaxRaise {
		return &BadRequest{fmt.Sprintf("revisions can be raised above %d at most, not %d", uint64(MaxRaise), above)}
	}
	return nil
}

// allRaise asks all members whether they are of a version that raises revisions.
func (n *Node) allRaise(ctx context.Context) error {
	f := n.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return err
	}
	var asked errgroup.Group
	for _, m := range f.Configuration().Servers {
		if string(m.ID) != n.id {
			asked.Go(func() error { return memberRaises(ctx, string(m.ID), through(n.via, string(m.Address))) })
		}
	}
	return asked.Wait()
}

func memberRaises(ctx context.Context, name, address string) error {
	ctx, cancel := context.WithTimeout(ctx, upWithin)
	defer cancel()
	s, err := StatusFrom(ctx, address)
	switch {
	case err != nil:
		return &MemberAway{name, err.Error()}
	case !s.SupportsRaise:
		return &EarlierVersion{raises, name}
	}
	return nil
}

// MemberAway says that a member which must be up does not answer.
type MemberAway struct {
	Member string // its name
	Cause  string
}

func (e *MemberAway) Error() string {
	return fmt.Sprintf("member %s does not answer: %s", e.Member, e.Cause)
}

// Advice implements advice.Error.
func (e *MemberAway) Advice() string {
	return "start the member, or remove it from the group (beammux store member remove), and try again"
}
