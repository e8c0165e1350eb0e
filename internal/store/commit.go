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

// write commits a command at the leader, wherever that is, and waits until it is applied here too, so that who wrote
// reads what it wrote. While there is no leader it tries again.
func (n *Node) write(ctx context.Context, c command) (uint64, error) {
	r, err := n.committed(ctx, c)
	if err != nil {
		return 0, err
	}
	switch {
	case r.Typed != nil:
		return 0, r.error(n.id)
	case r.Conflict:
		return 0, ErrRevision
	case c.Op == opTransact && r.Done != transactionConfirmed:
		return 0, &EarlierVersion{transactions, leadingMember}
	case c.Op == opRaise && r.Done != raiseConfirmed:
		return 0, &EarlierVersion{raises, leadingMember}
	}
	return r.Revision, n.fsm.wait(ctx, r.Revision)
}

// committed is write without the wait for this member: what the leader made of a command.
func (n *Node) committed(ctx context.Context, c command) (result, error) {
	for {
		r, err := n.once(ctx, c)
		if err == nil || permanent(err) {
			return r, err
		}
		select {
		case <-ctx.Done():
			if errors.Is(err, ErrNoLeader) || errors.Is(err, ErrNotReady) {
				return r, fmt.Errorf("store: %w (%v)", ErrNotReady, ctx.Err())
			}
			return r, fmt.Errorf("store: %w (last: %v)", ctx.Err(), err)
		case <-time.After(retryAfter):
		}
	}
}

// Reduce has a record's reducer take a request at the leader, and gives its answer. It may be carried out more than once: the
// reducer must know a request again.
func (n *Node) Reduce(ctx context.Context, key string, request []byte) (answer []byte, err error) {
	r, err := n.committed(ctx, command{Op: opReduce, Key: key, Value: request})
	return r.answer(err)
}

// answer of a reduce, or why there is none.
func (r result) answer(err error) ([]byte, error) {
	switch {
	case err != nil:
		return nil, err
	case r.Fault != "":
		return nil, errors.New(r.Fault)
	}
	return r.Answer, nil
}

func (n *Node) once(ctx context.Context, c command) (result, error) {
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
	go n.whileLeader(ctx, addr, cancel)
	r, err := forward(ctx, through(n.via, string(addr)), data)
	if now, _ := n.raft.LeaderWithID(); err != nil && now != addr {
		return r, ErrNoLeader
	}
	return r, err
}

// whileLeader calls stop once another member than the one at an address leads, or none: a leader that was cut off does not
// answer, and the connection to it need not break.
func (n *Node) whileLeader(ctx context.Context, addr raft.ServerAddress, stop func()) {
	tick := time.NewTicker(retryAfter)
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

// through is where a member's address is reached.
func through(via map[string]string, addr string) string {
	if to, ok := via[addr]; ok {
		return to
	}
	return addr
}

func (n *Node) commit(ctx context.Context, c command) (result, error) {
	if c.Op == opTransact {
		if err := n.allTransact(ctx); err != nil {
			return result{}, err
		}
	}
	if c.Op == opReduce {
		n.stamping.Lock() // stamps are handed over in their order
		// A term has one leader, and a process that starts anew leads in a later one: one clock an epoch.
		c.Epoch, c.Now = n.raft.CurrentTerm(), time.Since(n.born).Microseconds()
	}
	data, err := json.Marshal(c)
	if err != nil { // strings and numbers
		panic(err)
	}
	// raft never answers an entry that was handed over while it shut down: the wait ends with the context.
	f, done := n.raft.Apply(data, applyWithin), make(chan error, 1)
	if c.Op == opReduce {
		n.stamping.Unlock()
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

// forward hands a command to another node.
func forward(ctx context.Context, addr string, data []byte) (r result, err error) {
	d := net.Dialer{Timeout: applyWithin}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return r, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	deadline := time.Now().Add(2 * applyWithin)
	if at, ok := ctx.Deadline(); ok && at.Before(deadline) {
		deadline = at
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
