package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"
)

// Member is one of a group.
type Member struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
}

// Status is how a member stands.
type Status struct {
	Node               string        `json:"node"`
	State              string        `json:"state"`       // Leader, Follower, Candidate or Shutdown
	LeaderNode         string        `json:"leader_node"` // "" while there is none
	Leader             string        `json:"leader"`      // its address
	Term               uint64        `json:"term"`
	Applied            uint64        `json:"applied"`        // index of the last entry that is in the records
	Revision           uint64        `json:"revision"`       // of the records
	MaxClientRevision  uint64        `json:"held,omitempty"` // highest revision that a client of a session said it holds, where that is above Revision
	LastLogIndex       uint64        `json:"last"`           // and of the last in the log
	SnapshotIndex      uint64        `json:"snapshot"`
	SinceLeaderContact time.Duration `json:"last_contact_ns"` // since word from the leader; 0 at the leader
	Records            int           `json:"records"`
	Ready              bool          `json:"ready"` // what it reads is as new as its log and its leader: see Node.Ready
	Members            []Member      `json:"members"`

	SupportsTransactions bool `json:"transactions"` // this version carries out transactions
	SupportsRaise        bool `json:"raises"`       // and raises revisions
}

// Status tells how this member stands.
func (n *Node) Status() Status {
	leader, id := n.raft.LeaderWithID()
	s := Status{Node: n.id, State: n.raft.State().String(), LeaderNode: string(id), Leader: string(leader), Term: n.raft.CurrentTerm(),
		Applied: n.raft.AppliedIndex(), LastLogIndex: n.raft.LastIndex(), Records: n.fsm.count(), Ready: n.Ready(), Members: []Member{},
		Revision: n.fsm.lastRevision(), SupportsTransactions: true, SupportsRaise: true}
	if n.sessions != nil {
		s.MaxClientRevision = n.sessions.heldAbove(s.Revision)
	}
	if !n.Leader() && !n.raft.LastContact().IsZero() {
		s.SinceLeaderContact = time.Since(n.raft.LastContact())
	}
	fmt.Sscan(n.raft.Stats()["last_snapshot_index"], &s.SnapshotIndex)
	if f := n.raft.GetConfiguration(); f.Error() == nil {
		for _, m := range f.Configuration().Servers {
			s.Members = append(s.Members, Member{string(m.ID), string(m.Address), m.Suffrage == 0})
		}
	}
	return s
}

// read answers what is read at this member. Records are not read before it is ready: what it holds then may be older
// than what it held before it stopped.
func (n *Node) read(c command, r *result) bool {
	if (c.Op == opGet || c.Op == opList) && !n.Ready() {
		r.Fault = ErrNotReady.Error()
		return true
	}
	switch c.Op {
	case opGet:
		if got, ok := n.Get(c.Key); ok {
			r.Records = []Record{got}
		}
	case opList:
		r.Records = n.List(c.Key)
	case opStatus:
		n.readStatus(c.Want, r)
	default:
		return false
	}
	return true
}

// readStatus answers a status, or what is asked for in its place. These are parts of a status because a member of an
// earlier version answers that, where it would take an op that it does not know for a write.
func (n *Node) readStatus(want string, r *result) {
	switch want {
	case wantCounts, wantSessions:
		if n.sessions == nil {
			r.fail(&NotControl{n.id})
			return
		}
		if want == wantCounts {
			own := n.sessions.counts()
			r.Counts = &own
			return
		}
		r.Sessions = n.sessions.statuses()
	default:
		s := n.Status()
		r.Status = &s
	}
}

const watchQueue = 1024

// serveWatch brings committed changes under a prefix, a line each, until the watcher leaves or is too slow.
func (n *Node) serveWatch(c net.Conn, prefix string) {
	c.SetDeadline(time.Time{})
	changes := make(chan Record, watchQueue)
	slow := make(chan struct{})
	stop := n.fsm.watchUntil(prefix, func(r Record) bool {
		select {
		case changes <- r:
			return true
		default:
			close(slow)
			return false
		}
	})
	defer stop()
	gone := make(chan struct{})
	go func() {
		c.Read(make([]byte, 1))
		close(gone)
	}()
	out := json.NewEncoder(c)
	for {
		var r result
		select {
		case change := <-changes:
			r.Records = []Record{change}
		case <-slow:
			r.Fault = "the watcher was too slow: changes are missing"
		case <-gone:
			return
		}
		c.SetWriteDeadline(time.Now().Add(2 * applyWithin))
		if out.Encode(r) != nil || r.Fault != "" {
			return
		}
	}
}

