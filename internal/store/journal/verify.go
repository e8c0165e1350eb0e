package journal

import (
	"fmt"

	"github.com/hashicorp/raft"
)

// Stats summarizes the content of a journal.
type Stats struct {
	Dir      string `json:"dir"`
	Segments int    `json:"segments"`
	Bytes    int64  `json:"bytes"`
	First    uint64 `json:"first_index"`
	Last     uint64 `json:"last_index"`
	Term     uint64 `json:"term"`
	Torn     int64  `json:"torn_bytes"` // bytes of an incomplete write at the end, which the next Open removes
}

// Verify reads a journal without changing it. The error is a *DamageError if the journal is damaged.
func Verify(dir string, fs FS) (Stats, error) {
	s, _, err := Inspect(dir, fs)
	return s, err
}

// Inspect is like Verify and also returns the log entries in order.
func Inspect(dir string, fs FS) (s Stats, logs []*raft.Log, err error) {
	s.Dir = dir
	j, err := read(Options{Dir: dir, FS: fs})
	if err != nil {
		return s, nil, err
	}
	s.Segments, s.First, s.Last, s.Torn = len(j.segments), j.first, j.last, j.TruncatedBytes
	for _, seg := range j.segments {
		s.Bytes += seg.size
	}
	s.Term, _ = j.GetUint64([]byte("CurrentTerm"))
	for i := j.first; i > 0 && i <= j.last; i++ {
		l := &raft.Log{}
		if err := j.GetLog(i, l); err != nil {
			return s, nil, &DamageError{dir, 0, fmt.Sprintf("entry %d is missing", i)}
		}
		logs = append(logs, l)
	}
	return s, logs, nil
}
