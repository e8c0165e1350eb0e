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

// Member is one member of a group.
type Member struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
}

// Status is the state of one member.
type Status struct {
	Node               string        `json:"node"`
	State              string        `json:"state"`       // Leader, Follower, Candidate or Shutdown
	LeaderNode         string        `json:"leader_node"` // "" while there is no leader
	Leader             string        `json:"leader"`      // address of the leader
	Term               uint64        `json:"term"`
	Applied            uint64        `json:"applied"`         // index of the last applied entry
	Revision           uint64        `json:"revision"`        // of the records
	MaxClientRevision  uint64        `json:"held,omitempty"`  // highest revision that a session client reported to hold, if above Revision
	LastLogIndex       uint64        `json:"last"`            // index of the last entry in the log
	SnapshotIndex      uint64        `json:"snapshot"`        // index of the last entry in the newest snapshot
	SinceLeaderContact time.Duration `json:"last_contact_ns"` // since the last contact with the leader; 0 at the leader
	Records            int           `json:"records"`
	Ready              bool          `json:"ready"` // local reads are current, see Node.Ready
	Members            []Member      `json:"members"`

	SupportsTransactions bool `json:"transactions"` // this version supports transactions
	SupportsRaise        bool `json:"raises"`       // this version supports raising revisions
}

// Status returns the current state of this member.
func (n *Node) Status() Status {
	leader, id := n.raft.LeaderWithID()
	s := Status{Node: n.id, State: n.raft.State().String(), LeaderNode: string(id), Leader: string(leader), Term: n.raft.CurrentTerm(),
		Applied: n.raft.AppliedIndex(), LastLogIndex: n.raft.LastIndex(), Records: n.fsm.count(), Ready: n.Ready(), Members: []Member{},
		Revision: n.fsm.lastRevision(), SupportsTransactions: true, SupportsRaise: true}
	if n.sessions != nil {
		s.MaxClientRevision = n.sessions.clientRevisionAbove(s.Revision)
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

// answerLocally answers the commands that are served locally, and reports whether c is one. It does not read records before the
// member is ready, because they may be older than those that it held before it stopped.
func (n *Node) answerLocally(c command, r *result) bool {
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

// readStatus answers opStatus: with the status, or with what want selects. Counts and sessions are variants of opStatus
// because a member of an earlier version answers it with a status, whereas it would commit an unknown op as a write.
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

// watchQueue is the number of changes that are queued for a plain watch before it is ended as too slow.
const watchQueue = 1024

// serveWatch sends committed changes under a prefix, one line each, until the client disconnects or is too slow.
func (n *Node) serveWatch(c net.Conn, prefix string) {
	c.SetDeadline(time.Time{})
	changes := make(chan Record, watchQueue)
	overflow := make(chan struct{})
	stop := n.fsm.watchUntil(prefix, func(r Record) bool {
		select {
		case changes <- r:
			return true
		default:
			close(overflow)
			return false
		}
	})
	defer stop()
	disconnected := make(chan struct{})
	go func() {
		c.Read(make([]byte, 1))
		close(disconnected)
	}()
	out := json.NewEncoder(c)
	for {
		var r result
		select {
		case change := <-changes:
			r.Records = []Record{change}
		case <-overflow:
			r.Fault = "the client read too slowly: changes are missing"
		case <-disconnected:
			return
		}
		c.SetWriteDeadline(time.Now().Add(2 * applyTimeout))
		if out.Encode(r) != nil || r.Fault != "" {
			return
		}
	}
}

// ErrNotFound is returned by GetFrom when the record does not exist.
var ErrNotFound = errors.New("no such record")

// ErrNotReady is returned when a member has not yet replayed its log or caught up with a leader, so that its records may be
// older than those of the group. Nothing was read. A write that fails with it may still have been committed by an earlier
// attempt within the same call, as after any timeout; a conditional write (PutTo with expected) shows whether it was.
var ErrNotReady = errors.New("not ready: no leader yet")

// sendWithRetry sends a command to the member at an address. While that member is not ready it retries until the context ends,
// and then returns ErrNotReady.
func sendWithRetry(ctx context.Context, addr string, c command) (result, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return result{}, err
	}
	for waited := false; ; waited = true {
		r, err := forward(ctx, addr, data)
		switch {
		case err != nil && waited && contextEnded(ctx): // the deadline interrupted a retry while the member was not ready
			return r, fmt.Errorf("%w (%v)", ErrNotReady, err)
		case !errors.Is(err, ErrNotReady):
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, fmt.Errorf("%w (%v)", ErrNotReady, ctx.Err())
		case <-time.After(retryInterval):
		}
	}
}

// contextEnded reports whether a context has ended or its deadline has passed. A connection with the context's deadline may time
// out an instant before the context itself ends.
func contextEnded(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// GetFrom reads a record from the member at an address. The record may lag that of the leader. While the member is not
// ready the read is retried until the context ends; then the error is ErrNotReady, never ErrNotFound.
func GetFrom(ctx context.Context, addr, key string) (Record, error) {
	r, err := sendWithRetry(ctx, addr, command{Op: opGet, Key: key})
	if err == nil && len(r.Records) == 0 {
		err = ErrNotFound
	}
	if err != nil {
		return Record{}, err
	}
	return r.Records[0], nil
}

// ListFrom reads all records under a prefix from the member at an address, ordered by key.
func ListFrom(ctx context.Context, addr, prefix string) ([]Record, error) {
	r, err := sendWithRetry(ctx, addr, command{Op: opList, Key: prefix})
	return r.Records, err
}

// StatusFrom reads the status of the member at an address.
func StatusFrom(ctx context.Context, addr string) (Status, error) {
	r, err := sendWithRetry(ctx, addr, command{Op: opStatus})
	if err == nil && r.Status == nil {
		err = errors.New("the answer has no status: the member runs an earlier version")
	}
	if err != nil {
		return Status{}, err
	}
	return *r.Status, nil
}

// PutTo writes a record through any member, which forwards it to the leader. With expected, the write succeeds only
// if the record is at that revision, where 0 means that it does not exist; otherwise the error is ErrRevision.
func PutTo(ctx context.Context, addr, key string, value []byte, expected *uint64) (revision uint64, err error) {
	c := command{Op: opPut, Key: key, Value: value}
	if expected != nil {
		c.Op, c.At = opPutAt, *expected
	}
	r, err := sendWithRetry(ctx, addr, c)
	if err == nil && r.Conflict {
		err = ErrRevision
	}
	return r.Revision, err
}

// ReduceAt is like Node.Reduce, through the member at an address.
func ReduceAt(ctx context.Context, addr, key string, request []byte) (answer []byte, err error) {
	r, err := sendWithRetry(ctx, addr, command{Op: opReduce, Key: key, Value: request})
	return r.answer(err)
}

// WatchFrom calls f, in order, for each change under a prefix that the member at an address applies from now on. It returns
// the context's error when the context ends, or an error when the connection breaks.
func WatchFrom(ctx context.Context, addr, prefix string, f func(Record)) error {
	data, err := json.Marshal(command{Op: opWatch, Key: prefix})
	if err != nil {
		return err
	}
	c, err := (&net.Dialer{Timeout: applyTimeout}).DialContext(ctx, "tcp", addr)
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
