// Package jsonl implements the platform's front protocol: callers that send JSON objects, one per line.
package jsonl

import (
	"bufio"
	"errors"
	"strconv"

	"github.com/valyala/fastjson"
)

// MaxMessage is the maximum length of a line in bytes, including the line feed.
const MaxMessage = 16 << 10

// Errors of Reader.Next for a line.
var (
	ErrTooLong   = errors.New("message over 16 KiB")
	ErrMalformed = errors.New("malformed message")
)

// Message is one line. Attrs holds its attributes as text, also those that are JSON numbers.
type Message struct {
	Type  string
	ID    string
	Attrs map[string]string
	Code  int
	Text  string
}

// Reader reads messages. The size of its buffer limits the length of a line.
type Reader struct {
	in     *bufio.Reader
	parser fastjson.Parser
}

// NewReader returns a reader of in, whose buffer should hold MaxMessage bytes.
func NewReader(in *bufio.Reader) *Reader { return &Reader{in: in} }

// Wait returns when a message begins or the stream ends.
func (r *Reader) Wait() error {
	_, err := r.in.Peek(1)
	return err
}

// Next returns the next message. After ErrTooLong or ErrMalformed the stream can't be read further, and the message holds the
// fields that could be decoded.
func (r *Reader) Next() (m Message, err error) {
	var line []byte
	for len(line) == 0 { // skip blank lines
		line, err = r.in.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			return m, ErrTooLong
		}
		if err != nil {
			return m, err
		}
		for len(line) > 0 && (line[len(line)-1] == '\n' || line[len(line)-1] == '\r') {
			line = line[:len(line)-1]
		}
	}
	return parse(&r.parser, line)
}

// parse decodes one line.
func parse(p *fastjson.Parser, line []byte) (m Message, err error) {
	v, err := p.ParseBytes(line)
	if err != nil || v.Type() != fastjson.TypeObject {
		return m, ErrMalformed
	}
	m.Type, m.ID = string(v.GetStringBytes("msg")), string(v.GetStringBytes("sid"))
	m.Text = string(v.GetStringBytes("text"))
	if m.Type == "" || !validID(m.ID) {
		return m, ErrMalformed
	}
	if c := v.Get("code"); c != nil {
		if m.Code, err = c.Int(); err != nil {
			return m, ErrMalformed
		}
	}
	if a := v.Get("attrs"); a != nil && a.Type() != fastjson.TypeNull {
		o, err := a.Object()
		if err != nil {
			return m, ErrMalformed
		}
		m.Attrs = make(map[string]string, o.Len())
		o.Visit(func(key []byte, v *fastjson.Value) {
			switch v.Type() {
			case fastjson.TypeString:
				m.Attrs[string(key)] = string(v.GetStringBytes())
			case fastjson.TypeNumber:
				m.Attrs[string(key)] = v.String()
			}
		})
	}
	return m, nil
}

// validID reports whether a call id has 16 hex digits.
func validID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for i := range len(id) {
		c := id[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Append appends the message as a line to b.
func (m *Message) Append(b []byte) []byte {
	var arena fastjson.Arena
	o, attrs := arena.NewObject(), arena.NewObject()
	o.Set("msg", arena.NewString(m.Type))
	o.Set("sid", arena.NewString(m.ID))
	for key, value := range m.Attrs {
		attrs.Set(key, arena.NewString(value))
	}
	o.Set("attrs", attrs)
	if m.Type == "close" || m.Type == "probed" {
		o.Set("code", arena.NewNumberString(strconv.Itoa(m.Code)))
	}
	if m.Text != "" {
		o.Set("text", arena.NewString(m.Text))
	}
	return append(o.MarshalTo(b), '\n')
}
