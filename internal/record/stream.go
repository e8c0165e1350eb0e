package record

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"beammux/internal/history"
)

// StreamWriter writes events to a connection in the format of a segment.
type StreamWriter struct {
	out         io.Writer
	eventBuffer bytes.Buffer
	buf         []byte
}

// NewStreamWriter writes the magic bytes and the header of a stream of a gatekeeper's events.
func NewStreamWriter(out io.Writer, node string) (*StreamWriter, error) {
	encodedHeader, err := cbor.Marshal(header{Version: Version, Node: node, Start: 1})
	if err == nil {
		_, err = out.Write(appendFrame([]byte(magic), encodedHeader))
	}
	return &StreamWriter{out: out}, err
}

// Write writes the events with a single Write call on the connection.
func (s *StreamWriter) Write(events []history.Event) error {
	s.buf = s.buf[:0]
	for i := range events {
		s.eventBuffer.Reset()
		if err := cbor.MarshalToBuffer(&events[i], &s.eventBuffer); err != nil {
			return err
		}
		s.buf = appendFrame(s.buf, s.eventBuffer.Bytes())
	}
	_, err := s.out.Write(s.buf)
	return err
}

// StreamReader reads what a StreamWriter wrote.
type StreamReader struct {
	Node        string
	frameReader frameReader
}

// NewStreamReader reads the magic bytes and the header of a stream.
func NewStreamReader(in io.Reader) (*StreamReader, error) {
	s := &StreamReader{frameReader: frameReader{in: bufio.NewReader(in)}}
	magicBytes := make([]byte, len(magic))
	if _, err := io.ReadFull(s.frameReader.in, magicBytes); err != nil {
		return nil, err
	}
	if string(magicBytes) != magic {
		return nil, errors.New("not a stream of records")
	}
	payload, err := s.frameReader.next()
	if err != nil {
		return nil, err
	}
	var h header
	if err := decodeMode.Unmarshal(payload, &h); err != nil {
		return nil, err
	}
	if h.Version != Version {
		return nil, fmt.Errorf("records of version %d, this program reads version %d", h.Version, Version)
	}
	s.Node = h.Node
	return s, nil
}

// Next reads the next event, or returns io.EOF at the end of the stream.
func (s *StreamReader) Next() (*history.Event, error) {
	payload, err := s.frameReader.next()
	if err != nil {
		return nil, err
	}
	e := &history.Event{}
	if err := decodeMode.Unmarshal(payload, e); err != nil {
		return nil, err
	}
	e.Node, e.Start = s.Node, 1
	return e, nil
}
