package wire

import (
	"io"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for _, row := range []struct{ name, line, field, want string }{
		{"plain", "knock i=3 request-id=ab", "request-id", "ab"},
		{"any order", "knock request-id=ab i=3", "i", "3"},
		{"text to the end", `new_instance i=1 settings={"a": "b = c"}`, "settings", `{"a": "b = c"}`},
		{"equals sign in a value", "peer i=1 raw=aGk=", "raw", "aGk="},
		{"unknown field", "knock zz=1 i=2", "i", "2"},
	} {
		t.Run(row.name, func(t *testing.T) {
			m, err := Parse(row.line, 1)
			if err != nil {
				t.Fatal(err)
			}
			if got := m.TextOr(row.field, "absent"); got != row.want {
				t.Errorf("%s is %q, want %q", row.field, got, row.want)
			}
		})
	}
}

func TestFaultsNameLineAndField(t *testing.T) {
	for _, row := range []struct {
		name, line, want string
		read             func(*Message) error
	}{
		{"no value", "knock i", `line 7: field "i": not of the form name=value`, nil},
		{"twice", "knock i=1 i=2", "line 7: field i: given twice", nil},
		{"no name", " i=1", "line 7: no message name", nil},
		{"not a number", "knock i=x", `line 7: field i: not a whole number: "x"`,
			func(m *Message) error { _, err := m.Int("i"); return err }},
		{"missing", "knock i=1", "line 7: field server: missing in knock",
			func(m *Message) error { _, err := m.ServerNumber("server"); return err }},
		{"too large", "knock server=4294967296", "line 7: field server: out of range",
			func(m *Message) error { _, err := m.ServerNumber("server"); return err }},
		{"bad row", "r stats=1,y", `line 7: field stats: not a number: "y"`,
			func(m *Message) error { _, err := m.Floats("stats"); return err }},
		{"bad base64", "peer raw=!", "line 7: field raw: not base64",
			func(m *Message) error { _, err := m.Bytes("raw"); return err }},
		{"bad bool", "knock repeat=yes", `line 7: field repeat: neither 1 nor 0: "yes"`,
			func(m *Message) error { _, err := m.BoolOr("repeat", false); return err }},
	} {
		t.Run(row.name, func(t *testing.T) {
			m, err := Parse(row.line, 7)
			if err == nil && row.read != nil {
				err = row.read(&m)
			}
			if err == nil || err.Error() != row.want {
				t.Errorf("fault %v, want %s", err, row.want)
			}
		})
	}
}

func TestReaderTakesLongLinesAndLastLineWithoutBreak(t *testing.T) {
	r := NewReader(strings.NewReader("a settings=" + strings.Repeat("x", 1<<20) + "\n\nb i=1"))
	m, err := r.Next()
	if err != nil || len(m.TextOr("settings", "")) != 1<<20 {
		t.Fatalf("long line: %v", err)
	}
	if m, err = r.Next(); err != nil || m.Name != "b" || m.Line != 3 {
		t.Fatalf("last line: %+v, %v", m, err)
	}
	if _, err = r.Next(); err != io.EOF {
		t.Fatalf("end: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("knock i=3 request-id=0022cc9c5d3a91c4 category=0 target-key=tel-k drop-dead-us=8652250")
	f.Add(`new_instance i=0 nonce64=1 settings={"a":1}`)
	f.Add("resolved i=3 stats=0.4,1.25,14.5")
	f.Add(" =")
	f.Fuzz(func(t *testing.T, line string) {
		m, err := Parse(line, 1)
		if err != nil {
			return
		}
		out := NewLine(m.Name)
		for _, p := range m.fields {
			out.Text(p.name, p.value)
		}
		m.Floats("stats")
		m.Bytes("raw")
		m.Int("i")
		text := strings.TrimSuffix(string(out.Encode()), "\n")
		again, err := Parse(text, 1)
		if strings.ContainsAny(line, "\n\r") {
			return // cannot come from a Reader
		}
		if err != nil || text != line || len(again.fields) != len(m.fields) {
			t.Errorf("%q was written as %q: %v", line, text, err)
		}
	})
}
