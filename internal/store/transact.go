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

// Write is one part of a transaction: a put, or a delete.
type Write struct {
	Key    string  `json:"key"`
	Value  []byte  `json:"value,omitempty"`
	Delete bool    `json:"delete,omitempty"`
	At     *uint64 `json:"at,omitempty"` // only if the record is at that revision; 0: only if there is none
}

// transactions is what a member of an earlier version does not know.
const transactions = "transactions"

// transactionConfirmed is in the answer to a transaction of a member that knows them.
const transactionConfirmed = "transaction"

// leadingMember stands for the name of the leader, where its answer does not tell it.
const leadingMember = "leading the group"

// checkTransaction refuses what no member can carry out. Every member also asks it when it applies a transaction, so it
// must not change its mind with a later version.
func checkTransaction(writes []Write) error {
	if len(writes) == 0 {
		return &BadRequest{"a transaction without writes"}
	}
	seen := make(map[string]bool, len(writes))
	for _, w := range writes {
		if w.Key == "" {
			return &BadRequest{"a write of a transaction without a key"}
		}
		if seen[w.Key] {
			return &BadRequest{fmt.Sprintf("%s is written twice in one transaction", w.Key)}
		}
		seen[w.Key] = true
	}
	return nil
}

// Transact carries out all writes at one revision, or none of them: with ErrRevision if a record is not at the revision
// that its write expects, with *BadRequest if there are no writes or two of one key. As with Put, a write that ends with
// another error may have been carried out, and one that was tried again after a lost answer may find its own revision.
func (n *Node) Transact(ctx context.Context, writes []Write) (revision uint64, err error) {
	if err := checkTransaction(writes); err != nil {
		return 0, err
	}
	return n.write(ctx, command{Op: opTransact, Writes: writes})
}

// TransactTo is Node.Transact through the member at an address.
func TransactTo(ctx context.Context, addr string, writes []Write) (uint64, error) {
	if err := checkTransaction(writes); err != nil {
		return 0, err
	}
	r, err := ask(ctx, addr, command{Op: opTransact, Writes: writes})
	switch {
	case err != nil:
		return 0, err
	case r.Conflict:
		return 0, ErrRevision
	case r.Done != transactionConfirmed:
		return 0, &EarlierVersion{transactions, addr}
	}
	return r.Revision, nil
}

// writes of a command of a client; nil for one that writes no records by itself.
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

// checkClient asks Options.Check about what a client wants to write here.
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

// versionCheck is what the leader knows of the members' versions.
type versionCheck struct {
	mu     sync.Mutex
	index  uint64               // of the configuration that this is about
	settle map[string]time.Time // when to ask a member again; zero: never
}

const askVersionAgain = 30 * time.Second // of a member that does not answer

// allTransact is asked by the leader before it commits a transaction: a member of an earlier version would apply it as
// nothing, and hold other records than the rest from then on. A member that answers is asked once for each configuration of
// the group; one that does not answer is asked again later, and holds nothing up.
func (n *Node) allTransact(ctx context.Context) error {
	f := n.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return err
	}
	v := &n.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.settle == nil || v.index != f.Index() {
		v.index, v.settle = f.Index(), map[string]time.Time{n.id: {}}
	}
	var unknown []raft.Server
	for _, m := range f.Configuration().Servers {
		if again, ok := v.settle[string(m.ID)]; !ok || !again.IsZero() && time.Now().After(again) {
			unknown = append(unknown, m)
		}
	}
	return n.askVersions(ctx, unknown)
}

// askVersions asks members, all at the same time, and notes what they say. The lock of versions is held.
func (n *Node) askVersions(ctx context.Context, members []raft.Server) error {
	ctx, cancel := context.WithTimeout(ctx, upWithin)
	defer cancel()
	var asked errgroup.Group
	var mu sync.Mutex
	for _, m := range members {
		asked.Go(func() error {
			s, err := StatusFrom(ctx, through(n.via, string(m.Address)))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				n.versions.settle[string(m.ID)] = time.Now().Add(askVersionAgain)
			case !s.SupportsTransactions:
				return &EarlierVersion{transactions, string(m.ID)}
			default:
				n.versions.settle[string(m.ID)] = time.Time{}
			}
			return nil
		})
	}
	return asked.Wait()
}
