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
	applied  uint64
	more     chan struct{} // closed and renewed when applied grows
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
	r := result{Revision: l.Index}
	var changes []change
	if err != nil {
		r.Fault = err.Error()
	} else {
		changes = m.changes(&c, &r)
	}
	m.carryOut(changes)
	m.moved(l.Index, changes)
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

func (m *machine) moved(index uint64, changes []change) {
	if m.history != nil { // before advance: who waits for a revision finds it in the history
		m.history.append(index, changes)
	}
	m.advance(index)
}

func (m *machine) advance(index uint64) {
	m.applied = index
	close(m.more)
	m.more = make(chan struct{})
}

// index is that of the last entry that the machine itself has applied; raft's own count runs ahead of it, since it counts
// entries handed over.
func (m *machine) index() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}

// wait returns once a revision is applied here.
func (m *machine) wait(ctx context.Context, revision uint64) error {
	for {
		m.mu.Lock()
		done, more := m.applied >= revision, m.more
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
	revision = m.applied
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

// snapshotVersion is that of the form below. Version 0, which had no such field and is otherwise the same, is read too.
const snapshotVersion = 1

type snapshot struct {
	Version int      `json:"version"`
	Applied uint64   `json:"applied"`
	Records []Record `json:"records"`
}

// Snapshot implements raft.FSM.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	records, applied := m.listAt("")
	return &snapshot{snapshotVersion, applied, records}, nil
}

// Restore implements raft.FSM. Watchers hear of what differs.
func (m *machine) Restore(in io.ReadCloser) error {
	defer in.Close()
	var s snapshot
	if err := json.NewDecoder(in).Decode(&s); err != nil {
		return err
	}
	if s.Version > snapshotVersion {
		return fmt.Errorf("store: snapshot of version %d, this program reads up to version %d", s.Version, snapshotVersion)
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
	applied := max(m.applied, s.Applied)
	if m.history != nil {
		m.history.reset(applied)
	}
	m.advance(applied)
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
