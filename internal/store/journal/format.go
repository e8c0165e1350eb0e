package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"
)

// A journal is a row of segments named NUMBER.journal (16 hex digits, growing). Each begins with the magic, then comes one
// frame after another:
//
//	mark     2 bytes: 0xB3 0x4A
//	flags    1 byte: 1 = all before this frame had been synced when it was written
//	length   4 bytes, little endian: of the payload
//	checksum 8 bytes, little endian: XXH64 of flags, length and payload
//	payload  CBOR: a change
//
// The first frame of a segment is a checkpoint of all that the segments before it hold beside log entries, so those can go
// once none of their entries is needed.
const (
	magic    = "bmxjrnl"
	Version  = 1 // of the format: the byte after the magic
	ext      = ".journal"
	frameTop = 15
	frameMax = 64 << 20
	synced   = 1
)

var mark = []byte{0xB3, 0x4A}

// change is what one frame does. All of it happens or nothing.
type change struct {
	Entries []entry           `cbor:"1,keyasint,omitempty"`
	Back    uint64            `cbor:"2,keyasint,omitempty"` // entries from this index on are void, before Entries are added
	Front   uint64            `cbor:"3,keyasint,omitempty"` // entries before this index are void
	Set     map[string][]byte `cbor:"4,keyasint,omitempty"` // stable values
	All     bool              `cbor:"5,keyasint,omitempty"` // a checkpoint: Front and Set are all there is
	Before  int64             `cbor:"6,keyasint,omitempty"` // bytes of the segment before a checkpoint's
}

type entry struct {
	Index      uint64       `cbor:"1,keyasint"`
	Term       uint64       `cbor:"2,keyasint"`
	Type       raft.LogType `cbor:"3,keyasint,omitempty"`
	Data       []byte       `cbor:"4,keyasint,omitempty"`
	Extensions []byte       `cbor:"5,keyasint,omitempty"`
	AppendedAt int64        `cbor:"6,keyasint,omitempty"` // Unix nanoseconds
}

type segment struct {
	number uint64
	size   int64
	high   uint64 // last index of an entry in it
}

func (s *segment) name() string { return fmt.Sprintf("%016x%s", s.number, ext) }

// DamageError says that a journal holds what was once safe and can't be read any more.
type DamageError struct {
	File   string
	Offset int64
	What   string
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at byte %d: %s; see 'beammux store verify', and restore a backup or let the member join anew with an empty folder",
		e.File, e.Offset, e.What)
}

// append adds a frame to a buffer.
func (j *Journal) append(b []byte, c change, flags byte) ([]byte, error) {
	j.buf.Reset()
	if err := cbor.MarshalToBuffer(c, &j.buf); err != nil {
		return b, err
	}
	top := len(b)
	b = append(b, mark...)
	b = append(b, flags)
	b = binary.LittleEndian.AppendUint32(b, uint32(j.buf.Len()))
	b = binary.LittleEndian.AppendUint64(b, sum(b[top+2:top+7], j.buf.Bytes()))
	return append(b, j.buf.Bytes()...), nil
}

// frame reads the frame at the beginning of a text; payload is nil if there is none.
func frame(text []byte) (payload []byte, flags byte, size int) {
	if len(text) < frameTop || !bytes.HasPrefix(text, mark) {
		return nil, 0, 0
	}
	length := int(binary.LittleEndian.Uint32(text[3:]))
	if length > frameMax || len(text) < frameTop+length {
		return nil, 0, 0
	}
	payload = text[frameTop : frameTop+length]
	if sum(text[2:7], payload) != binary.LittleEndian.Uint64(text[7:]) {
		return nil, 0, 0
	}
	return payload, text[2], frameTop + length
}

func sum(top, payload []byte) uint64 {
	d := xxhash.New()
	d.Write(top)
	d.Write(payload)
	return d.Sum64()
}

// followed tells whether a frame that was written after a sync stands somewhere behind the beginning of a text.
func followed(text []byte) bool {
	for at := 1; at < len(text); at++ {
		i := bytes.Index(text[at:], mark)
		if i < 0 {
			return false
		}
		at += i
		if payload, flags, _ := frame(text[at:]); payload != nil && flags&synced != 0 {
			return true
		}
	}
	return false
}
