// Package record stores the events of gatekeepers in files. It provides a recorder that never delays a call, and readers
// that return the records of a fleet in time order and report where they are damaged or missing.
//
// A folder holds the segments of any number of gatekeepers. A segment is named NODE-START-NUMBER.rec, with the numbers of
// the process start and of the segment in hex; a full segment is compressed to .rec.zst. A segment begins with eight magic
// bytes, followed by a sequence of frames:
//
//	length   4 bytes, little endian: length of the payload
//	checksum 8 bytes, little endian: XXH64 of the payload
//	payload  CBOR (RFC 8949): a header in the first frame, a history.Event in the others
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

// Parameters of the format. Version is the version of the format, which each segment's header carries.
const (
	magic            = "beamrec\x01"
	Version          = 1
	frameHeaderBytes = 12
	maxPayloadBytes  = 64 << 10

	segmentSuffix    = ".rec"
	compressedSuffix = ".rec.zst"
)

// header is the payload of a segment's first frame.
type header struct {
	Version int    `cbor:"1,keyasint"`
	Node    string `cbor:"2,keyasint"`
	Start   uint64 `cbor:"3,keyasint"`
	Segment uint64 `cbor:"4,keyasint"`

	// Copied from the Started event, since the segment that holds it may have been removed by the time this one is read.
	Rules *history.Rules `cbor:"5,keyasint,omitempty"`
	Calls string         `cbor:"6,keyasint,omitempty"`
}

// segment describes a segment file by its name.
type segment struct {
	file  string
	node  string
	start uint64
	seq   uint64
	size  int64
}

func (s segment) name() string {
	return fmt.Sprintf("%s-%08x-%06x%s", s.node, s.start, s.seq, segmentSuffix)
}

// parseName parses a file name; ok is false if it is not the name of a segment.
func parseName(file string) (s segment, ok bool) {
	base, ok := strings.CutSuffix(file, compressedSuffix)
	if !ok {
		if base, ok = strings.CutSuffix(file, segmentSuffix); !ok {
			return s, false
		}
	}
	rest, number, hasNumber := cutLast(base, "-")
	node, start, hasStart := cutLast(rest, "-")
	var numberErr, startErr error
	s.seq, numberErr = strconv.ParseUint(number, 16, 64)
	s.start, startErr = strconv.ParseUint(start, 16, 64)
	s.file, s.node = file, node
	return s, hasNumber && hasStart && numberErr == nil && startErr == nil && node != ""
}

// cutLast slices s around the last instance of sep, as strings.Cut does around the first.
func cutLast(s, sep string) (before, after string, found bool) {
	if i := strings.LastIndex(s, sep); i >= 0 {
		return s[:i], s[i+len(sep):], true
	}
	return s, "", false
}

// fileName converts a gatekeeper's name to one that is safe as part of a file name.
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

// appendFrame appends a frame with the payload to b.
func appendFrame(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(payload))
	return append(b, payload...)
}

// Errors of a frame.
var (
	errTruncated = errors.New("file ends in the middle of a record")
	errChecksum  = errors.New("record has a wrong checksum")
	errLength    = errors.New("record has an invalid length")
)

// frameReader reads a segment frame by frame.
type frameReader struct {
	in     *bufio.Reader
	buf    []byte
	offset int64 // offset of the next frame
}

// next returns the payload of the next frame, which is valid until the following call. After errChecksum the frame has been
// skipped and reading can continue; after any other error it cannot.
func (f *frameReader) next() ([]byte, error) {
	var frameHeader [frameHeaderBytes]byte
	n, err := io.ReadFull(f.in, frameHeader[:])
	switch {
	case err == io.EOF:
		return nil, io.EOF
	case err == io.ErrUnexpectedEOF:
		return nil, errTruncated
	case err != nil:
		return nil, err
	}
	size := int(binary.LittleEndian.Uint32(frameHeader[:]))
	if size == 0 || size > maxPayloadBytes {
		return nil, errLength
	}
	if cap(f.buf) < size {
		f.buf = make([]byte, max(size, 512))
	}
	f.buf = f.buf[:size]
	if _, err := io.ReadFull(f.in, f.buf); err != nil {
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return nil, errTruncated
		}
		return nil, err
	}
	f.offset += int64(n + size)
	if xxhash.Sum64(f.buf) != binary.LittleEndian.Uint64(frameHeader[4:]) {
		return nil, errChecksum
	}
	return f.buf, nil
}

// decodeMode rejects input that no recorder writes: repeated keys, deep nesting, huge arrays.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 4096, MaxMapPairs: 64,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()
