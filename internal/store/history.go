package store

import (
	"slices"
	"sort"
	"strings"
	"sync"
)

const (
	cachedTransactions = 32 // newest transactions with cached encodings; sessions that read older ones encode for themselves
	maxCachedEncodings = 64 // cached encodings of one transaction
)

// transaction is the set of changes that one command made under the served prefix.
type transaction struct {
	revision uint64
	changes  []change
	size     int // bytes of keys and values

	mu        sync.Mutex
	encodings map[string][]byte // by the bit set of the changes that the encoding contains
	cached    bool              // whether new encodings are cached
}

// history keeps the latest transactions, so that sessions can read them at their own pace and resume. It is bounded in count
// and in bytes; a session whose revision is below its floor needs a snapshot. The machine's lock is held only during append
// and reset, and sessions never hold it.
type history struct {
	prefix          string
	limit, maxBytes int
	changed         chan struct{} // buffered signal: the history has changed

	mu         sync.Mutex
	retained   []*transaction // ordered by revision
	bytes      int
	floor      uint64 // all transactions after this revision are kept
	applied    uint64 // the history is complete up to this revision
	lastChange uint64 // revision of the last served change, or of the last reset
	lastReset  uint64 // revision of the last reset
}

func newHistory(prefix string, limit, maxBytes int) *history {
	return &history{prefix: prefix, limit: limit, maxBytes: maxBytes, changed: make(chan struct{}, 1)}
}

// append adds the changes of one command, possibly none.
func (h *history) append(revision uint64, changes []change) {
	var served []change
	size := 0
	for _, c := range changes {
		if strings.HasPrefix(c.Key, h.prefix) {
			served = append(served, c)
			size += len(c.Key) + len(c.Value)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied = revision
	if len(served) == 0 {
		return
	}
	h.lastChange = revision
	h.retained = append(h.retained, &transaction{revision: revision, changes: served, size: size, cached: true})
	h.bytes += size
	if aged := len(h.retained) - 1 - cachedTransactions; aged >= 0 {
		h.retained[aged].forgetEncodings()
	}
	for len(h.retained) > h.limit || h.bytes > h.maxBytes && len(h.retained) > 1 {
		h.dropOldest()
	}
	h.signal()
}

// dropOldest removes the oldest transaction and raises the floor to its revision.
func (h *history) dropOldest() {
	oldest := h.retained[0]
	h.floor = oldest.revision
	h.bytes -= oldest.size
	h.retained[0] = nil
	h.retained = h.retained[1:]
}

// reset discards all transactions: the state was replaced at a revision, and sessions can't resume from before it.
func (h *history) reset(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retained, h.bytes = nil, 0
	h.floor, h.applied, h.lastChange, h.lastReset = revision, revision, revision, revision
	h.signal()
}

// signal notifies the dispatcher that the history has changed.
func (h *history) signal() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// since returns up to limit transactions after a revision, and the revision up to which they are complete. ok is false if
// some of them are no longer kept.
func (h *history) since(revision uint64, limit int) (transactions []*transaction, upTo uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision < h.floor {
		return nil, revision, false
	}
	first := sort.Search(len(h.retained), func(i int) bool { return h.retained[i].revision > revision })
	rest := h.retained[first:]
	if len(rest) > limit {
		rest = rest[:limit]
		return slices.Clone(rest), rest[limit-1].revision, true
	}
	return slices.Clone(rest), max(h.applied, revision), true
}

// state returns the revision from which sessions can resume, the revision up to which the history is complete, and the
// revision of the last change of a served record or of the last reset.
func (h *history) state() (floor, applied, lastChange uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.floor, h.applied, h.lastChange
}

// wasReset reports whether a revision is before the last reset.
func (h *history) wasReset(revision uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return revision < h.lastReset
}

// forgetEncodings drops the cached encodings and disables the cache.
func (t *transaction) forgetEncodings() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.encodings, t.cached = nil, false
}

// line returns the encoded event with the transaction's changes under some prefixes; nil if there are none. Sessions whose
// prefixes select the same changes share one encoding.
func (t *transaction) line(prefixes []string) []byte {
	included := make([]byte, (len(t.changes)+7)/8)
	matched := false
	for i, c := range t.changes {
		if hasAnyPrefix(c.Key, prefixes) {
			included[i/8] |= 1 << (i % 8)
			matched = true
		}
	}
	if !matched {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if line, ok := t.encodings[string(included)]; ok {
		return line
	}
	line := t.encode(included)
	if t.cached && len(t.encodings) < maxCachedEncodings {
		if t.encodings == nil {
			t.encodings = map[string][]byte{}
		}
		t.encodings[string(included)] = line
	}
	return line
}

// encode encodes the changes whose bits are set in included.
func (t *transaction) encode(included []byte) []byte {
	e := &wireEvent{Kind: Change, Revision: t.revision}
	for i, c := range t.changes {
		if included[i/8]&(1<<(i%8)) != 0 {
			e.Records = append(e.Records, wireRecord{c.Key, c.Value, c.Revision, c.deleted})
		}
	}
	return e.line()
}

// hasAnyPrefix reports whether a key has one of the prefixes.
func hasAnyPrefix(key string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}
