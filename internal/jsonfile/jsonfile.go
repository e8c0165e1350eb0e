// Package jsonfile reads JSON files that people write by hand: every value knows where it stands, keys that nobody reads
// are faults, and all faults of a file are told in one run.
//
// It reads by the tokens of encoding/json, since fastjson, which reads all else, doesn't tell where a value stands.
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

// Fault is one thing that is wrong, as one line: FILE:LINE:COL: path: what.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"` // from 1; 0 where the fault has no place
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

// Faults are all that is wrong with a file, in the order of the text.
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

// The kinds of a value, with the words that faults use.
const (
	Null Kind = iota
	Bool
	Number
	String
	Array
	Object
)

var kindNames = [...]string{"null", "true or false", "a number", "a string", "an array", "an object"}

func (k Kind) String() string { return kindNames[k] }

// Value is one value of a file.
type Value struct {
	Kind  Kind
	Path  string
	Text  string // of a string decoded, of a number as it stands, of a bool "true" or "false"
	Items []*Value
	keys  []string // of an object, in order
	start int      // offset in the file
}

// Keys gives the keys of an object in the order of the file.
func (v *Value) Keys() []string { return v.keys }

// maxDepth is far over what any file here needs.
const maxDepth = 16

// File is a file that has been read. Its methods note faults; Err gives them.
type File struct {
	Name   string
	Root   *Value
	text   []byte
	faults Faults
	places map[string]int // offsets by path
}

// Parse reads a text. The syntax is checked whole; what the values mean is up to the caller, by the methods of File.
func Parse(name string, text []byte) (*File, error) { return ParseUnder(name, text, "") }

// ParseUnder reads a text that is a part of a larger one, kept by itself: the paths of its values begin with that of the part.
func ParseUnder(name string, text []byte, path string) (*File, error) {
	f := &File{Name: name, text: text, places: map[string]int{}}
	if !utf8.Valid(text) {
		at := 0
		for r, n := utf8.DecodeRune(text); r != utf8.RuneError || n > 1; r, n = utf8.DecodeRune(text[at:]) {
			at += n
		}
		f.add(at, "", "not UTF-8")
		return nil, f.Err()
	}
	var syntax *json.SyntaxError
	switch err := json.Unmarshal(text, new(json.RawMessage)); {
	case err == nil:
	case len(bytes.TrimSpace(text)) == 0:
		f.add(0, "", "the file is empty")
	case errors.As(err, &syntax) && int(syntax.Offset) >= len(text) && strings.HasPrefix(syntax.Error(), "unexpected end"):
		f.add(len(text), "", "the file ends before it is whole")
	case errors.As(err, &syntax):
		f.add(int(syntax.Offset)-1, "", "not JSON: "+syntax.Error())
	default:
		f.add(0, "", "not JSON: "+err.Error())
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	p := parser{file: f, dec: json.NewDecoder(bytes.NewReader(text))}
	p.dec.UseNumber()
	root, err := p.value(path, 0)
	if err != nil {
		return nil, err
	}
	f.Root = root
	return f, nil
}

type parser struct {
	file *File
	dec  *json.Decoder
}

// skip gives the offset of the next token.
func (p *parser) skip() int {
	at := int(p.dec.InputOffset())
	for at < len(p.file.text) && strings.IndexByte(" \t\r\n,:", p.file.text[at]) >= 0 {
		at++
	}
	return at
}

func (p *parser) value(path string, depth int) (*Value, error) {
	v := &Value{Path: path, start: p.skip()}
	p.file.places[path] = v.start
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
			p.file.add(v.start, "", fmt.Sprintf("nested more than %d deep", maxDepth))
			return nil, p.file.Err()
		}
		v.Kind = Array
		if t == '{' {
			v.Kind = Object
		}
		for p.dec.More() {
			if err := p.item(v, depth); err != nil {
				return nil, err
			}
		}
		_, err = p.dec.Token()
	}
	return v, err
}

// item reads one item of an array or one member of an object.
func (p *parser) item(v *Value, depth int) error {
	if v.Kind == Array {
		item, err := p.value(fmt.Sprintf("%s[%d]", v.Path, len(v.Items)), depth+1)
		v.Items = append(v.Items, item)
		return err
	}
	at := p.skip()
	t, err := p.dec.Token()
	if err != nil {
		return err
	}
	key, path := t.(string), Join(v.Path, t.(string))
	if first, twice := p.file.places[path]; twice {
		line, _ := p.file.place(first)
		p.file.add(at, path, fmt.Sprintf("the key stands twice, first in line %d", line))
	}
	item, err := p.value(path, depth+1)
	v.keys, v.Items = append(v.keys, key), append(v.Items, item)
	p.file.places[path] = at // a fault of a member is shown at its key
	if item != nil {
		item.start = at
	}
	return err
}

