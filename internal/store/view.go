package store

import (
	"sort"
	"strings"
	"sync"
)

const maxCachedSnapshots = 64 // cached encodings of one view

// view holds all served records at one revision, ordered by key. It is shared by all sessions that need a snapshot until a
// served record changes.
type view struct {
	records  []Record
	revision uint64

	mu    sync.Mutex
	lines map[string][]byte // cached encodings of snapshots, by the ranges of records that they contain
}

// keyRange is the half-open range of indexes [from, to) in view.records.
type keyRange struct{ from, to int }

// ranges returns the ranges of the records under some prefixes, in order and without overlaps.
func (v *view) ranges(prefixes []string) []keyRange {
	var all []keyRange
	for _, p := range prefixes {
		from := sort.Search(len(v.records), func(i int) bool { return v.records[i].Key >= p })
		count := sort.Search(len(v.records)-from, func(i int) bool { return !strings.HasPrefix(v.records[from+i].Key, p) })
		if count > 0 {
			all = append(all, keyRange{from, from + count})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].from < all[j].from })
	var merged []keyRange
	for _, r := range all {
		if last := len(merged) - 1; last >= 0 && r.from < merged[last].to {
			merged[last].to = max(merged[last].to, r.to)
			continue
		}
		merged = append(merged, r)
	}
	return merged
}

// newest returns the highest revision of the records under some prefixes; 0 if there are none.
func (v *view) newest(prefixes []string) (revision uint64) {
	for _, r := range v.ranges(prefixes) {
		for _, record := range v.records[r.from:r.to] {
			revision = max(revision, record.Revision)
		}
	}
	return revision
}

// line returns the encoded snapshot of the records under some prefixes.
func (v *view) line(prefixes []string) []byte {
	ranges := v.ranges(prefixes)
	var cacheKey strings.Builder
	for _, r := range ranges {
		for _, i := range []int{r.from, r.to} {
			cacheKey.Write([]byte{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)})
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if line, ok := v.lines[cacheKey.String()]; ok {
		return line
	}
	e := &wireEvent{Kind: Snapshot, Revision: v.revision}
	for _, r := range ranges {
		for _, record := range v.records[r.from:r.to] {
			e.Records = append(e.Records, wireRecord{record.Key, record.Value, record.Revision, false})
		}
	}
	line := e.line()
	if len(v.lines) < maxCachedSnapshots {
		if v.lines == nil {
			v.lines = map[string][]byte{}
		}
		v.lines[cacheKey.String()] = line
	}
	return line
}
