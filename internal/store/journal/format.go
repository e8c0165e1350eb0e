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
	Version         = 1
	fileExtension   = ".journal"
	frameHeaderSize = 15       // bytes of a frame before its payload
	maxPayloadSize  = 64 << 20 // bytes of a payload
	synced          = 1        // value of flags
)

// frameMark starts each frame.
var frameMark = []byte{0xB3, 0x4A}

// change is the payload of a frame. It is applied atomically.
type change struct {
	Entries        []entry           `cbor:"1,keyasint,omitempty"`
	TruncateFrom   uint64            `cbor:"2,keyasint,omitempty"` // entries from this index on are removed before Entries are added
	TruncateBefore uint64            `cbor:"3,keyasint,omitempty"` // entries before this index are removed
	Set            map[string][]byte `cbor:"4,keyasint,omitempty"` // stable values, by key
	Checkpoint     bool              `cbor:"5,keyasint,omitempty"` // a checkpoint: Set replaces all stable values
	PreviousSize   int64             `cbor:"6,keyasint,omitempty"` // of a checkpoint: size of the previous segment
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
	number    uint64
	size      int64  // bytes
	lastIndex uint64 // highest index of its entries
}

// name returns the file name of the segment.
func (s *segment) name() string { return fmt.Sprintf("%016x%s", s.number, fileExtension) }

// DamageError reports that data of a journal that had been synced can no longer be read.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at byte %d: %s; run 'beammux store verify', then restore a backup or let the member rejoin with an empty folder",
		e.File, e.Offset, e.Reason)
}

// append appends a frame with a change to a buffer.
func (j *Journal) append(b []byte, c change, flags byte) ([]byte, error) {
	j.buf.Reset()
	if err := cbor.MarshalToBuffer(c, &j.buf); err != nil {
		return b, err
	}
	start := len(b)
	b = append(b, frameMark...)
	b = append(b, flags)
	b = binary.LittleEndian.AppendUint32(b, uint32(j.buf.Len()))
	b = binary.LittleEndian.AppendUint64(b, checksum(b[start+2:start+7], j.buf.Bytes()))
	return append(b, j.buf.Bytes()...), nil
}

// decodeFrame decodes the frame at the start of data; payload is nil if there is no valid frame.
func decodeFrame(data []byte) (payload []byte, flags byte, size int) {
	if len(data) < frameHeaderSize || !bytes.HasPrefix(data, frameMark) {
		return nil, 0, 0
	}
	length := int(binary.LittleEndian.Uint32(data[3:]))
	if length > maxPayloadSize || len(data) < frameHeaderSize+length {
		return nil, 0, 0
	}
	payload = data[frameHeaderSize : frameHeaderSize+length]
	if checksum(data[2:7], payload) != binary.LittleEndian.Uint64(data[7:]) {
		return nil, 0, 0
	}
	return payload, data[2], frameHeaderSize + length
}

// checksum returns the checksum of a frame.
func checksum(header, payload []byte) uint64 {
	d := xxhash.New()
	d.Write(header)
	d.Write(payload)
	return d.Sum64()
}

// hasSyncedFrame reports whether data contains, after its first byte, a valid frame that was written after a sync.
func hasSyncedFrame(data []byte) bool {
	for offset := 1; offset < len(data); offset++ {
		i := bytes.Index(data[offset:], frameMark)
		if i < 0 {
			return false
		}
		offset += i
		if payload, flags, _ := decodeFrame(data[offset:]); payload != nil && flags&synced != 0 {
			return true
		}
	}
	return false
}