// Join gives the path of a key within another.
func Join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (f *File) place(offset int) (line, col int) {
	before := f.text[:min(offset, len(f.text))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}

func (f *File) add(offset int, path, what string) {
	line, col := f.place(offset)
	f.faults = append(f.faults, Fault{f.Name, line, col, path, what})
}

// Fault notes that something is wrong with the value at a path, or, if that is not in the file, with the nearest one
// above it that is.
func (f *File) Fault(path, what string) {
	at := path
	offset, ok := f.places[at]
	for !ok && at != "" {
		at = at[:max(0, strings.LastIndexAny(at, ".["))]
		offset, ok = f.places[at]
	}
	f.add(offset, path, what)
}

// Where gives line and column of a path, 0 for one that is not in the file.
func (f *File) Where(path string) (line, col int) {
	if offset, ok := f.places[path]; ok {
		return f.place(offset)
	}
	return 0, 0
}

// Err gives all faults noted so far in the order of the text, nil if there are none.
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

// Is checks the kind of a value. One that is absent is no fault.
func (f *File) Is(v *Value, kind Kind) bool {
	if v == nil {
		return false
	}
	if v.Kind != kind {
		f.Fault(v.Path, "is "+v.Kind.String()+", must be "+kind.String())
		return false
	}
	return true
}

// Members gives the values of an object under the keys that it may have, nil for those it lacks. Others are faults. A key
// that stands twice counts by its last value.
func (f *File) Members(v *Value, known ...string) []*Value {
	values := make([]*Value, len(known))
	if !f.Is(v, Object) {
		return values
	}
	for i, key := range v.keys {
		at := -1
		for j, k := range known {
			if k == key {
				at = j
			}
		}
		if at < 0 {
			f.Fault(v.Items[i].Path, "unknown key"+Hint(key, known))
			continue
		}
		values[at] = v.Items[i]
	}
	return values
}

// String reads a string, "" if it is absent.
func (f *File) String(v *Value) string {
	if !f.Is(v, String) {
		return ""
	}
	return v.Text
}

// Bool reads true or false; ok tells whether it is there.
func (f *File) Bool(v *Value) (is, ok bool) {
	if !f.Is(v, Bool) {
		return false, false
	}
	return v.Text == "true", true
}

// Whole reads a whole number within bounds, 0 if it is absent or at fault.
func (f *File) Whole(v *Value, least, most int64) int64 {
	if !f.Is(v, Number) {
		return 0
	}
	n, err := strconv.ParseInt(v.Text, 10, 64)
	if err != nil {
		x, _ := strconv.ParseFloat(v.Text, 64)
		switch {
		case x > float64(most):
			f.Fault(v.Path, fmt.Sprintf("%s is over %d", v.Text, most))
		case x < float64(least):
			f.Fault(v.Path, fmt.Sprintf("%s is under %d", v.Text, least))
		case x != math.Trunc(x):
			f.Fault(v.Path, v.Text+" is not a whole number")
		default:
			return int64(x)
		}
		return 0
	}
	switch {
	case n < least:
		f.Fault(v.Path, fmt.Sprintf("%d is under %d", n, least))
	case n > most:
		f.Fault(v.Path, fmt.Sprintf("%d is over %d", n, most))
	default:
		return n
	}
	return 0
}

// Part reads a number over 0 and up to 1, 0 if it is absent or at fault.
func (f *File) Part(v *Value) float64 {
	if !f.Is(v, Number) {
		return 0
	}
	x, err := strconv.ParseFloat(v.Text, 64)
	if err != nil || !(x > 0 && x <= 1) {
		f.Fault(v.Path, v.Text+" is not over 0 and up to 1")
		return 0
	}
	return x
}

// Number reads a number within bounds, 0 if it is absent or at fault.
func (f *File) Number(v *Value, least, most float64) float64 {
	if !f.Is(v, Number) {
		return 0
	}
	x, err := strconv.ParseFloat(v.Text, 64)
	switch {
	case x < least:
		f.Fault(v.Path, fmt.Sprintf("%s is under %g", v.Text, least))
	case err != nil || x > most:
		f.Fault(v.Path, fmt.Sprintf("%s is over %g", v.Text, most))
	default:
		return x
	}
	return 0
}

// Hint names the known word that is nearest to one that is not known, if any is near.
func Hint(word string, known []string) string {
	best, least := "", max(3, len(word)/3+1)
	for _, k := range known {
		if d := levenshtein.Distance(strings.ToLower(word), strings.ToLower(k), nil); d < least && d < len(word) {
			best, least = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}
