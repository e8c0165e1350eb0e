package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
)

// FirstIndex implements raft.LogStore.
func (j *Journal) FirstIndex() (uint64, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.first, nil
}

// LastIndex implements raft.LogStore.
func (j *Journal) LastIndex() (uint64, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.last, nil
}

// GetLog implements raft.LogStore.
func (j *Journal) GetLog(index uint64, log *raft.Log) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	e, ok := j.entries[index]
	if !ok {
		return raft.ErrLogNotFound
	}
	*log = raft.Log{Index: e.Index, Term: e.Term, Type: e.Type, Data: e.Data, Extensions: e.Extensions}
	if e.AppendedAt != 0 {
		log.AppendedAt = time.Unix(0, e.AppendedAt)
	}
	return nil
}

// StoreLog implements raft.LogStore.
func (j *Journal) StoreLog(log *raft.Log) error { return j.StoreLogs([]*raft.Log{log}) }

// StoreLogs implements raft.LogStore. The logs are written as one change: after a crash either all of them exist or none.
func (j *Journal) StoreLogs(logs []*raft.Log) error {
	if len(logs) == 0 {
		return nil
	}
	c := change{Entries: make([]entry, len(logs))}
	for i, l := range logs {
		c.Entries[i] = entry{Index: l.Index, Term: l.Term, Type: l.Type, Data: l.Data, Extensions: l.Extensions}
		if !l.AppendedAt.IsZero() {
			c.Entries[i].AppendedAt = l.AppendedAt.UnixNano()
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.last > 0 && logs[0].Index <= j.last { // raft deletes conflicting entries first; this ensures that no index is held twice
		c.TruncateFrom = logs[0].Index
	}
	return j.write(c, false)
}

// DeleteRange implements raft.LogStore. Raft deletes entries at the start, once a snapshot covers them, or at the end.
func (j *Journal) DeleteRange(from, to uint64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.first == 0 || to < j.first || from > j.last:
		return nil
	case from <= j.first:
		if err := j.write(change{TruncateBefore: to + 1}, true); err != nil {
			return err
		}
		if err := j.prune(); err != nil {
			j.failed = err
			return err
		}
		return nil
	case to >= j.last:
		return j.write(change{TruncateFrom: from}, false)
	}
	return fmt.Errorf("store: can't delete entries %d to %d from the middle of the log", from, to)
}

// errNotFound has the text that raft compares with.
var errNotFound = errors.New("not found")

// Set implements raft.StableStore. Votes and terms are always synced: a member must not vote twice in a term.
func (j *Journal) Set(key, value []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.write(change{Set: map[string][]byte{string(key): bytes.Clone(value)}}, true)
}

// Get implements raft.StableStore.
func (j *Journal) Get(key []byte) ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if v, ok := j.stable[string(key)]; ok {
		return v, nil
	}
	return nil, errNotFound
}

// SetUint64 implements raft.StableStore.
func (j *Journal) SetUint64(key []byte, value uint64) error {
	return j.Set(key, binary.BigEndian.AppendUint64(nil, value))
}

// GetUint64 implements raft.StableStore.
func (j *Journal) GetUint64(key []byte) (uint64, error) {
	v, err := j.Get(key)
	if err != nil || len(v) != 8 {
		return 0, err
	}
	return binary.BigEndian.Uint64(v), nil
}
