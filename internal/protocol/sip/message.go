// Package sip reads and writes SIP (RFC 3261). The platform's menu servers speak a small part of it (see PlatformDialer); the
// codec serves both.
package sip

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxMessage is the longest message that is taken, headers and body.
const MaxMessage = 16 << 10

// The faults of a message.
var (
	ErrTooLong    = errors.New("message over 16 KiB")
	ErrMalformed  = errors.New("malformed message")
	ErrIncomplete = errors.New("message stops short")
)

// compactForms gives the long name of a header's one-letter form (RFC 3261, 7.3.3).
var compactForms = map[string]string{"i": "Call-Id", "m": "Contact", "e": "Content-Encoding", "l": "Content-Length",
	"c": "Content-Type", "f": "From", "s": "Subject", "k": "Supported", "t": "To", "v": "Via"}

// Message is one request or response.
type Message struct {
	Method string // of a request
	URI    string
	Status int // of a response; 0 for a request
	Reason string
	Header textproto.MIMEHeader
	Body   []byte
}

// Request makes a request without headers.
func Request(method, uri string) *Message {
	return &Message{Method: method, URI: uri, Header: textproto.MIMEHeader{}}
}

// Get gives the first value of a header.
func (m *Message) Get(name string) string { return m.Header.Get(name) }

// Set gives a header its only value.
func (m *Message) Set(name, value string) *Message {
	m.Header.Set(name, value)
	return m
}

// IsRequest tells a request from a response.
func (m *Message) IsRequest() bool { return m.Status == 0 }

// CSeq gives the number and method of a message's CSeq.
func (m *Message) CSeq() (number uint32, method string, ok bool) {
	digits, method, _ := strings.Cut(strings.TrimSpace(m.Get("CSeq")), " ")
	n, err := strconv.ParseUint(digits, 10, 32)
	return uint32(n), strings.TrimSpace(method), err == nil && n < 1<<31 && method != ""
}

// headerSpelling gives the headers whose usual spelling is not textproto's.
var headerSpelling = map[string]string{"Call-Id": "Call-ID", "Cseq": "CSeq", "Www-Authenticate": "WWW-Authenticate"}

// headerOrder: the headers that a hop looks at first come first, as RFC 3261 asks.
var headerOrder = []string{"Via", "Max-Forwards", "Route", "Record-Route", "From", "To", "Call-Id", "Cseq"}

// Append writes the message. Content-Length is always its own.
func (m *Message) Append(b []byte) []byte {
	if m.IsRequest() {
		b = fmt.Appendf(b, "%s %s SIP/2.0\r\n", m.Method, m.URI)
	} else {
		b = fmt.Appendf(b, "SIP/2.0 %d %s\r\n", m.Status, m.Reason)
	}
	put := func(key string) {
		name := key
		if s, ok := headerSpelling[key]; ok {
			name = s
		}
		for _, v := range m.Header[key] {
			b = fmt.Appendf(b, "%s: %s\r\n", name, v)
		}
	}
	for _, key := range headerOrder {
		put(key)
	}
	for _, key := range otherHeaders(m.Header) {
		put(key)
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(m.Body))
	return append(b, m.Body...)
}

