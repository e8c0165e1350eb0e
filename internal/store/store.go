// Package store keeps revisioned records of configuration, inventory and dialogs, replicated by raft. It carries no
// load, no levels and no attempts: gatekeepers share nothing about calls in progress.
package store

import (
	"context"
	"errors"
)

// Record is one value. Its revision grows with every write to the store.
type Record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
}

// ErrRevision says that a record was not at the revision that a write expected.
var ErrRevision = errors.New("record has another revision")

// Store is what the program uses. Reads are local; a write has returned once a majority holds it.
type Store interface {
	Get(key string) (Record, bool)
	List(prefix string) []Record // ordered by key
	Put(ctx context.Context, key string, value []byte) (revision uint64, err error)
	// PutAt writes only if the record is at a revision; 0 means that there is none.
	PutAt(ctx context.Context, key string, value []byte, at uint64) (revision uint64, err error)
	Delete(ctx context.Context, key string) error
	// Watch calls f for each committed change under a prefix, in order; a deleted record has a nil Value. f must not
	// block and must not write.
	Watch(prefix string, f func(Record))
	Close() error
}
