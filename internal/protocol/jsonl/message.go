// Package jsonl implements the platform's front protocol: callers that send JSON objects, one per line.
package jsonl

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
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
	b = append(b, `{"msg":`...)
	b = appendString(b, m.Type)
	b = append(b, `,"sid":`...)
	b = appendString(b, m.ID)
	b = append(b, `,"attrs":{`...)
	for i, key := range slices.Sorted(maps.Keys(m.Attrs)) {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendString(b, key)
		b = append(b, ':')
		b = appendString(b, m.Attrs[key])
	}
	b = append(b, '}')
	if m.Type == "close" || m.Type == "probed" {
		b = append(b, `,"code":`...)
		b = strconv.AppendInt(b, int64(m.Code), 10)
	}
	if m.Text != "" {
		b = append(b, `,"text":`...)
		b = appendString(b, m.Text)
	}
	return append(b, "}\n"...)
}

// appendString appends a JSON string. Only what JSON requires is escaped; all other bytes stay as they are, since a description is passed on
// unchanged. An encoder of Go strings doesn't do: it writes escapes that JSON lacks.
func appendString(b []byte, s string) []byte {
	b = append(b, '"')
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"', c == '\\':
			b = append(b, '\\', c)
		case c == '\n':
			b = append(b, `\n`...)
		case c == '\r':
			b = append(b, `\r`...)
		case c == '\t':
			b = append(b, `\t`...)
		case c < ' ':
			b = fmt.Appendf(b, `\u%04x`, c)
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
