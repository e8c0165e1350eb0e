// Package wire reads and writes the simulator's lines: a name, then name=value parts set apart by single spaces.
package wire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// textFields extend to the end of their line.
var textFields = map[string]bool{"settings": true, "line": true}

// Message is one line, taken apart.
type Message struct {
	Line   int // number of the line in the input, from 1
	Name   string
	fields []field
}

type field struct{ name, value string }

// Error is a fault of the input, by line and field.
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

// Parse takes one line apart.
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

// Has tells whether the line has the field.
func (m *Message) Has(name string) bool {
	_, ok := m.lookup(name)
	return ok
}

func (m *Message) lookup(name string) (string, bool) {
	for i := range m.fields {
		if m.fields[i].name == name {
			return m.fields[i].value, true
		}
	}
	return "", false
}

// FieldError makes an Error about one field of the line.
func (m *Message) FieldError(name, what string) error { return &Error{m.Line, name, what} }

// Text gives a field that must be there and not be empty.
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

// TextOr gives a field that may be absent.
func (m *Message) TextOr(name, otherwise string) string {
	if v, ok := m.lookup(name); ok {
		return v
	}
	return otherwise
}

// Int gives a whole number that must be there.
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

// IntOr gives a whole number that may be absent.
func (m *Message) IntOr(name string, otherwise int64) (int64, error) {
	if !m.Has(name) {
		return otherwise, nil
	}
	return m.Int(name)
}

// Unsigned gives a whole number of up to 64 bits that must be there; a sign is read as two's complement.
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

// ServerNumber gives the number of a server.
func (m *Message) ServerNumber(name string) (uint32, error) {
	n, err := m.Int(name)
	if err == nil && (n < 0 || n >= 1<<32) {
		return 0, m.FieldError(name, "out of range")
	}
	return uint32(n), err
}

// BoolOr gives a 1 or 0 that may be absent.
func (m *Message) BoolOr(name string, otherwise bool) (bool, error) {
	v, ok := m.lookup(name)
	switch {
	case !ok:
		return otherwise, nil
	case v == "1":
		return true, nil
	case v == "0":
		return false, nil
	}
	return false, m.FieldError(name, "neither 1 nor 0: "+strconv.Quote(v))
}

// Floats gives numbers set apart by commas; an absent or empty field is no numbers.
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

// Bytes gives base64 with padding; "-" is no bytes.
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

// Reader gives the lines of an input as messages.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<16)} }

// Next gives the next message, or io.EOF at the end of the input. Blank lines are passed over.
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

var breaks = strings.NewReplacer("\n", " ", "\r", " ")

// Line builds one line of a reply.
type Line struct{ b []byte }

// NewLine starts a line.
func NewLine(name string) *Line { return &Line{[]byte(name)} }

// Text adds a part. A text field must come last; line breaks in it become spaces.
func (l *Line) Text(name, value string) *Line {
	value = breaks.Replace(value)
	l.b = append(append(append(append(l.b, ' '), name...), '='), value...)
	return l
}

// Int adds a whole number.
func (l *Line) Int(name string, value int64) *Line {
	return l.Text(name, strconv.FormatInt(value, 10))
}

// Encode gives the line with its line break.
func (l *Line) Encode() []byte { return append(l.b, '\n') }
