// Package store implements a replicated key-value store on top of raft. Its revisioned records hold configuration,
// inventory and dialogs. It holds no load figures, overload levels or attempts: gatekeepers share no state of calls in
// progress.
package store

import (
	"context"
	"errors"
)

// Record is one key with its value. Revision is the store revision of the write that last changed it; revisions grow with
// every write to the store.
type Record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
}

// ErrRevision is returned when a record is not at the revision that a conditional write expects.
var ErrRevision = errors.New("record has another revision")

// Store is the interface of the replicated store. Reads are served from the local replica; a write returns once a majority
// of the voters holds it.
type Store interface {
	Get(key string) (Record, bool)
	// List returns the records under a prefix, ordered by key.
	List(prefix string) []Record
	Put(ctx context.Context, key string, value []byte) (revision uint64, err error)
	// PutAt writes the record only if it is at the expected revision; 0 requires that the record does not exist.
	PutAt(ctx context.Context, key string, value []byte, expected uint64) (revision uint64, err error)
	Delete(ctx context.Context, key string) error
	// Watch calls f for each committed change under a prefix, in order; a deleted record has a nil Value. f must not
	// block and must not write to the store.
	Watch(prefix string, f func(Record))
	Close() error
}
