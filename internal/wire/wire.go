// Package wire reads and writes the simulator's line protocol: a message name, then name=value fields separated by single
// spaces.
package wire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// textFields are the fields whose value extends to the end of the line.
var textFields = map[string]bool{"settings": true, "line": true}

// Message is one parsed line.
type Message struct {
	Line   int // number of the line in the input, from 1
	Name   string
	fields []field
}

// field is one name=value field.
type field struct{ name, value string }

// Error reports a fault in the input by its line and field. Field may be empty.
type Error struct {
	Line          int
	Field, Reason string
}

func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Reason)
}

// Parse parses one line. number is its line number in the input. Errors are of type *Error.
func Parse(line string, number int) (Message, error) {
	m := Message{Line: number}
	name, rest, more := strings.Cut(line, " ")
	if name == "" || strings.Contains(name, "=") {
		return m, &Error{number, "", "no message name"}
	}
	m.Name = name
	for more {
		key, value, ok := strings.Cut(rest, "=")
		if !ok || key == "" || strings.Contains(key, " ") {
			part, _, _ := strings.Cut(rest, " ")
			return m, &Error{number, strconv.Quote(part), "not of the form name=value"}
		}
		if textFields[key] {
			more = false
		} else {
			value, rest, more = strings.Cut(value, " ")
		}
		if m.Has(key) {
			return m, &Error{number, key, "given twice"}
		}
		m.fields = append(m.fields, field{key, value})
	}
	return m, nil
}

// Has reports whether the message has a field.
func (m *Message) Has(name string) bool {
	_, ok := m.lookup(name)
	return ok
}

// lookup returns the value of a field and whether the message has it.
func (m *Message) lookup(name string) (string, bool) {
	for i := range m.fields {
		if m.fields[i].name == name {
			return m.fields[i].value, true
		}
	}
	return "", false
}

// FieldError returns an *Error about one field of the message.
func (m *Message) FieldError(name, reason string) error { return &Error{m.Line, name, reason} }

// Text returns the value of a required field, which must not be empty.
func (m *Message) Text(name string) (string, error) {
	v, ok := m.lookup(name)
	if !ok {
		return "", m.FieldError(name, "missing in "+m.Name)
	}
	if v == "" {
		return "", m.FieldError(name, "empty")
	}
	return v, nil
}

// TextOr returns the value of an optional field, or fallback if it is absent.
func (m *Message) TextOr(name, fallback string) string {
	if v, ok := m.lookup(name); ok {
		return v
	}
	return fallback
}

// Int returns the integer in a required field.
func (m *Message) Int(name string) (int64, error) {
	v, err := m.Text(name)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, m.FieldError(name, "not a whole number: "+strconv.Quote(v))
	}
	return n, nil
}

// IntOr returns the integer in an optional field, or fallback if it is absent.
func (m *Message) IntOr(name string, fallback int64) (int64, error) {
	if !m.Has(name) {
		return fallback, nil
	}
	return m.Int(name)
}

// Unsigned returns the unsigned 64-bit integer in a required field. A negative number is converted as two's complement.
func (m *Message) Unsigned(name string) (uint64, error) {
	v, err := m.Text(name)
	if err != nil {
		return 0, err
	}
	if n, err := strconv.ParseUint(v, 10, 64); err == nil {
		return n, nil
	}
	n, err := m.Int(name)
	return uint64(n), err
}

// ServerNumber returns the server number in a required field.
func (m *Message) ServerNumber(name string) (uint32, error) {
	n, err := m.Int(name)
	if err == nil && (n < 0 || n >= 1<<32) {
		return 0, m.FieldError(name, "out of range")
	}
	return uint32(n), err
}

// BoolOr returns the bool, 1 or 0, in an optional field, or fallback if it is absent.
func (m *Message) BoolOr(name string, fallback bool) (bool, error) {
	v, ok := m.lookup(name)
	switch {
	case !ok:
		return fallback, nil
	case v == "1":
		return true, nil
	case v == "0":
		return false, nil
	}
	return false, m.FieldError(name, "neither 1 nor 0: "+strconv.Quote(v))
}

// Floats returns the numbers in a comma-separated field. It returns none if the field is absent, empty or "-".
func (m *Message) Floats(name string) ([]float64, error) {
	v, ok := m.lookup(name)
	if !ok || v == "" || v == "-" {
		return nil, nil
	}
	var row []float64
	for _, part := range strings.Split(v, ",") {
		n, err := strconv.ParseFloat(part, 64)
		if err != nil || n != n {
			return nil, m.FieldError(name, "not a number: "+strconv.Quote(part))
		}
		row = append(row, n)
	}
	return row, nil
}

// Bytes returns the bytes of a required field in padded base64. It returns none for "-".
func (m *Message) Bytes(name string) ([]byte, error) {
	v, err := m.Text(name)
	if err != nil || v == "-" {
		return nil, err
	}
	b, err := base64.StdEncoding.DecodeString(v)
	if err != nil {
		return nil, m.FieldError(name, "not base64")
	}
	return b, nil
}

// Reader reads messages, one per line.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<16)} }

// Next returns the next message, or io.EOF at the end of the input. It skips blank lines.
func (r *Reader) Next() (Message, error) {
	for {
		text, err := r.in.ReadString('\n')
		if err != nil && (err != io.EOF || text == "") {
			return Message{Line: r.line + 1}, err
		}
		r.line++
		if text = strings.TrimRight(text, "\r\n"); text != "" {
			return Parse(text, r.line)
		}
	}
}

// lineBreaks replaces line breaks by spaces.
var lineBreaks = strings.NewReplacer("\n", " ", "\r", " ")

// Line builds one line of output.
type Line struct{ buf []byte }

// NewLine returns a line with a message name and no fields.
func NewLine(name string) *Line { return &Line{[]byte(name)} }

// Text appends a field. A field whose value may hold spaces must be the last. Line breaks are replaced by spaces.
func (l *Line) Text(name, value string) *Line {
	value = lineBreaks.Replace(value)
	l.buf = append(append(append(append(l.buf, ' '), name...), '='), value...)
	return l
}

// Int appends a field with an integer.
func (l *Line) Int(name string, value int64) *Line {
	return l.Text(name, strconv.FormatInt(value, 10))
}

// Encode returns the line with its line break.
func (l *Line) Encode() []byte { return append(l.buf, '\n') }
