package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// write commits a command at the leader and waits until this member has applied it too, so that the writer reads its own
// write. It retries while there is no leader.
func (n *Node) write(ctx context.Context, c command) (uint64, error) {
	r, err := n.commitAtLeader(ctx, c)
	if err != nil {
		return 0, err
	}
	switch {
	case r.Typed != nil:
		return 0, r.error(n.id)
	case r.Conflict:
		return 0, ErrRevision
	case c.Op == opTransact && r.Done != transactionConfirmed:
		return 0, &EarlierVersion{transactionFeature, leaderPlaceholder}
	case c.Op == opRaise && r.Done != raiseConfirmed:
		return 0, &EarlierVersion{raiseFeature, leaderPlaceholder}
	}
	return r.Revision, n.fsm.wait(ctx, r.Revision)
}

// commitAtLeader commits a command at the leader and returns the leader's result, without waiting for this member to apply it.
func (n *Node) commitAtLeader(ctx context.Context, c command) (result, error) {
	for {
		r, err := n.commitOnce(ctx, c)
		if err == nil || isPermanent(err) {
			return r, err
		}
		select {
		case <-ctx.Done():
			if errors.Is(err, ErrNoLeader) || errors.Is(err, ErrNotReady) {
				return r, fmt.Errorf("store: %w (%v)", ErrNotReady, ctx.Err())
			}
			return r, fmt.Errorf("store: %w (last: %v)", ctx.Err(), err)
		case <-time.After(retryInterval):
		}
	}
}

// Reduce applies a request to a record through its reducer and returns the reducer's answer. After a retry the request may
// be applied more than once, so the reducer must recognize repeated requests.
func (n *Node) Reduce(ctx context.Context, key string, request []byte) (answer []byte, err error) {
	r, err := n.commitAtLeader(ctx, command{Op: opReduce, Key: key, Value: request})
	return r.answer(err)
}

// answer returns the answer of a reduce, or the error that prevented it.
func (r result) answer(err error) ([]byte, error) {
	switch {
	case err != nil:
		return nil, err
	case r.Fault != "":
		return nil, errors.New(r.Fault)
	}
	return r.Answer, nil
}

// commitOnce makes one attempt to commit a command: locally if this member leads, otherwise by forwarding it to the leader.
func (n *Node) commitOnce(ctx context.Context, c command) (result, error) {
	if n.Leader() {
		return n.commit(ctx, c)
	}
	data, err := json.Marshal(c)
	if err != nil {
		return result{}, err
	}
	addr, _ := n.raft.LeaderWithID()
	if addr == "" || n.layer == nil {
		return result{}, ErrNoLeader
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.stopOnLeaderChange(ctx, addr, cancel)
	r, err := forward(ctx, dialAddress(n.via, string(addr)), data)
	if now, _ := n.raft.LeaderWithID(); err != nil && now != addr {
		return r, ErrNoLeader
	}
	return r, err
}

// stopOnLeaderChange calls stop once the member at an address is no longer the leader: a partitioned leader does not answer, and
// the connection to it may stay open.
func (n *Node) stopOnLeaderChange(ctx context.Context, addr raft.ServerAddress, stop func()) {
	tick := time.NewTicker(retryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if now, _ := n.raft.LeaderWithID(); now != addr {
			stop()
			return
		}
	}
}

// dialAddress returns the address at which a member is reached: that in via, otherwise its own.
func dialAddress(via map[string]string, addr string) string {
	if to, ok := via[addr]; ok {
		return to
	}
	return addr
}

// commit appends a command to the log at this member, which must lead, and returns the result once it is applied.
func (n *Node) commit(ctx context.Context, c command) (result, error) {
	if c.Op == opTransact {
		if err := n.requireTransactions(ctx); err != nil {
			return result{}, err
		}
	}
	if c.Op == opReduce {
		n.reduceMu.Lock() // entries are appended in the order of their timestamps
		// A term has one leader, and a restarted process can only lead in a later term, so each epoch has one clock.
		c.Epoch, c.Now = n.raft.CurrentTerm(), time.Since(n.startedAt).Microseconds()
	}
	data, err := json.Marshal(c)
	if err != nil { // unreachable: the fields are strings and numbers
		panic(err)
	}
	// raft never completes an entry that was appended while it shut down, so the wait also ends with the context.
	f, done := n.raft.Apply(data, applyTimeout), make(chan error, 1)
	if c.Op == opReduce {
		n.reduceMu.Unlock()
	}
	go func() { done <- f.Error() }()
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return result{}, err
	}
	return f.Response().(result), nil
}

// forward sends an encoded command to another member and returns its result.
func forward(ctx context.Context, addr string, data []byte) (r result, err error) {
	d := net.Dialer{Timeout: applyTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return r, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	deadline := time.Now().Add(2 * applyTimeout)
	if contextDeadline, ok := ctx.Deadline(); ok && contextDeadline.Before(deadline) {
		deadline = contextDeadline
	}
	c.SetDeadline(deadline)
	if _, err = c.Write(append(append([]byte{forwardByte}, data...), '\n')); err != nil {
		return r, err
	}
	if err = json.NewDecoder(io.LimitReader(c, maxAnswer)).Decode(&r); err != nil {
		return r, err
	}
	return r, r.error(addr)
}
