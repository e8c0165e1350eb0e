// Package jsonfile reads JSON files that people edit by hand. Each value has its position in the file, unknown keys are
// faults, and all faults of a file are reported together.
//
// It decodes the tokens of encoding/json because fastjson, which other packages use, does not report positions.
package jsonfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/agext/levenshtein"
)

// Fault is one fault of a file. Its text is one line, FILE:LINE:COL: path: reason.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"` // from 1; 0 if the fault has no position
	Col    int    `json:"col"`  // from 1, in bytes
	Path   string `json:"path"`
	Reason string `json:"what"`
}

func (f Fault) Error() string {
	s := f.File
	if f.Line > 0 {
		s += fmt.Sprintf(":%d:%d", f.Line, f.Col)
	}
	if f.Path != "" {
		s += ": " + f.Path
	}
	return s + ": " + f.Reason
}

// Faults are all faults of a file, in the order of its text.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Kind is the JSON type of a value.
type Kind int

// The kinds of a value.
const (
	Null Kind = iota
	Bool
	Number
	String
	Array
	Object
)

// kindNames are the names of the kinds in faults.
var kindNames = [...]string{"null", "true or false", "a number", "a string", "an array", "an object"}

func (k Kind) String() string { return kindNames[k] }

// Value is one value of a file. The members of an object are in Items, in the order of Keys.
type Value struct {
	Kind  Kind
	Path  string
	Text  string // a decoded string, a number as in the file, or a bool as "true" or "false"
	Items []*Value
	keys  []string // keys of an object, in order
	start int      // offset in the file, for a member that of its key
}

// Keys returns the keys of an object in the order of the file.
func (v *Value) Keys() []string { return v.keys }

// maxDepth is the maximum nesting of values, far more than any file needs.
const maxDepth = 16

// File is a parsed file. Its methods record faults; Err returns them.
type File struct {
	Name    string
	Root    *Value
	text    []byte
	faults  Faults
	offsets map[string]int // offsets of the values by path
}

// Parse parses the contents of a file and checks the whole syntax. The caller checks the values with the methods of File.
func Parse(name string, text []byte) (*File, error) { return ParseUnder(name, text, "") }

// ParseUnder parses a text that is one part of a document. The paths of its values begin with path, the path of that part.
func ParseUnder(name string, text []byte, path string) (*File, error) {
	f := &File{Name: name, text: text, offsets: map[string]int{}}
	if !utf8.Valid(text) {
		offset := 0
		for r, n := utf8.DecodeRune(text); r != utf8.RuneError || n > 1; r, n = utf8.DecodeRune(text[offset:]) {
			offset += n
		}
		f.addFaultAt(offset, "", "not UTF-8")
		return nil, f.Err()
	}
	var syntax *json.SyntaxError
	switch err := json.Unmarshal(text, new(json.RawMessage)); {
	case err == nil:
	case len(bytes.TrimSpace(text)) == 0:
		f.addFaultAt(0, "", "the file is empty")
	case errors.As(err, &syntax) && int(syntax.Offset) >= len(text) && strings.HasPrefix(syntax.Error(), "unexpected end"):
		f.addFaultAt(len(text), "", "unexpected end of file")
	case errors.As(err, &syntax):
		f.addFaultAt(int(syntax.Offset)-1, "", "not JSON: "+syntax.Error())
	default:
		f.addFaultAt(0, "", "not JSON: "+err.Error())
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	p := parser{file: f, dec: json.NewDecoder(bytes.NewReader(text))}
	p.dec.UseNumber()
	root, err := p.readValue(path, 0)
	if err != nil {
		return nil, err
	}
	f.Root = root
	return f, nil
}

// parser reads the values of a file from its tokens.
type parser struct {
	file *File
	dec  *json.Decoder
}

// nextTokenOffset returns the offset of the next token.
func (p *parser) nextTokenOffset() int {
	offset := int(p.dec.InputOffset())
	for offset < len(p.file.text) && strings.IndexByte(" \t\r\n,:", p.file.text[offset]) >= 0 {
		offset++
	}
	return offset
}

// readValue reads the next value.
func (p *parser) readValue(path string, depth int) (*Value, error) {
	v := &Value{Path: path, start: p.nextTokenOffset()}
	p.file.offsets[path] = v.start
	t, err := p.dec.Token()
	if err != nil {
		return nil, err
	}
	switch t := t.(type) {
	case bool:
		v.Kind, v.Text = Bool, strconv.FormatBool(t)
	case json.Number:
		v.Kind, v.Text = Number, t.String()
	case string:
		v.Kind, v.Text = String, t
	case json.Delim:
		if depth == maxDepth {
			p.file.addFaultAt(v.start, "", fmt.Sprintf("nested more than %d deep", maxDepth))
			return nil, p.file.Err()
		}
		v.Kind = Array
		if t == '{' {
			v.Kind = Object
		}
		for p.dec.More() {
			if err := p.readItem(v, depth); err != nil {
				return nil, err
			}
		}
		_, err = p.dec.Token()
	}
	return v, err
}

// readItem reads one item of an array or one member of an object.
func (p *parser) readItem(v *Value, depth int) error {
	if v.Kind == Array {
		item, err := p.readValue(fmt.Sprintf("%s[%d]", v.Path, len(v.Items)), depth+1)
		v.Items = append(v.Items, item)
		return err
	}
	offset := p.nextTokenOffset()
	t, err := p.dec.Token()
	if err != nil {
		return err
	}
	key, path := t.(string), joinPath(v.Path, t.(string))
	if first, duplicate := p.file.offsets[path]; duplicate {
		line, _ := p.file.position(first)
		p.file.addFaultAt(offset, path, fmt.Sprintf("duplicate key, first in line %d", line))
	}
	item, err := p.readValue(path, depth+1)
	v.keys, v.Items = append(v.keys, key), append(v.Items, item)
	p.file.offsets[path] = offset // faults of a member are reported at its key
	if item != nil {
		item.start = offset
	}
	return err
}

// joinPath returns the path of a key in the object at path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// position converts an offset to a line and a column, both from 1.
func (f *File) position(offset int) (line, col int) {
	before := f.text[:min(offset, len(f.text))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}

// addFaultAt records a fault at an offset.
func (f *File) addFaultAt(offset int, path, reason string) {
	line, col := f.position(offset)
	f.faults = append(f.faults, Fault{f.Name, line, col, path, reason})
}

// AddFault records a fault of the value at a path. If the file does not contain the path, the fault has the position of the
// nearest enclosing value.
func (f *File) AddFault(path, reason string) {
	enclosing := path
	offset, ok := f.offsets[enclosing]
	for !ok && enclosing != "" {
		enclosing = enclosing[:max(0, strings.LastIndexAny(enclosing, ".["))]
		offset, ok = f.offsets[enclosing]
	}
	f.addFaultAt(offset, path, reason)
}

// Position returns the line and column of a path, or 0, 0 if the file does not contain it.
func (f *File) Position(path string) (line, col int) {
	if offset, ok := f.offsets[path]; ok {
		return f.position(offset)
	}
	return 0, 0
}

// Err returns the faults recorded so far as Faults in the order of the text, or nil if there are none.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	sort.SliceStable(f.faults, func(i, j int) bool {
		a, b := f.faults[i], f.faults[j]
		return a.Line < b.Line || a.Line == b.Line && a.Col < b.Col
	})
	return f.faults
}

