package sip

import (
	"bufio"
	"reflect"
	"strings"
	"testing"
)

const example = "INVITE sip:7f3a@net SIP/2.0\r\nv: SIP/2.0/TCP peer\r\ni: 9b1f\r\nCSeq: 1 INVITE\r\nX-Cos: voice\r\n" +
	"l: 5\r\n\r\nhello"

func TestMessageRoundTrip(t *testing.T) {
	m, err := Parse([]byte(example))
	if err != nil {
		t.Fatal(err)
	}
	want := "INVITE sip:7f3a@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f\r\nCSeq: 1 INVITE\r\nX-Cos: voice\r\n" +
		"Content-Length: 5\r\n\r\nhello"
	if got := string(m.Append(nil)); got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

func TestReaderFramesStream(t *testing.T) {
	r := NewReader(bufio.NewReaderSize(strings.NewReader("\r\n"+example+example+"\r\n\r\n"), MaxMessage))
	for range 2 {
		if m, err := r.Next(); err != nil || string(m.Body) != "hello" {
			t.Fatalf("%+v, %v", m, err)
		}
	}
}

func TestBadMessages(t *testing.T) {
	for _, row := range []struct {
		name, text string
		want       error
	}{
		{"no version", "INVITE sip:x HTTP/1.1\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n", ErrMalformed},
		{"status", "SIP/2.0 99 No\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n", ErrMalformed},
		{"no Call-ID", "BYE sip:x SIP/2.0\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n", ErrMalformed},
		{"CSeq", "BYE sip:x SIP/2.0\r\nCall-ID: 1\r\nCSeq: x BYE\r\nContent-Length: 0\r\n\r\n", ErrMalformed},
		{"length", "BYE sip:x SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 BYE\r\nContent-Length: -1\r\n\r\n", ErrMalformed},
		{"no length", "BYE sip:x SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 BYE\r\n\r\n", ErrMalformed},
		{"header", "BYE sip:x SIP/2.0\r\nnonsense\r\n\r\n", ErrMalformed},
		{"long head", "BYE sip:x SIP/2.0\r\nX: " + strings.Repeat("x", MaxMessage) + "\r\n\r\n", ErrTooLong},
		{"long body", "BYE sip:x SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 BYE\r\nContent-Length: 16384\r\n\r\n", ErrTooLong},
	} {
		r := NewReader(bufio.NewReaderSize(strings.NewReader(row.text), MaxMessage))
		if _, err := r.Next(); err != row.want {
			t.Errorf("%s: %v, want %v", row.name, err, row.want)
		}
	}
}

func TestHeaderParts(t *testing.T) {
	a, err := parseAddress(`"A, B; <c>" <sip:x@h;lr>;tag=7`)
	if err != nil || a.uri != "sip:x@h;lr" || a.params["tag"] != "7" {
		t.Errorf("%+v, %v", a, err)
	}
	m := Request("INVITE", "sip:x").Set("Route", `<sip:a,b@h;lr>, "q,r" <sip:c>`)
	if got := m.listValues("Route"); !reflect.DeepEqual(got, []string{"<sip:a,b@h;lr>", `"q,r" <sip:c>`}) {
		t.Errorf("%q", got)
	}
	m.Set("Via", "SIP/2.0/UDP h:5070;rport;branch=z9hG4bK1")
	m.setReceived("127.0.0.1:99")
	if got := m.Get("Via"); got != "SIP/2.0/UDP h:5070;rport=99;branch=z9hG4bK1;received=127.0.0.1" {
		t.Error(got)
	}
	if got := escapeUser("a@b>\r\n;"); got != "a%40b%3E%0D%0A%3B" {
		t.Error(got)
	}
}

// With a strict router, the Request-URI is the router's and the remote target is the last Route (RFC 3261, 12.2.1.1).
func TestStrictRoute(t *testing.T) {
	d := &dialog{Target: "sip:t@h", Routes: []string{"<sip:p1>", "<sip:p2;lr>"}, InviteSeq: 4, LocalSeq: 4}
	m := d.request("BYE")
	if m.URI != "sip:p1" || !reflect.DeepEqual(m.Header["Route"], []string{"<sip:p2;lr>", "<sip:t@h>"}) || m.Get("CSeq") != "5 BYE" {
		t.Errorf("%+v", m)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte("SIP/2.0 200 OK\r\nVia: SIP/2.0/UDP h;branch=z9hG4bK\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse(data)
		if err != nil {
			return
		}
		m.topVia()
		m.setReceived("127.0.0.1:1")
		again, err := Parse(m.Append(nil))
		if err == nil && (again.Method != m.Method || again.Status != m.Status || string(again.Body) != string(m.Body)) {
			t.Errorf("%+v was parsed back as %+v", m, again)
		}
	})
}