// ErrNotFound says that there is no such record.
var ErrNotFound = errors.New("no such record")

// ErrNotReady says that a member has not yet replayed its log or caught up with a leader, so that what it would answer
// may be older than what the group holds. Nothing was read. A write so answered may still have been taken by an earlier
// try within the same call, as after any time-out: a write with a revision (PutTo with at) tells which.
var ErrNotReady = errors.New("not ready: no leader yet")

// ask hands a command to the member at an address. While that member is not ready it asks again, until the context ends,
// and then the error is ErrNotReady.
func ask(ctx context.Context, addr string, c command) (result, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return result{}, err
	}
	for waited := false; ; waited = true {
		r, err := forward(ctx, addr, data)
		switch {
		case err != nil && waited && ended(ctx): // cut by the deadline while the member was not ready
			return r, fmt.Errorf("%w (%v)", ErrNotReady, err)
		case !errors.Is(err, ErrNotReady):
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, fmt.Errorf("%w (%v)", ErrNotReady, ctx.Err())
		case <-time.After(retryAfter):
		}
	}
}

// ended tells whether a context has ended or is past its deadline. A connection whose deadline is the context's may time out an
// instant before the context says so.
func ended(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// GetFrom reads a record at the member at an address. It may be a little older than what the leader holds. A member
// that is not ready is asked again until the context ends; then the error is ErrNotReady, never ErrNotFound.
func GetFrom(ctx context.Context, addr, key string) (Record, error) {
	r, err := ask(ctx, addr, command{Op: opGet, Key: key})
	if err == nil && len(r.Records) == 0 {
		err = ErrNotFound
	}
	if err != nil {
		return Record{}, err
	}
	return r.Records[0], nil
}

// ListFrom reads all records under a prefix at the member at an address, ordered by key.
func ListFrom(ctx context.Context, addr, prefix string) ([]Record, error) {
	r, err := ask(ctx, addr, command{Op: opList, Key: prefix})
	return r.Records, err
}

// StatusFrom asks a member how it stands.
func StatusFrom(ctx context.Context, addr string) (Status, error) {
	r, err := ask(ctx, addr, command{Op: opStatus})
	if err == nil && r.Status == nil {
		err = errors.New("no status in the answer: a member of an earlier version")
	}
	if err != nil {
		return Status{}, err
	}
	return *r.Status, nil
}

// PutTo writes a record through any member, which hands it to the leader. With at it is written only if the record is at
// that revision, 0 meaning that there is none; else the error is ErrRevision.
func PutTo(ctx context.Context, addr, key string, value []byte, at *uint64) (revision uint64, err error) {
	c := command{Op: opPut, Key: key, Value: value}
	if at != nil {
		c.Op, c.At = opPutAt, *at
	}
	r, err := ask(ctx, addr, c)
	if err == nil && r.Conflict {
		err = ErrRevision
	}
	return r.Revision, err
}

// ReduceAt is Node.Reduce through the member at an address.
func ReduceAt(ctx context.Context, addr, key string, request []byte) (answer []byte, err error) {
	r, err := ask(ctx, addr, command{Op: opReduce, Key: key, Value: request})
	return r.answer(err)
}

// WatchFrom calls f for each change under a prefix that the member at an address commits from now on, in order. It returns
// when the context ends, with its error, or when the connection breaks.
func WatchFrom(ctx context.Context, addr, prefix string, f func(Record)) error {
	data, err := json.Marshal(command{Op: opWatch, Key: prefix})
	if err != nil {
		return err
	}
	c, err := (&net.Dialer{Timeout: applyWithin}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := c.Write(append(append([]byte{forwardByte}, data...), '\n')); err != nil {
		return err
	}
	in := json.NewDecoder(bufio.NewReader(c))
	for {
		var r result
		if err := in.Decode(&r); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return err
		}
		if r.Fault != "" {
			return errors.New(r.Fault)
		}
		for _, record := range r.Records {
			f(record)
		}
	}
}
