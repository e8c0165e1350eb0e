package store

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func putChange(key string, size int) []change {
	return []change{{Record: Record{Key: key, Value: make([]byte, size)}}}
}

// From any revision that is not below the floor, a reader gets every later served transaction exactly once and in order; below
// the floor the read fails. The history stays within its limits.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, maxBytes := rapid.IntRange(1, 8).Draw(t, "limit"), rapid.IntRange(1, 400).Draw(t, "bytes")
		h := newHistory("s/", limit, maxBytes)
		var all []uint64 // revisions of served transactions
		revision := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			revision += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind == 0:
				h.reset(revision)
				all = nil
			case kind < 3:
				h.append(revision, putChange("other", 10))
			default:
				h.append(revision, putChange("s/x", rapid.IntRange(0, 100).Draw(t, "size")))
				all = append(all, revision)
			}
			require.LessOrEqual(t, len(h.retained), limit)
			require.True(t, h.bytes <= maxBytes || len(h.retained) == 1, "%d bytes", h.bytes)
			floor, applied, _ := h.state()
			require.Equal(t, revision, applied)
			after := uint64(rapid.IntRange(0, int(revision)).Draw(t, "after"))
			most := rapid.IntRange(1, 4).Draw(t, "most")
			for {
				got, upTo, ok := h.since(after, most)
				require.Equal(t, after >= floor, ok)
				if !ok {
					break
				}
				var want, have []uint64
				for _, r := range all {
					if r > after && r <= upTo {
						want = append(want, r)
					}
				}
				for _, tr := range got {
					have = append(have, tr.revision)
				}
				require.Equal(t, want, have)
				if upTo == revision {
					break
				}
				require.Greater(t, upTo, after)
				after = upTo
			}
		}
	})
}

// Sessions whose prefixes select the same changes of a transaction share one encoding; others get their own.
func TestSharedEncodings(t *testing.T) {
	h := newHistory("", 100, 1<<20)
	h.append(1, []change{{Record: Record{"a/1", []byte("x"), 1}}, {Record: Record{Key: "b/1", Revision: 1}, deleted: true}})
	got, _, _ := h.since(0, 1)
	one, two := got[0].line([]string{"a/"}), got[0].line([]string{"a/1", "c/"})
	require.Same(t, &one[0], &two[0])
	both := got[0].line([]string{""})
	require.NotEqual(t, one, both)
	require.Nil(t, got[0].line([]string{"c/"}))
	var r result
	require.NoError(t, json.Unmarshal(both, &r))
	require.Equal(t, []Record{{"a/1", []byte("x"), 1}, {"b/1", nil, 1}}, r.Event.event().Records)

	for i := range cachedTransactions + 1 {
		h.append(uint64(2+i), putChange("a/1", 1))
	}
	require.Empty(t, got[0].encodings, "an old transaction still has cached encodings")
}

// A view returns the records under a session's prefixes without duplicates, and one shared encoding for sessions that select
// the same records.
func TestView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &view{revision: 9}
		for _, key := range []string{"a", "a/1", "a/2", "ab", "b/1", "b/1/x", "c"} {
			if rapid.Bool().Draw(t, key) {
				v.records = append(v.records, Record{key, []byte{}, uint64(rapid.IntRange(1, 9).Draw(t, "revision"))})
			}
		}
		prefixes := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "a/", "a/1", "b", "b/1/", "d"}), 1, 4).Draw(t, "prefixes")
		var want []Record
		newest := uint64(0)
		for _, r := range v.records {
			if hasAnyPrefix(r.Key, prefixes) {
				want = append(want, r)
				newest = max(newest, r.Revision)
			}
		}
		var got result
		line := v.line(prefixes)
		require.NoError(t, json.Unmarshal(line, &got))
		require.Equal(t, WatchEvent{Kind: Snapshot, Revision: 9, Records: want}, got.Event.event())
		require.Equal(t, newest, v.newest(prefixes))
		again := v.line(append([]string{"d"}, prefixes...))
		require.Same(t, &line[0], &again[0])
	})
}

// Any log of commands, including transactions, gives the same records and answers at a member that applies all of it and at
// one that restores a snapshot in the middle.
func TestTransactionsAreDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newMachine(), newMachine()
		key := rapid.SampledFrom([]string{"a", "b", "c"})
		at := rapid.Custom(func(t *rapid.T) *uint64 {
			if rapid.Bool().Draw(t, "any revision") {
				return nil
			}
			revision := uint64(rapid.IntRange(0, 12).Draw(t, "at"))
			return &revision
		})
		write := rapid.Custom(func(t *rapid.T) Write {
			return Write{Key: key.Draw(t, "key"), Value: []byte(rapid.StringN(0, 2, 4).Draw(t, "value")), Delete: rapid.Bool().Draw(t, "delete"), At: at.Draw(t, "at")}
		})
		swap := rapid.IntRange(0, 30).Draw(t, "snapshot after")
		for i := range 30 {
			c := command{Op: opTransact, Writes: rapid.SliceOfN(write, 0, 3).Draw(t, "writes")}
			if rapid.IntRange(0, 3).Draw(t, "single") == 0 {
				c = command{Op: opPut, Key: key.Draw(t, "key"), Value: []byte("v")}
			}
			before := a.list("")
			l := logEntry(t, uint64(i+1), c)
			answer := a.Apply(l)
			require.Equal(t, answer, b.Apply(l))
			after := a.list("")
			require.Equal(t, after, b.list(""))
			checkAtomic(t, c, answer.(result), before, after)
			if i == swap {
				b = restoredCopy(t, b)
			}
		}
	})
}

func logEntry(t require.TestingT, index uint64, c command) *raft.Log {
	data, err := json.Marshal(c)
	require.NoError(t, err)
	return &raft.Log{Index: index, Data: data}
}

// restoredCopy returns a machine restored from the snapshot of another.
func restoredCopy(t require.TestingT, from *machine) *machine {
	s, err := from.Snapshot()
	require.NoError(t, err)
	sink := &memSink{}
	require.NoError(t, s.Persist(sink))
	m := newMachine()
	require.NoError(t, m.Restore(io.NopCloser(&sink.Buffer)))
	return m
}

// checkAtomic fails if a command was applied in part, or if its result does not match the records.
func checkAtomic(t require.TestingT, c command, r result, before, after []Record) {
	if r.Conflict || r.Fault != "" {
		require.Equal(t, before, after)
		return
	}
	held := map[string]Record{}
	for _, record := range after {
		held[record.Key] = record
	}
	for _, w := range c.writes() {
		record, ok := held[w.Key]
		require.Equal(t, !w.Delete, ok, w.Key)
		if ok {
			require.Equal(t, r.Revision, record.Revision)
			require.True(t, bytes.Equal(w.Value, record.Value))
		}
	}
}

// Log entries written by versions without transactions are applied as before.
func TestEntriesOfEarlierVersions(t *testing.T) {
	m := newMachine()
	for i, text := range []string{
		`{"op":"put","key":"a","value":"MQ=="}`,
		`{"op":"put-at","key":"a","value":"Mg==","at":1}`,
		`{"op":"put-at","key":"a","value":"Mw==","at":1,"hop":true}`,
		`{"op":"put","key":"b","value":"MQ=="}`,
		`{"op":"delete","key":"b","hop":true}`,
		`{"op":"transact"}`,
	} {
		m.Apply(&raft.Log{Index: uint64(i + 1), Data: []byte(text)})
	}
	require.Equal(t, []Record{{"a", []byte("2"), 2}}, m.list(""))
	require.Equal(t, uint64(6), m.lastIndex())

}
