package journal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// read reads the files into a new Journal without changing them.
func read(o Options) (*Journal, error) {
	if o.FS == nil {
		o.FS = Disk{}
	}
	if o.SegmentSize <= 0 {
		o.SegmentSize = 4 << 20
	}
	j := &Journal{Options: o, entries: map[uint64]entry{}, stable: map[string][]byte{}}
	names, err := o.FS.List(o.Dir)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		base, ok := strings.CutSuffix(name, fileExtension)
		number, err := strconv.ParseUint(base, 16, 64)
		if !ok || err != nil {
			continue
		}
		j.segments = append(j.segments, &segment{number: number})
	}
	for i, s := range j.segments {
		if i > 0 && s.number != j.segments[i-1].number+1 {
			return nil, &DamageError{filepath.Join(o.Dir, s.name()), 0, "the previous segment is missing"}
		}
		if err := j.load(s, i == len(j.segments)-1); err != nil {
			return nil, err
		}
	}
	return j, nil
}

// load reads one segment and applies its changes. last marks the last segment, which may end in an incomplete write.
func (j *Journal) load(s *segment, last bool) error {
	file := filepath.Join(j.Dir, s.name())
	data, err := j.FS.Read(file)
	if err != nil {
		return err
	}
	damage := func(offset int, reason string) error { return &DamageError{file, int64(offset), reason} }
	headerSize := len(magic) + 1
	if len(data) < headerSize || string(data[:len(magic)]) != magic {
		// A segment is created with one write and synced before anything else is written to it, so an incomplete start
		// without a later synced frame comes from a crash.
		if last && !hasSyncedFrame(data) {
			j.TruncatedBytes += int64(len(data))
			return nil
		}
		return damage(0, "not a journal")
	}
	if v := data[len(magic)]; v != Version {
		return damage(len(magic), fmt.Sprintf("format version %d, this program reads version %d", v, Version))
	}
	offset := headerSize
	for offset < len(data) {
		payload, _, size := decodeFrame(data[offset:])
		var c change
		if payload == nil || cbor.Unmarshal(payload, &c) != nil {
			// The frame is an incomplete write of a crash if no later frame was written after a sync.
			if !last || hasSyncedFrame(data[offset:]) {
				return damage(offset, "unreadable frame, which later frames show to have been synced")
			}
			if offset == headerSize {
				offset = 0 // not even the checkpoint is complete: the segment is created again
			}
			j.TruncatedBytes += int64(len(data) - offset)
			break
		}
		if i := slices.Index(j.segments, s); offset == headerSize && i > 0 && c.PreviousSize != j.segments[i-1].size {
			previous := j.segments[i-1]
			return &DamageError{filepath.Join(j.Dir, previous.name()), previous.size, fmt.Sprintf("the file is truncated or has extra data: its size was %d bytes", c.PreviousSize)}
		}
		j.apply(c)
		if n := len(c.Entries); n > 0 {
			s.lastIndex = max(s.lastIndex, c.Entries[n-1].Index)
		}
		offset += size
	}
	s.size = int64(offset)
	return nil
}

// apply applies one change in memory.
func (j *Journal) apply(c change) {
	if c.Checkpoint {
		j.stable = map[string][]byte{}
	}
	for k, v := range c.Set {
		j.stable[k] = v
	}
	if c.TruncateFrom > 0 {
		for ; j.last >= c.TruncateFrom && j.last >= j.first && j.last > 0; j.last-- {
			delete(j.entries, j.last)
		}
	}
	for _, e := range c.Entries {
		if j.first == 0 || j.last < j.first {
			j.first = e.Index
		}
		j.entries[e.Index] = e
		j.last = e.Index
	}
	if c.TruncateBefore > 0 {
		j.firstKept = max(j.firstKept, c.TruncateBefore)
		for ; j.first > 0 && j.first < c.TruncateBefore && j.first <= j.last; j.first++ {
			delete(j.entries, j.first)
		}
	}
	if j.first > j.last {
		j.first, j.last = 0, 0
	}
}
