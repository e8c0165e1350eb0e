package jsonl

import (
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

// FuzzAppend guards against messages that are no JSON: each that is written is read by another reader, with the same texts.
func FuzzAppend(f *testing.F) {
	for _, text := range []string{"a\r\n\"b\"\\", "\x7f\r\n", "flag \U000E0067\U000E007F\n", "\U0001FAE8\t", "\x00\x1f\u2028", "\xff\xfe\n", ""} {
		f.Add(text, "wait", "850")
	}
	f.Fuzz(func(t *testing.T, text, key, value string) {
		m := Message{Type: "close", ID: id, Attrs: map[string]string{key: value}, Code: 16, Text: text}
		line := string(m.Append(nil))
		require.Equal(t, len(line)-1, strings.IndexByte(line, '\n'), "one line")
		var read struct {
			Msg, Sid, Text string
			Attrs          map[string]string
			Code           int
		}
		require.NoError(t, json.Unmarshal([]byte(line), &read), line)
		if utf8.ValidString(text) && utf8.ValidString(key) && utf8.ValidString(value) {
			require.Equal(t, m, Message{Type: read.Msg, ID: read.Sid, Attrs: read.Attrs, Code: read.Code, Text: read.Text})
		}
	})
}
