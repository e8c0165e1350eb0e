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

// What a MemberChange asks for.
const (
	MemberAdd     = "add"     // as a learner, or at its new address
	MemberPromote = "promote" // a learner gets its vote
	MemberRemove  = "remove"
)

// MemberChange is one change of a group's members.
type MemberChange struct {
	Do      string `json:"do"`
	Node    string `json:"node"`
	Address string `json:"address,omitempty"` // of add
	Force   bool   `json:"force,omitempty"`   // of remove
}

const upWithin = 500 * time.Millisecond // in which a member that is up answers

// ErrNoLeader says that a group can't change anything now.
var ErrNoLeader = errors.New("no leader")

// ChangeMember has the leader decide on a change and carry it out, and tells what was done. hop says that it was handed on
// already. The error is a *member.Refusal where the change is not safe, as a text where it comes from another member.
func (n *Node) ChangeMember(ctx context.Context, c MemberChange, hop bool) (string, error) {
	for {
		done, err := n.changeOnce(ctx, c, hop)
		var network net.Error
		if hop || !errors.Is(err, ErrNoLeader) && !errors.As(err, &network) {
			return done, err
		}
		select { // there is no leader, or the one that this member knows has gone
		case <-ctx.Done():
			return "", err
		case <-time.After(retryAfter):
		}
	}
}

func (n *Node) changeOnce(ctx context.Context, c MemberChange, hop bool) (string, error) {
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
	g := n.group(ctx, f.Configuration())
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
		err = fmt.Errorf("%q is no change of members", c.Do)
	}
	if err != nil {
		return "", err
	}
	return string(do), n.carryOut(do, c, f.Configuration(), f.Index())
}

// carryOut makes a change that was allowed, if the members are still those that it was decided on: raft refuses it when
// the configuration has another index by then, so two changes at once can't both be made.
func (n *Node) carryOut(do member.Change, c MemberChange, was raft.Configuration, index uint64) error {
	id, address := raft.ServerID(c.Node), raft.ServerAddress(c.Address)
	voter := false
	for _, s := range was.Servers {
		if s.ID == id {
			voter = s.Suffrage == raft.Voter
			if address == "" {
				address = s.Address
			}
		}
	}
	switch {
	case do == member.AddLearner, do == member.ChangeAddress && !voter:
		return n.raft.AddNonvoter(id, address, index, applyWithin).Error()
	case do == member.PromoteLearner, do == member.ChangeAddress:
		return n.raft.AddVoter(id, address, index, applyWithin).Error()
	case do == member.RemoveMember:
		return n.raft.RemoveServer(id, index, applyWithin).Error()
	}
	return nil
}

// group is what the leader sees of its members: all are asked at the same time.
func (n *Node) group(ctx context.Context, conf raft.Configuration) *member.Group {
	g := &member.Group{Leader: n.id, Members: make([]member.Member, len(conf.Servers))}
	last := n.raft.LastIndex()
	ctx, cancel := context.WithTimeout(ctx, upWithin)
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

// ChangeMemberAt asks any member for a change.
func ChangeMemberAt(ctx context.Context, addr string, c MemberChange) (string, error) {
	r, err := ask(ctx, addr, command{Op: opMember, Member: &c})
	return r.Done, err
}
