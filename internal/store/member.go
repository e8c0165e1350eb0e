package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"beammux/control/member"
)

// Values of MemberChange.Do.
const (
	MemberAdd     = "add"     // add a learner, or change the address of a member
	MemberPromote = "promote" // make a learner a voter
	MemberRemove  = "remove"
)

// MemberChange is a request to change the membership of a group.
type MemberChange struct {
	Do      string `json:"do"`
	Node    string `json:"node"`
	Address string `json:"address,omitempty"` // of MemberAdd
	Force   bool   `json:"force,omitempty"`   // of MemberRemove: skip the safety checks that may be overridden
}

const memberTimeout = 500 * time.Millisecond // timeout for the answer of a member that is up

// ErrNoLeader is returned when the group has no leader and therefore accepts no writes.
var ErrNoLeader = errors.New("no leader")

// ChangeMember has the leader check a change and carry it out, and returns the change that was made. hop marks a request
// that was already forwarded once. If the change is not safe, the error is a *member.Refusal, or only its text if another
// member refused it.
func (n *Node) ChangeMember(ctx context.Context, c MemberChange, hop bool) (string, error) {
	for {
		done, err := n.changeMemberOnce(ctx, c, hop)
		var network net.Error
		if hop || !errors.Is(err, ErrNoLeader) && !errors.As(err, &network) {
			return done, err
		}
		select { // there is no leader, or the known leader is unreachable
		case <-ctx.Done():
			return "", err
		case <-time.After(retryInterval):
		}
	}
}

// changeMemberOnce makes one attempt at a change: locally if this member leads, otherwise by forwarding it to the leader.
func (n *Node) changeMemberOnce(ctx context.Context, c MemberChange, hop bool) (string, error) {
	if !n.Leader() {
		addr, _ := n.raft.LeaderWithID()
		if addr == "" || n.layer == nil || hop {
			return "", ErrNoLeader
		}
		data, err := json.Marshal(command{Op: opMember, Member: &c, Hop: true})
		if err != nil {
			return "", err
		}
		r, err := forward(ctx, string(addr), data)
		return r.Done, err
	}
	f := n.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return "", err
	}
	g := n.memberGroup(ctx, f.Configuration())
	var do member.Change
	var err error
	switch c.Do {
	case MemberAdd:
		do, err = g.Add(c.Node, c.Address)
	case MemberPromote:
		do, err = g.Promote(c.Node)
	case MemberRemove:
		do, err = g.Remove(c.Node, c.Force)
	default:
		err = fmt.Errorf("unknown change of members %q", c.Do)
	}
	if err != nil {
		return "", err
	}
	return string(do), n.applyMemberChange(do, c, f.Configuration(), f.Index())
}

// applyMemberChange makes a change that was allowed for the configuration conf with the given index. Raft rejects it if
// the configuration has a different index by then, so two concurrent changes can't both be made.
func (n *Node) applyMemberChange(do member.Change, c MemberChange, conf raft.Configuration, index uint64) error {
	id, address := raft.ServerID(c.Node), raft.ServerAddress(c.Address)
	voter := false
	for _, s := range conf.Servers {
		if s.ID == id {
			voter = s.Suffrage == raft.Voter
			if address == "" {
				address = s.Address
			}
		}
	}
	switch {
	case do == member.AddLearner, do == member.ChangeAddress && !voter:
		return n.raft.AddNonvoter(id, address, index, applyTimeout).Error()
	case do == member.PromoteLearner, do == member.ChangeAddress:
		return n.raft.AddVoter(id, address, index, applyTimeout).Error()
	case do == member.RemoveMember:
		return n.raft.RemoveServer(id, index, applyTimeout).Error()
	}
	return nil
}

// memberGroup returns the leader's view of its members. It queries all of them concurrently.
func (n *Node) memberGroup(ctx context.Context, conf raft.Configuration) *member.Group {
	g := &member.Group{Leader: n.id, Members: make([]member.Member, len(conf.Servers))}
	last := n.raft.LastIndex()
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	var all sync.WaitGroup
	for i, s := range conf.Servers {
		g.Members[i] = member.Member{Node: string(s.ID), Address: string(s.Address), Voter: s.Suffrage == raft.Voter}
		if string(s.ID) == n.id {
			g.Members[i].Up = true
			continue
		}
		all.Go(func() {
			m := &g.Members[i]
			st, err := StatusFrom(ctx, m.Address)
			if err == nil && st.Node == m.Node {
				m.Up, m.Lag = true, last-min(st.LastLogIndex, last)
			}
		})
	}
	all.Wait()
	return g
}

// ChangeMemberAt requests a change of members through the member at an address.
func ChangeMemberAt(ctx context.Context, addr string, c MemberChange) (string, error) {
	r, err := sendWithRetry(ctx, addr, command{Op: opMember, Member: &c})
	return r.Done, err
}
