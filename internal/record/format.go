// Package record keeps the events of gatekeepers in files: a recorder that never delays a call, and readers that bring the
// records of a fleet back in time order and say where they are damaged or missing.
//
// A folder holds the segments of any number of gatekeepers. A segment is named NODE-START-NUMBER.rec, with the number of
// the start and of the segment in hex; a full one is compressed to .rec.zst. It begins with eight bytes of magic, then
// comes one frame after another:
//
//	length   4 bytes, little endian: of the payload
//	checksum 8 bytes, little endian: XXH64 of the payload
//	payload  CBOR (RFC 8949): in the first frame a header, in the others a history.Event
package record

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"beammux/internal/history"
)

const (
	magic    = "beamrec\x01"
	Version  = 1 // of the format, in each segment's header
	frameTop = 12
	frameMax = 64 << 10

	suffix     = ".rec"
	compressed = ".rec.zst"
)

// header is the first frame of a segment.
type header struct {
	Version int    `cbor:"1,keyasint"`
	Node    string `cbor:"2,keyasint"`
	Start   uint64 `cbor:"3,keyasint"`
	Segment uint64 `cbor:"4,keyasint"`

	// Of the start, since its own segment may be gone when this one is read.
	Rules *history.Rules `cbor:"5,keyasint,omitempty"`
	Calls string         `cbor:"6,keyasint,omitempty"`
}

// segment is a file by its name.
type segment struct {
	file  string
	node  string
	start uint64
	seq   uint64
	size  int64
}

func (s segment) name() string { return fmt.Sprintf("%s-%08x-%06x%s", s.node, s.start, s.seq, suffix) }

// parseName reads a file's name; ok is unset for one that is no segment.
func parseName(file string) (s segment, ok bool) {
	base, ok := strings.CutSuffix(file, compressed)
	if !ok {
		if base, ok = strings.CutSuffix(file, suffix); !ok {
			return s, false
		}
	}
	rest, number, ok1 := cutLast(base, "-")
	node, start, ok2 := cutLast(rest, "-")
	var err1, err2 error
	s.seq, err1 = strconv.ParseUint(number, 16, 64)
	s.start, err2 = strconv.ParseUint(start, 16, 64)
	s.file, s.node = file, node
	return s, ok1 && ok2 && err1 == nil && err2 == nil && node != ""
}

func cutLast(s, sep string) (before, after string, found bool) {
	if i := strings.LastIndex(s, sep); i >= 0 {
		return s[:i], s[i+len(sep):], true
	}
	return s, "", false
}

// fileName makes of a gatekeeper's name one that a file can have.
func fileName(node string) string {
	clean := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' || r == '_' {
			return r
		}
		return '_'
	}, node)
	if clean = strings.TrimLeft(clean, "."); clean == "" {
		return "beammux"
	}
	return clean
}

// appendFrame adds one frame.
func appendFrame(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(payload))
	return append(b, payload...)
}

// Faults of a frame.
var (
	errTorn = errors.New("the file ends within a record")
	errSum  = errors.New("a record's checksum is wrong")
	errSize = errors.New("a record's length is wrong")
)

// frames reads a segment frame by frame.
type frames struct {
	in  *bufio.Reader
	buf []byte
	at  int64 // offset of the next frame
}

// next gives the payload of the next frame, valid until the call after. After errSum the frame has been passed over and
// reading can go on; after any other error it can't.
func (f *frames) next() ([]byte, error) {
	var top [frameTop]byte
	n, err := io.ReadFull(f.in, top[:])
	switch {
	case err == io.EOF:
		return nil, io.EOF
	case err == io.ErrUnexpectedEOF:
		return nil, errTorn
	case err != nil:
		return nil, err
	}
	size := int(binary.LittleEndian.Uint32(top[:]))
	if size == 0 || size > frameMax {
		return nil, errSize
	}
	if cap(f.buf) < size {
		f.buf = make([]byte, max(size, 512))
	}
	f.buf = f.buf[:size]
	if _, err := io.ReadFull(f.in, f.buf); err != nil {
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return nil, errTorn
		}
		return nil, err
	}
	f.at += int64(n + size)
	if xxhash.Sum64(f.buf) != binary.LittleEndian.Uint64(top[4:]) {
		return nil, errSum
	}
	return f.buf, nil
}

// decoding refuses what no record holds: repeated keys, deep nesting, huge arrays.
var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 4096, MaxMapPairs: 64,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()
