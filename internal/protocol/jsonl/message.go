// Package jsonl implements the platform's front protocol: callers that send JSON objects, one per line.
package jsonl

import (
	"bufio"
	"bytes"
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

// maxValues is the maximum number of values in a line, at any depth. It bounds the time and the memory that the parser needs for it.
const maxValues = 256

// parsers holds parsers that are not in use. A parser keeps memory for the largest line that it has parsed, so that connections must
// not have one each.
var parsers fastjson.ParserPool

// Reader reads messages. The size of its buffer limits the length of a line.
type Reader struct{ in *bufio.Reader }

// NewReader returns a reader of in, whose buffer should hold MaxMessage bytes.
func NewReader(in *bufio.Reader) *Reader { return &Reader{in: in} }

// Wait returns when a message begins or the stream ends.
func (r *Reader) Wait() error {
	_, err := r.in.Peek(1)
	return err
}

// Next returns the next message. After ErrTooLong or ErrMalformed the stream can't be read further, and the message holds the
// fields that could be decoded.
func (r *Reader) Next() (Message, error) {
	line, err := r.nextLine()
	if err != nil {
		return Message{}, err
	}
	return parse(line)
}

// nextLine returns the next line that is not blank, without its end. It is valid until the next read.
func (r *Reader) nextLine() (line []byte, err error) {
	for len(line) == 0 {
		line, err = r.in.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			return nil, ErrTooLong
		}
		if err != nil {
			return nil, err
		}
		line = bytes.TrimRight(line, "\r\n")
	}
	return line, nil
}

// hasTooManyValues reports whether a line has more than maxValues separators and opening brackets outside of its strings.
func hasTooManyValues(line []byte) bool {
	values, quoted := 0, false
	for i := 0; i < len(line); i++ {
		switch c := line[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case !quoted && (c == ',' || c == '{' || c == '['):
			values++
		}
	}
	return values > maxValues
}

// parse decodes one line. The message does not refer to it.
func parse(line []byte) (m Message, err error) {
	if hasTooManyValues(line) {
		return m, ErrMalformed
	}
	parser := parsers.Get()
	defer parsers.Put(parser)
	v, err := parser.ParseBytes(line)
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
