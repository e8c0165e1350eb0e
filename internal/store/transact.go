package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/sync/errgroup"
)

// Write is one write of a transaction: a put or a delete.
type Write struct {
	Key    string  `json:"key"`
	Value  []byte  `json:"value,omitempty"`
	Delete bool    `json:"delete,omitempty"`
	At     *uint64 `json:"at,omitempty"` // expected revision of the record; 0: it must not exist; nil: unconditional
}

// transactionFeature names the feature in an EarlierVersion error.
const transactionFeature = "transactions"

// transactionConfirmed is result.Done of a transaction at a member that supports transactions.
const transactionConfirmed = "transaction"

// leaderPlaceholder replaces the leader's name in an EarlierVersion error, because the answer does not contain the name.
const leaderPlaceholder = "leading the group"

// checkTransaction returns a *BadRequest for writes that no member can carry out. It is also called when a member applies a
// transaction, so its result must be the same in all versions.
func checkTransaction(writes []Write) error {
	if len(writes) == 0 {
		return &BadRequest{"a transaction needs at least one write"}
	}
	seen := make(map[string]bool, len(writes))
	for _, w := range writes {
		if w.Key == "" {
			return &BadRequest{"a write of a transaction has no key"}
		}
		if seen[w.Key] {
			return &BadRequest{fmt.Sprintf("%s is written twice in one transaction", w.Key)}
		}
		seen[w.Key] = true
	}
	return nil
}

// Transact applies all writes atomically at one revision and returns it. The error is ErrRevision if a record is not at the
// revision that its write expects, and *BadRequest if there are no writes or two of the same key; then nothing is changed. As
// with Put, a transaction that fails with another error may have been applied, and one that was retried after a lost answer
// may conflict with its own first attempt.
func (n *Node) Transact(ctx context.Context, writes []Write) (revision uint64, err error) {
	if err := checkTransaction(writes); err != nil {
		return 0, err
	}
	return n.write(ctx, command{Op: opTransact, Writes: writes})
}

// TransactTo is like Node.Transact, through the member at an address.
func TransactTo(ctx context.Context, addr string, writes []Write) (uint64, error) {
	if err := checkTransaction(writes); err != nil {
		return 0, err
	}
	r, err := sendWithRetry(ctx, addr, command{Op: opTransact, Writes: writes})
	switch {
	case err != nil:
		return 0, err
	case r.Conflict:
		return 0, ErrRevision
	case r.Done != transactionConfirmed:
		return 0, &EarlierVersion{transactionFeature, addr}
	}
	return r.Revision, nil
}

// writes returns the writes of a client's command; nil if the command does not itself write records.
func (c *command) writes() []Write {
	switch c.Op {
	case opPut:
		return []Write{{Key: c.Key, Value: c.Value}}
	case opPutAt:
		return []Write{{Key: c.Key, Value: c.Value, At: &c.At}}
	case opDelete:
		return []Write{{Key: c.Key, Delete: true}}
	case opTransact:
		return c.Writes
	}
	return nil
}

// checkClient validates a client's writes with Options.Check. Its errors are *BadRequest and *Refused.
func (n *Node) checkClient(c *command) error {
	writes := c.writes()
	if c.Op == opTransact {
		if err := checkTransaction(writes); err != nil {
			return err
		}
	}
	if n.check == nil || writes == nil {
		return nil
	}
	err := n.check(writes)
	var refused *Refused
	if err == nil || errors.As(err, &refused) {
		return err
	}
	return newRefused(err)
}

// versionCheck caches which members' versions support transactions. It is used by the leader.
type versionCheck struct {
	mu           sync.Mutex
	index        uint64               // of the raft configuration that queryAgainAt belongs to
	queryAgainAt map[string]time.Time // by member; zero: never
}

const versionRetryDelay = 30 * time.Second // delay until a member that did not answer is queried again

// requireTransactions returns an error if a member is known to run a version without transactions. The leader calls it before
// it commits a transaction: such a member would ignore the transaction, and its records would diverge from those of the others.
// A member that answers is queried once per configuration of the group. A member that does not answer is queried again later
// and does not block transactions.
func (n *Node) requireTransactions(ctx context.Context) error {
	f := n.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return err
	}
	v := &n.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.queryAgainAt == nil || v.index != f.Index() {
		v.index, v.queryAgainAt = f.Index(), map[string]time.Time{n.id: {}}
	}
	var unknown []raft.Server
	for _, m := range f.Configuration().Servers {
		if queryAt, ok := v.queryAgainAt[string(m.ID)]; !ok || !queryAt.IsZero() && time.Now().After(queryAt) {
			unknown = append(unknown, m)
		}
	}
	return n.queryVersions(ctx, unknown)
}

// queryVersions queries members concurrently and stores the results. The caller holds n.versions.mu.
func (n *Node) queryVersions(ctx context.Context, members []raft.Server) error {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	var queries errgroup.Group
	var mu sync.Mutex
	for _, m := range members {
		queries.Go(func() error {
			s, err := StatusFrom(ctx, dialAddress(n.via, string(m.Address)))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				n.versions.queryAgainAt[string(m.ID)] = time.Now().Add(versionRetryDelay)
			case !s.SupportsTransactions:
				return &EarlierVersion{transactionFeature, string(m.ID)}
			default:
				n.versions.queryAgainAt[string(m.ID)] = time.Time{}
			}
			return nil
		})
	}
	return queries.Wait()
}