// Expect reports whether a value is present and of a kind. A value of another kind is a fault, an absent one is not.
func (f *File) Expect(v *Value, kind Kind) bool {
	if v == nil {
		return false
	}
	if v.Kind != kind {
		f.AddFault(v.Path, "is "+v.Kind.String()+", must be "+kind.String())
		return false
	}
	return true
}

// Members returns the values of an object in the order of its known keys, nil for those that are absent. Unknown keys are
// faults. Of a duplicate key the last value is returned.
func (f *File) Members(v *Value, known ...string) []*Value {
	values := make([]*Value, len(known))
	if !f.Expect(v, Object) {
		return values
	}
	for i, key := range v.keys {
		index := -1
		for j, k := range known {
			if k == key {
				index = j
			}
		}
		if index < 0 {
			f.AddFault(v.Items[i].Path, "unknown key"+Hint(key, known))
			continue
		}
		values[index] = v.Items[i]
	}
	return values
}

// String returns a string, or "" if it is absent or of another kind.
func (f *File) String(v *Value) string {
	if !f.Expect(v, String) {
		return ""
	}
	return v.Text
}

// Bool returns a bool; ok reports whether it is present and of that kind.
func (f *File) Bool(v *Value) (value, ok bool) {
	if !f.Expect(v, Bool) {
		return false, false
	}
	return v.Text == "true", true
}

// Int returns an integer within bounds, or 0 if it is absent or invalid.
func (f *File) Int(v *Value, minimum, maximum int64) int64 {
	if !f.Expect(v, Number) {
		return 0
	}
	n, err := strconv.ParseInt(v.Text, 10, 64)
	if err != nil {
		x, _ := strconv.ParseFloat(v.Text, 64)
		switch {
		case x > float64(maximum):
			f.AddFault(v.Path, fmt.Sprintf("%s is over %d", v.Text, maximum))
		case x < float64(minimum):
			f.AddFault(v.Path, fmt.Sprintf("%s is under %d", v.Text, minimum))
		case x != math.Trunc(x):
			f.AddFault(v.Path, v.Text+" is not a whole number")
		default:
			return int64(x)
		}
		return 0
	}
	switch {
	case n < minimum:
		f.AddFault(v.Path, fmt.Sprintf("%d is under %d", n, minimum))
	case n > maximum:
		f.AddFault(v.Path, fmt.Sprintf("%d is over %d", n, maximum))
	default:
		return n
	}
	return 0
}

// Fraction returns a number over 0 and up to 1, or 0 if it is absent or invalid.
func (f *File) Fraction(v *Value) float64 {
	if !f.Expect(v, Number) {
		return 0
	}
	x, err := strconv.ParseFloat(v.Text, 64)
	if err != nil || !(x > 0 && x <= 1) {
		f.AddFault(v.Path, v.Text+" is not over 0 and up to 1")
		return 0
	}
	return x
}

// Number returns a number within bounds, or 0 if it is absent or invalid.
func (f *File) Number(v *Value, minimum, maximum float64) float64 {
	if !f.Expect(v, Number) {
		return 0
	}
	x, err := strconv.ParseFloat(v.Text, 64)
	switch {
	case x < minimum:
		f.AddFault(v.Path, fmt.Sprintf("%s is under %g", v.Text, minimum))
	case err != nil || x > maximum:
		f.AddFault(v.Path, fmt.Sprintf("%s is over %g", v.Text, maximum))
	default:
		return x
	}
	return 0
}

// Hint returns a question that suggests the known word closest to an unknown one, or "" if none is close.
func Hint(word string, known []string) string {
	nearest, minDistance := "", max(3, len(word)/3+1)
	for _, k := range known {
		if d := levenshtein.Distance(strings.ToLower(word), strings.ToLower(k), nil); d < minDistance && d < len(word) {
			nearest, minDistance = k, d
		}
	}
	if nearest == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", nearest)
}
