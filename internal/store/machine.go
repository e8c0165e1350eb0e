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

const (
	opPut    = "put"
	opPutAt  = "put-at"
	opDelete = "delete"

	// opTransact carries out several writes at one revision, or none.
	opTransact = "transact"

	// Read at the member that is asked, never in the log.
	opGet    = "get"
	opList   = "list"
	opStatus = "status"
	opWatch  = "watch"

	// opReduce replaces a record by what its reducer makes of it and of the command's value, alike at every member.
	opReduce = "reduce"

	// opRaise lifts the revisions of the group above one (command.At).
	opRaise = "raise"

	// Decided and carried out at the leader.
	opMember = "member"
)

// command is one entry of the log.
type command struct {
	Op    string `json:"op"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	At    uint64 `json:"at,omitempty"`
	Hop   bool   `json:"hop,omitempty"` // forwarded once already

	Writes []Write       `json:"writes,omitempty"` // of a transaction
	Member *MemberChange `json:"member,omitempty"`
	Watch  *WatchRequest `json:"watch,omitempty"` // of a watch that is a session
	Want   string        `json:"want,omitempty"`  // of a status: what to tell in its place

	// Of a reduce, stamped by the leader that takes it: its term, and its monotonic clock in microseconds.
	Epoch uint64 `json:"epoch,omitempty"`
	Now   int64  `json:"now,omitempty"`
}

// result is what applying a command gave.
type result struct {
	Revision uint64 `json:"revision,omitempty"`
	Conflict bool   `json:"conflict,omitempty"`
	Fault    string `json:"fault,omitempty"`

	Records []Record `json:"records,omitempty"` // of get, list and watch
	Status  *Status  `json:"status,omitempty"`
	Done    string   `json:"done,omitempty"`   // what a change of members did
	Answer  []byte   `json:"answer,omitempty"` // of a reduce

	Typed    *wireFault      `json:"typed,omitempty"` // of a Fault that is an error of a type
	Event    *wireEvent      `json:"event,omitempty"` // of a session
	Counts   *counts         `json:"counts,omitempty"`
	Sessions []SessionStatus `json:"sessions,omitempty"`
}

// Reducer makes a record's next value of its last one (nil where there is none) and of a request, and an answer. It must be
// a pure function: every member applies it to the same log. epoch is the leader's term and now its clock when it took the
// request; clocks of two epochs have nothing to do with each other. With an error nothing changes.
type Reducer func(old, request []byte, epoch uint64, now control.Micros) (value, answer []byte, err error)

type watcher struct {
	prefix string
	f      func(Record) bool // false: it hears no more
}

// machine is the replicated state: raft applies committed commands to it, alike at every node.
type machine struct {
	mu       sync.Mutex
	records  map[string]Record
	reducers map[string]Reducer // by key
	index    uint64             // of the last entry applied
	revision uint64             // of the records: the index and the offset
	offset   uint64             // by which revisions are above indexes, see raise
	more     chan struct{}      // closed and renewed when revision grows
	watchers []*watcher
	history  *history // nil where no sessions are served
}

func newMachine() *machine { return &machine{records: map[string]Record{}, more: make(chan struct{})} }

// change is what one command made of one record.
type change struct {
	Record
	deleted bool
}

// Apply implements raft.FSM. A command that can't be read changes nothing, alike at every node.
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
	m.carryOut(changes)
	m.moved(r.Revision, changes)
	return r
}

// changes are what a command is to make of the records, and r its answer. Nothing is changed yet.
func (m *machine) changes(c *command, r *result) []change {
	switch c.Op {
	case opPut, opPutAt, opDelete, opTransact:
		return m.transact(c, r)
	case opReduce:
		return m.reduce(c, r)
	}
	return nil
}

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

func (m *machine) carryOut(changes []change) {
	for _, c := range changes {
		if c.deleted {
			delete(m.records, c.Key)
		} else {
			m.records[c.Key] = c.Record
		}
	}
	for _, c := range changes { // after all: who hears of one reads all
		m.tell(c.Record)
	}
}

func (m *machine) tell(r Record) {
	m.watchers = slices.DeleteFunc(m.watchers, func(w *watcher) bool {
		return strings.HasPrefix(r.Key, w.prefix) && !w.f(r)
	})
}

func (m *machine) moved(revision uint64, changes []change) {
	if m.history != nil { // before advance: who waits for a revision finds it in the history
		m.history.append(revision, changes)
	}
	m.advance(revision)
}

func (m *machine) advance(revision uint64) {
	m.revision = revision
	close(m.more)
	m.more = make(chan struct{})
}

// lastIndex is that of the last entry that the machine itself has applied; raft's own count runs ahead of it, since it counts
// entries handed over.
func (m *machine) lastIndex() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.index
}

// lastRevision is the revision of the records.
func (m *machine) lastRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// wait returns once a revision is applied here.
func (m *machine) wait(ctx context.Context, revision uint64) error {
	for {
		m.mu.Lock()
		done, more := m.revision >= revision, m.more
		m.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-more:
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

func (m *machine) list(prefix string) []Record {
	all, _ := m.listAt(prefix)
	return all
}

// listAt is list with the revision at which the records were so.
func (m *machine) listAt(prefix string) (all []Record, revision uint64) {
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

func (m *machine) watch(prefix string, f func(Record)) {
	m.watchUntil(prefix, func(r Record) bool { f(r); return true })
}

// watchUntil calls f for each change until it says false or stop is called.
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

// Versions of the form below. Version 0, which had no such field and is otherwise that of plainSnapshot, is read too. A group
// whose revisions were raised writes raisedSnapshot, which programs that know nothing of that must not take for the other.
const (
	plainSnapshot  = 1
	raisedSnapshot = 2
)

type snapshot struct {
	Version int      `json:"version"`
	Applied uint64   `json:"applied"`          // revision
	Offset  uint64   `json:"offset,omitempty"` // of revisions above indexes
	Records []Record `json:"records"`
}

// Snapshot implements raft.FSM.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	records, revision := m.listAt("")
	m.mu.Lock() // raft applies nothing meanwhile
	defer m.mu.Unlock()
	s := &snapshot{Version: plainSnapshot, Applied: revision, Offset: m.offset, Records: records}
	if s.Offset > 0 {
		s.Version = raisedSnapshot
	}
	return s, nil
}

// Restore implements raft.FSM. Watchers hear of what differs.
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
			m.tell(r)
		}
	}
	for key := range old {
		if _, ok := m.records[key]; !ok {
			m.tell(Record{Key: key, Revision: s.Applied})
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
