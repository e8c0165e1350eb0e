package store

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"golang.org/x/sync/errgroup"
)

// A group that is recreated after the loss of all its members starts with low revisions, and clients of the lost group reject
// them: for a client, revisions never decrease. Raising moves the group's revisions above any revision that such clients may
// hold. It is a replicated command, so every member applies it at the same log entry. It gives every record the new revision,
// as if one transaction had rewritten all of them, and resets the history, so that every session gets a snapshot.

// MaxRaise is the highest revision above which a group can be raised. It leaves enough revisions for all further raft
// indexes.
const MaxRaise = 1 << 62

// raiseFeature names the feature in an EarlierVersion error.
const raiseFeature = "raised revisions"

// raiseConfirmed is result.Done of a raise at a member that supports it.
const raiseConfirmed = "raised"

// raise raises the revision to above+1. If the revision is above that already, no record changes. The caller holds the lock,
// and m.index is the index of the command.
func (m *machine) raise(above uint64) result {
	if revision := m.index + m.offset; revision > above || above > MaxRaise {
		m.publish(revision, nil)
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
	for _, key := range keys { // after all records are changed: a watcher that is notified of one can read all of them
		m.notify(m.records[key])
	}
	if m.history != nil {
		m.history.reset(revision)
	}
	m.advance(revision)
	return result{Revision: revision, Done: raiseConfirmed}
}

// Raise raises the revisions of the group above a revision and returns the group's new revision. It changes nothing if the
// group is above that revision already. Every member must be up, because a member of an earlier version would continue with
// lower revisions than the others: otherwise the error is *MemberAway or *EarlierVersion, and nothing is changed.
func (n *Node) Raise(ctx context.Context, above uint64) (revision uint64, err error) {
	if err := checkRaise(above); err != nil {
		return 0, err
	}
	if err := n.requireRaise(ctx); err != nil {
		return 0, err
	}
	return n.write(ctx, command{Op: opRaise, At: above, Hop: true})
}

// RaiseTo is like Node.Raise, through the member at an address.
func RaiseTo(ctx context.Context, addr string, above uint64) (revision uint64, err error) {
	if err := checkRaise(above); err != nil {
		return 0, err
	}
	r, err := sendWithRetry(ctx, addr, command{Op: opRaise, At: above})
	switch {
	case err != nil:
		return 0, err
	case r.Done != raiseConfirmed:
		return 0, &EarlierVersion{raiseFeature, addr}
	}
	return r.Revision, nil
}

// checkRaise returns a *BadRequest if revisions can't be raised above a revision.
func checkRaise(above uint64) error {
	if above > MaxRaise {
		return &BadRequest{fmt.Sprintf("revisions can be raised above %d at most, not above %d", uint64(MaxRaise), above)}
	}
	return nil
}

// requireRaise returns an error unless all other members are up and their versions support raising revisions.
func (n *Node) requireRaise(ctx context.Context) error {
	f := n.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return err
	}
	var queries errgroup.Group
	for _, m := range f.Configuration().Servers {
		if string(m.ID) != n.id {
			queries.Go(func() error { return requireMemberRaise(ctx, string(m.ID), dialAddress(n.via, string(m.Address))) })
		}
	}
	return queries.Wait()
}

// requireMemberRaise returns an error unless a member is up and its version supports raising revisions.
func requireMemberRaise(ctx context.Context, name, address string) error {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	s, err := StatusFrom(ctx, address)
	switch {
	case err != nil:
		return &MemberAway{name, err.Error()}
	case !s.SupportsRaise:
		return &EarlierVersion{raiseFeature, name}
	}
	return nil
}

// MemberAway is returned when a member that must be up does not answer.
type MemberAway struct {
	Member string // name of the member
	Cause  string
}

func (e *MemberAway) Error() string {
	return fmt.Sprintf("member %s does not answer: %s", e.Member, e.Cause)
}

// Advice implements advice.Error.
func (e *MemberAway) Advice() string {
	return "start the member, or remove it from the group (beammux store member remove), and try again"
}