// otherHeaders gives the other headers in a fixed order, so that the same message is always written alike.
func otherHeaders(h textproto.MIMEHeader) []string {
	var keys []string
	for key := range h {
		if key != "Content-Length" && !slices.Contains(headerOrder, key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Parse takes one whole message, as a datagram holds it. Bytes beyond Content-Length are passed over.
func Parse(data []byte) (*Message, error) {
	if len(data) > MaxMessage {
		return nil, ErrTooLong
	}
	data = bytes.TrimLeft(data, "\r\n")
	end := headEnd(data)
	if end < 0 {
		return nil, ErrMalformed
	}
	m, length, err := parseHead(data[:end])
	if err != nil {
		return m, err
	}
	if length < 0 {
		length = len(data) - end
	}
	if end+length > len(data) {
		return m, ErrMalformed
	}
	m.Body = bytes.Clone(data[end : end+length])
	return m, nil
}

// headEnd gives the length of the head with its blank line, or -1.
func headEnd(b []byte) int {
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return -1
}

// parseHead reads the first line and the headers; length is -1 if Content-Length is absent. On a fault the message
// holds what could be read, so that a request can be answered 400.
func parseHead(head []byte) (m *Message, length int, err error) {
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	line, err := r.ReadLine()
	if err != nil {
		return nil, 0, ErrMalformed
	}
	m = &Message{Header: textproto.MIMEHeader{}}
	if rest, ok := strings.CutPrefix(line, "SIP/2.0 "); ok {
		code, reason, _ := strings.Cut(rest, " ")
		m.Status, err = strconv.Atoi(code)
		m.Reason = reason
		if err != nil || m.Status < 100 || m.Status > 699 {
			return nil, 0, ErrMalformed
		}
	} else {
		parts := strings.Split(line, " ")
		if len(parts) != 3 || parts[2] != "SIP/2.0" || parts[0] == "" || parts[1] == "" {
			return nil, 0, ErrMalformed
		}
		m.Method, m.URI = parts[0], parts[1]
	}
	h, err := r.ReadMIMEHeader()
	for key, values := range h {
		if long, ok := compactForms[strings.ToLower(key)]; ok {
			key = long
		}
		for _, v := range values {
			m.Header.Add(key, v)
		}
	}
	if err != nil {
		return m, 0, ErrMalformed
	}
	if _, _, ok := m.CSeq(); !ok || m.Get("Call-ID") == "" {
		return m, 0, ErrMalformed
	}
	for _, once := range []string{"Call-Id", "Cseq", "Content-Length"} { // a head that breaks off takes in the next one's
		if len(m.Header[once]) > 1 {
			return m, 0, ErrMalformed
		}
	}
	length = -1
	if v := m.Header.Values("Content-Length"); len(v) > 0 {
		n, err := strconv.ParseUint(strings.TrimSpace(v[0]), 10, 31)
		if err != nil {
			return m, 0, ErrMalformed
		}
		length = int(n)
	}
	return m, length, nil
}

// Reader reads messages from a stream, framed by Content-Length.
type Reader struct {
	in          *bufio.Reader
	conn        readDeadliner // nil: a message may take any time
	timeout     time.Duration
	deadlineSet bool // the message at hand has a deadline
	graceUsed   bool // and has been given the grace
}

type readDeadliner interface{ SetReadDeadline(time.Time) error }

// readGrace is for a process that got no processor time: a message's deadline may have passed while the rest of it
// lay ready to be read.
const readGrace = 50 * time.Millisecond

// NewReader reads from in, whose buffer must hold MaxMessage bytes: it bounds what a message may need.
func NewReader(in *bufio.Reader) *Reader { return &Reader{in: in} }

// NewConnReader reads from a connection. A message that has begun and is not whole within a time ends it with
// ErrStopped: what waits behind it would never be read.
func NewConnReader(c net.Conn, timeout time.Duration) *Reader {
	return &Reader{in: bufio.NewReaderSize(c, MaxMessage), conn: c, timeout: timeout}
}

// peek gives the next n bytes of a message that has begun.
func (r *Reader) peek(n int) ([]byte, error) {
	if r.conn == nil || n <= r.in.Buffered() {
		return r.in.Peek(n)
	}
	if !r.deadlineSet {
		r.deadlineSet = true
		r.conn.SetReadDeadline(time.Now().Add(r.timeout))
	}
	b, err := r.in.Peek(n)
	if errors.Is(err, os.ErrDeadlineExceeded) && !r.graceUsed {
		r.graceUsed = true
		r.conn.SetReadDeadline(time.Now().Add(readGrace))
		b, err = r.in.Peek(n)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrIncomplete
	}
	return b, err
}

// Next gives the next message. After a fault the stream is of no more use; the message may then be one whose head could
// be read in part, or nil.
func (r *Reader) Next() (*Message, error) {
	for { // line ends between messages keep a connection alive (RFC 5626)
		b, err := r.in.Peek(1)
		if err != nil {
			return nil, err
		}
		if b[0] != '\r' && b[0] != '\n' {
			break
		}
		r.in.Discard(1)
	}
	m, err := r.readMessage()
	if r.deadlineSet {
		r.deadlineSet, r.graceUsed = false, false
		r.conn.SetReadDeadline(time.Time{})
	}
	return m, err
}

func (r *Reader) readMessage() (*Message, error) {
	end := -1
	for size := 1; end < 0; {
		b, err := r.peek(size)
		if err == bufio.ErrBufferFull || err == nil && len(b) >= MaxMessage {
			return nil, ErrTooLong
		}
		if err != nil {
			return nil, err
		}
		b, _ = r.in.Peek(r.in.Buffered())
		end = headEnd(b)
		size = len(b) + 1
	}
	head, _ := r.in.Peek(end)
	m, length, err := parseHead(head)
	if err != nil {
		return m, err
	}
	if length < 0 { // a stream has no other frame
		return m, ErrMalformed
	}
	if end+length > MaxMessage {
		return m, ErrTooLong
	}
	data, err := r.peek(end + length)
	if err != nil {
		return nil, err
	}
	if buffered, _ := r.in.Peek(r.in.Buffered()); messageStartsWithin(buffered[end:], length) {
		return m, ErrMalformed
	}
	m.Body = bytes.Clone(data[end:])
	r.in.Discard(end + length)
	return m, nil
}

var startLinePrefixes = [][]byte{[]byte("SIP/2.0 "), []byte("INVITE "), []byte("ACK "), []byte("BYE "), []byte("CANCEL "), []byte("OPTIONS "),
	[]byte("NOTIFY ")}

// messageStartsWithin tells whether a further message begins within a body, the first bytes of a text, and goes on to the body's end
// or past it: the body broke off, and what was taken for its rest is the next message's.
func messageStartsWithin(text []byte, length int) bool {
	for _, prefix := range startLinePrefixes {
		index := bytes.LastIndex(text[:min(len(text), length+len(prefix)-1)], prefix)
		if index < 0 || index >= length {
			continue
		}
		if index+len(prefix) > length {
			return true
		}
		line, _, _ := bytes.Cut(text[index:], []byte("\r\n"))
		if !isStartLine(string(line)) {
			continue
		}
		end := headEnd(text[index:length])
		if end < 0 {
			return true
		}
		if _, n, err := parseHead(text[index : index+end]); err != nil || index+end+n >= length {
			return true
		}
	}
	return false
}

func isStartLine(line string) bool {
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 3 {
		return false
	}
	if parts[0] == "SIP/2.0" {
		_, err := strconv.ParseUint(parts[1], 10, 10)
		return err == nil && len(parts[1]) == 3
	}
	return parts[2] == "SIP/2.0"
}

// Respond makes a response to a request: Via, From, To, Call-ID and CSeq are the request's.
func Respond(req *Message, status int, reason string) *Message {
	m := &Message{Status: status, Reason: reason, Header: textproto.MIMEHeader{}}
	for _, key := range []string{"Via", "From", "To", "Call-Id", "Cseq", "Record-Route"} {
		if key == "Record-Route" && (req.Method != "INVITE" || status >= 300) {
			continue
		}
		if v := req.Header[key]; len(v) > 0 {
			m.Header[key] = append([]string(nil), v...)
		}
	}
	return m
}
