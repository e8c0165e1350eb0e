package store

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/hashicorp/raft"

	"beammux/control"
)

// Operations of commands.
const (
	opPut    = "put"
	opPutAt  = "put-at"
	opDelete = "delete"

	// opTransact applies several writes atomically at one revision.
	opTransact = "transact"

	// Read operations: served by the member that receives them, never written to the log.
	opGet    = "get"
	opList   = "list"
	opStatus = "status"
	opWatch  = "watch"

	// opReduce replaces a record with the result of its reducer, applied to the record and to the command's value.
	opReduce = "reduce"

	// opRaise raises the revisions of the group above command.At.
	opRaise = "raise"

	// opMember changes the membership. The leader checks the change and makes it through raft, not by a command in the log.
	opMember = "member"
)

// command is one log entry, or one request on the client port.
type command struct {
	Op    string `json:"op"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	At    uint64 `json:"at,omitempty"`  // of opPutAt: the expected revision; of opRaise: the revision to exceed
	Hop   bool   `json:"hop,omitempty"` // already forwarded once; must not be forwarded again

	Writes []Write       `json:"writes,omitempty"` // of opTransact
	Member *MemberChange `json:"member,omitempty"`
	Watch  *WatchRequest `json:"watch,omitempty"` // of opWatch: opens a session; nil: a plain watch of Key
	Want   string        `json:"want,omitempty"`  // of opStatus: wantCounts or wantSessions; "": the status

	// Epoch and Now are used by opReduce only. The leader that commits the command sets Epoch to its term and Now to its
	// monotonic clock, in microseconds.
	Epoch uint64 `json:"epoch,omitempty"`
	Now   int64  `json:"now,omitempty"`
}

// result is the outcome of a command, and the answer on the client port.
type result struct {
	Revision uint64 `json:"revision,omitempty"`
	Conflict bool   `json:"conflict,omitempty"`
	Fault    string `json:"fault,omitempty"`

	Records []Record `json:"records,omitempty"` // of opGet, opList and opWatch
	Status  *Status  `json:"status,omitempty"`
	Done    string   `json:"done,omitempty"`   // of opMember: the change that was made; of opTransact and opRaise: a confirmation
	Answer  []byte   `json:"answer,omitempty"` // of opReduce

	Typed    *wireFault      `json:"typed,omitempty"` // set where Fault is the text of a typed error
	Event    *wireEvent      `json:"event,omitempty"` // an event of a watch session
	Counts   *counts         `json:"counts,omitempty"`
	Sessions []SessionStatus `json:"sessions,omitempty"`
}

// Reducer computes a record's next value and an answer from its current value (nil if the record does not exist) and a
// request. It must be a pure function, because every member applies it to the same log. epoch is the leader's term and now
// is the leader's clock when it accepted the request; clocks of different epochs are unrelated. If it returns an error, the
// record stays unchanged.
type Reducer func(old, request []byte, epoch uint64, now control.Micros) (value, answer []byte, err error)

// watcher is one subscriber to the changes under a prefix.
type watcher struct {
	prefix string
	f      func(Record) bool // returns false to be removed
}

// machine is the replicated state machine (raft.FSM). Applying a command is deterministic, so all members hold the same
// records.
type machine struct {
	mu       sync.Mutex
	records  map[string]Record
	reducers map[string]Reducer // by key
	index    uint64             // of the last applied command, or of the restored snapshot
	revision uint64             // current revision of the records: index + offset
	offset   uint64             // difference between revisions and raft indexes; grows in raise
	advanced chan struct{}      // closed and replaced each time revision is set
	watchers []*watcher
	history  *history // nil if this member serves no sessions
}

// newMachine returns an empty machine.
func newMachine() *machine {
	return &machine{records: map[string]Record{}, advanced: make(chan struct{})}
}

// change is the effect of a command on one record. A deleted record has a nil Value.
type change struct {
	Record
	deleted bool
}

// Apply implements raft.FSM. A command that can't be decoded changes no records at any member, but advances the revision.
func (m *machine) Apply(l *raft.Log) any {
	var c command
	err := json.Unmarshal(l.Data, &c)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = l.Index
	if err == nil && c.Op == opRaise {
		return m.raise(c.At)
	}
	r := result{Revision: l.Index + m.offset}
	var changes []change
	if err != nil {
		r.Fault = err.Error()
	} else {
		changes = m.changes(&c, &r)
	}
	m.applyChanges(changes)
	m.publish(r.Revision, changes)
	return r
}

// changes computes the changes of a command and fills in its result. It does not modify the records.
func (m *machine) changes(c *command, r *result) []change {
	switch c.Op {
	case opPut, opPutAt, opDelete, opTransact:
		return m.transact(c, r)
	case opReduce:
		return m.reduce(c, r)
	}
	return nil
}

// transact computes the changes of a put, delete or transaction. If a record is not at the revision that a write expects, it
// sets Conflict in the result and returns no changes.
func (m *machine) transact(c *command, r *result) (changes []change) {
	writes := c.writes()
	if c.Op == opTransact {
		if err := checkTransaction(writes); err != nil {
			r.fail(err)
			return nil
		}
		r.Done = transactionConfirmed
	}
	for _, w := range writes {
		old, exists := m.records[w.Key]
		switch {
		case w.At != nil && old.Revision != *w.At:
			r.Conflict = true
			return nil
		case !w.Delete:
			changes = append(changes, change{Record: Record{w.Key, w.Value, r.Revision}})
		case exists:
			changes = append(changes, change{Record{Key: w.Key, Revision: r.Revision}, true})
		}
	}
	return changes
}

// reduce computes the change of an opReduce.
func (m *machine) reduce(c *command, r *result) []change {
	f := m.reducers[c.Key]
	if f == nil {
		r.Fault = fmt.Sprintf("this version has no reducer for %q", c.Key)
		return nil
	}
	value, answer, err := f(m.records[c.Key].Value, c.Value, c.Epoch, control.Micros(c.Now))
	if err != nil {
		r.Fault = err.Error()
		return nil
	}
	r.Answer = answer
	return []change{{Record: Record{c.Key, value, r.Revision}}}
}

// applyChanges changes the records and notifies the watchers.
func (m *machine) applyChanges(changes []change) {
	for _, c := range changes {
		if c.deleted {
			delete(m.records, c.Key)
		} else {
			m.records[c.Key] = c.Record
		}
	}
	for _, c := range changes { // after all changes are applied, so that a reader woken by a watcher finds all of them
		m.notify(c.Record)
	}
}

// notify calls the watchers of a record's key and removes those that return false.
func (m *machine) notify(r Record) {
	m.watchers = slices.DeleteFunc(m.watchers, func(w *watcher) bool {
		return strings.HasPrefix(r.Key, w.prefix) && !w.f(r)
	})
}

// publish appends a command's changes to the history and advances the revision.
func (m *machine) publish(revision uint64, changes []change) {
	if m.history != nil { // before advance: a goroutine that waits for the revision must find it in the history
		m.history.append(revision, changes)
	}
	m.advance(revision)
}

// advance sets the revision and wakes the goroutines in wait.
func (m *machine) advance(revision uint64) {
	m.revision = revision
	close(m.advanced)
	m.advanced = make(chan struct{})
}

// lastIndex returns the index of the last command that the machine has applied, or of the snapshot that it restored. raft's own
// applied index can be higher, since it counts entries that are queued for the machine.
func (m *machine) lastIndex() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.index
}

// lastRevision returns the current revision of the records.
func (m *machine) lastRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// wait returns once this member has applied a revision, or with the context's error.
func (m *machine) wait(ctx context.Context, revision uint64) error {
	for {
		m.mu.Lock()
		done, advanced := m.revision >= revision, m.advanced
		m.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *machine) get(key string) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[key]
	return r, ok
}

func (m *machine) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.records)
}

// list returns the records under a prefix, ordered by key.
func (m *machine) list(prefix string) []Record {
	all, _ := m.listWithRevision(prefix)
	return all
}

// listWithRevision is like list and also returns the revision of the records at the time of the call.
func (m *machine) listWithRevision(prefix string) (all []Record, revision uint64) {
	m.mu.Lock()
	for key, r := range m.records {
		if strings.HasPrefix(key, prefix) {
			all = append(all, r)
		}
	}
	revision = m.revision
	m.mu.Unlock()
	slices.SortFunc(all, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return all, revision
}

// watch calls f for each change under a prefix.
func (m *machine) watch(prefix string, f func(Record)) {
	m.watchUntil(prefix, func(r Record) bool { f(r); return true })
}

// watchUntil calls f for each change under a prefix until f returns false or stop is called. f is called with the machine's
// lock held, so it must not block or call the machine.
func (m *machine) watchUntil(prefix string, f func(Record) bool) (stop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := &watcher{prefix, f}
	m.watchers = append(m.watchers, w)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.watchers = slices.DeleteFunc(m.watchers, func(o *watcher) bool { return o == w })
	}
}

// Versions of the snapshot format. Version 0 can be read too: it is plainSnapshot without a version field.
// A group whose revisions were raised writes raisedSnapshot, so that programs that don't know offsets reject it.
const (
	plainSnapshot  = 1
	raisedSnapshot = 2
)

// snapshot is the encoded state of the machine.
type snapshot struct {
	Version int      `json:"version"`
	Applied uint64   `json:"applied"`          // revision of the records
	Offset  uint64   `json:"offset,omitempty"` // difference between revisions and raft indexes
	Records []Record `json:"records"`
}

// Snapshot implements raft.FSM.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	records, revision := m.listWithRevision("")
	m.mu.Lock() // raft applies no entries during Snapshot, so both reads see the same state
	defer m.mu.Unlock()
	s := &snapshot{Version: plainSnapshot, Applied: revision, Offset: m.offset, Records: records}
	if s.Offset > 0 {
		s.Version = raisedSnapshot
	}
	return s, nil
}

// Restore implements raft.FSM. Watchers are notified of the records that were changed, added or removed.
func (m *machine) Restore(in io.ReadCloser) error {
	defer in.Close()
	var s snapshot
	if err := json.NewDecoder(in).Decode(&s); err != nil {
		return err
	}
	if s.Version > raisedSnapshot {
		return fmt.Errorf("store: snapshot of version %d, this program reads up to version %d", s.Version, raisedSnapshot)
	}
	if s.Offset > s.Applied {
		return fmt.Errorf("store: snapshot at revision %d with an offset of %d", s.Applied, s.Offset)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.records
	m.records = make(map[string]Record, len(s.Records))
	for _, r := range s.Records {
		m.records[r.Key] = r
		if old[r.Key].Revision != r.Revision {
			m.notify(r)
		}
	}
	for key := range old {
		if _, ok := m.records[key]; !ok {
			m.notify(Record{Key: key, Revision: s.Applied})
		}
	}
	m.offset, m.index = s.Offset, max(m.index, s.Applied-s.Offset)
	revision := max(m.revision, s.Applied)
	if m.history != nil {
		m.history.reset(revision)
	}
	m.advance(revision)
	return nil
}

// Persist implements raft.FSMSnapshot.
func (s *snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (s *snapshot) Release() {}
