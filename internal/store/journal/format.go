package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"
)

// A journal is a sequence of segment files named NUMBER.journal (16 hex digits, ascending). Each segment starts with the magic
// and a version byte, followed by frames:
//
//	mark     2 bytes: 0xB3 0x4A
//	flags    1 byte: 1 = everything before this frame was synced when the frame was written
//	length   4 bytes, little endian: of the payload
//	checksum 8 bytes, little endian: XXH64 of flags, length and payload
//	payload  a change, encoded as CBOR
//
// The first frame of a segment is a checkpoint: it contains the state of all earlier segments except for their log entries.
// So the earlier segments can be removed once none of their entries is needed.
const (
	magic = "bmxjrnl"
	// Version is the version of the format: the byte after the magic.
	Version  = 1
	ext      = ".journal"
	frameTop = 15       // bytes of a frame before its payload
	frameMax = 64 << 20 // bytes of a payload
	synced   = 1        // value of flags
)

var mark = []byte{0xB3, 0x4A}

// change is the payload of a frame. It is applied atomically.
type change struct {
	Entries []entry           `cbor:"1,keyasint,omitempty"`
	Back    uint64            `cbor:"2,keyasint,omitempty"` // entries from this index on are removed before Entries are added
	Front   uint64            `cbor:"3,keyasint,omitempty"` // entries before this index are removed
	Set     map[string][]byte `cbor:"4,keyasint,omitempty"` // stable values, by key
	All     bool              `cbor:"5,keyasint,omitempty"` // a checkpoint: Set replaces all stable values
	Before  int64             `cbor:"6,keyasint,omitempty"` // of a checkpoint: size of the previous segment
}

// entry is the encoding of a raft log entry.
type entry struct {
	Index      uint64       `cbor:"1,keyasint"`
	Term       uint64       `cbor:"2,keyasint"`
	Type       raft.LogType `cbor:"3,keyasint,omitempty"`
	Data       []byte       `cbor:"4,keyasint,omitempty"`
	Extensions []byte       `cbor:"5,keyasint,omitempty"`
	AppendedAt int64        `cbor:"6,keyasint,omitempty"` // Unix nanoseconds
}

// segment is one file of a journal.
type segment struct {
	number uint64
	size   int64  // bytes
	high   uint64 // highest index of its entries
}

func (s *segment) name() string { return fmt.Sprintf("%016x%s", s.number, ext) }

// DamageError reports that data of a journal that had been synced can no longer be read.
type DamageError struct {
	File   string
	Offset int64
	What   string
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at byte %d: %s; run 'beammux store verify', then restore a backup or let the member rejoin with an empty folder",
		e.File, e.Offset, e.What)
}

// append appends a frame with a change to a buffer.
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

// frame decodes the frame at the start of text; payload is nil if there is no valid frame.
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

// sum returns the checksum of a frame.
func sum(top, payload []byte) uint64 {
	d := xxhash.New()
	d.Write(top)
	d.Write(payload)
	return d.Sum64()
}

// followed reports whether text contains, after its first byte, a valid frame that was written after a sync.
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
