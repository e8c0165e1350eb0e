// Package jsonl is the platform's front: callers that speak JSON, one object a line.
package jsonl

import (
	"bufio"
	"errors"
	"strconv"

	"github.com/valyala/fastjson"
)

// MaxMessage is the longest line that is taken, line feed included.
const MaxMessage = 16 << 10

// The faults of a line.
var (
	ErrTooLong   = errors.New("message over 16 KiB")
	ErrMalformed = errors.New("malformed message")
)

// Message is one line. Attrs holds the fields as text, also those that came as numbers.
type Message struct {
	Type  string
	ID    string
	Attrs map[string]string
	Code  int
	Text  string
}

// Reader reads lines. The buffer's size bounds them.
type Reader struct {
	in     *bufio.Reader
	parser fastjson.Parser
}

// NewReader reads from in, whose buffer should hold MaxMessage bytes.
func NewReader(in *bufio.Reader) *Reader { return &Reader{in: in} }

// Wait returns when a message begins or the stream ends.
func (r *Reader) Wait() error {
	_, err := r.in.Peek(1)
	return err
}

// Next gives the next message. After ErrTooLong or ErrMalformed the stream is of no more use; the message then holds
// what could be read of it.
func (r *Reader) Next() (m Message, err error) {
	var line []byte
	for len(line) == 0 { // blank lines are passed over
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

// validID: a call's name is 16 hex digits.
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

// Append writes the message as a line.
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
