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
	if o.Segment <= 0 {
		o.Segment = 4 << 20
	}
	j := &Journal{Options: o, entries: map[uint64]entry{}, stable: map[string][]byte{}}
	names, err := o.FS.List(o.Dir)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		base, ok := strings.CutSuffix(name, ext)
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
	text, err := j.FS.Read(file)
	if err != nil {
		return err
	}
	damage := func(at int, what string) error { return &DamageError{file, int64(at), what} }
	head := len(magic) + 1
	if len(text) < head || string(text[:len(magic)]) != magic {
		// A segment is created with one write and synced before anything else is written to it, so an incomplete start
		// without a later synced frame comes from a crash.
		if last && !followed(text) {
			j.Cut += int64(len(text))
			return nil
		}
		return damage(0, "not a journal")
	}
	if v := text[len(magic)]; v != Version {
		return damage(len(magic), fmt.Sprintf("format version %d, this program reads version %d", v, Version))
	}
	at := head
	for at < len(text) {
		payload, _, size := frame(text[at:])
		var c change
		if payload == nil || cbor.Unmarshal(payload, &c) != nil {
			// The frame is an incomplete write of a crash if no later frame was written after a sync.
			if !last || followed(text[at:]) {
				return damage(at, "unreadable frame, which later frames show to have been synced")
			}
			if at == head {
				at = 0 // not even the checkpoint is complete: the segment is created again
			}
			j.Cut += int64(len(text) - at)
			break
		}
		if i := slices.Index(j.segments, s); at == head && i > 0 && c.Before != j.segments[i-1].size {
			before := j.segments[i-1]
			return &DamageError{filepath.Join(j.Dir, before.name()), before.size, fmt.Sprintf("the file is truncated or has extra data: its size was %d bytes", c.Before)}
		}
		j.apply(c)
		if n := len(c.Entries); n > 0 {
			s.high = max(s.high, c.Entries[n-1].Index)
		}
		at += size
	}
	s.size = int64(at)
	return nil
}

// apply applies one change in memory.
func (j *Journal) apply(c change) {
	if c.All {
		j.stable = map[string][]byte{}
	}
	for k, v := range c.Set {
		j.stable[k] = v
	}
	if c.Back > 0 {
		for ; j.high >= c.Back && j.high >= j.low && j.high > 0; j.high-- {
			delete(j.entries, j.high)
		}
	}
	for _, e := range c.Entries {
		if j.low == 0 || j.high < j.low {
			j.low = e.Index
		}
		j.entries[e.Index] = e
		j.high = e.Index
	}
	if c.Front > 0 {
		j.front = max(j.front, c.Front)
		for ; j.low > 0 && j.low < c.Front && j.low <= j.high; j.low++ {
			delete(j.entries, j.low)
		}
	}
	if j.low > j.high {
		j.low, j.high = 0, 0
	}
}
