// Package sip implements SIP (RFC 3261): a message codec, an Agent that serves SIP callers and connects to SIP servers, and a
// PlatformDialer for the platform's menu servers, which implement only a small part of the protocol.
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

	"beammux/internal/transport"
)

// MaxMessage is the maximum size of a message in bytes, headers and body included.
const MaxMessage = 16 << 10

// Errors for messages that cannot be parsed.
var (
	ErrTooLong    = errors.New("message over 16 KiB")
	ErrMalformed  = errors.New("malformed message")
	ErrIncomplete = errors.New("incomplete message")
)

// compactForms maps the compact form of a header name to the long form (RFC 3261, 7.3.3).
var compactForms = map[string]string{"i": "Call-Id", "m": "Contact", "e": "Content-Encoding", "l": "Content-Length",
	"c": "Content-Type", "f": "From", "s": "Subject", "k": "Supported", "t": "To", "v": "Via"}

// Message is a SIP request or response.
type Message struct {
	Method string // empty for a response
	URI    string
	Status int // status code of a response; 0 for a request
	Reason string
	Header textproto.MIMEHeader
	Body   []byte

	size int // bytes of a message that was parsed
}

// Request returns a request without headers.
func Request(method, uri string) *Message {
	return &Message{Method: method, URI: uri, Header: textproto.MIMEHeader{}}
}

// Get returns the first value of a header, or "".
func (m *Message) Get(name string) string { return m.Header.Get(name) }

// Set replaces all values of a header by one value and returns the message.
func (m *Message) Set(name, value string) *Message {
	m.Header.Set(name, value)
	return m
}

// IsRequest reports whether the message is a request.
func (m *Message) IsRequest() bool { return m.Status == 0 }

// CSeq returns the number and method of the CSeq header, and whether the header is valid.
func (m *Message) CSeq() (number uint32, method string, ok bool) {
	digits, method, _ := strings.Cut(strings.TrimSpace(m.Get("CSeq")), " ")
	n, err := strconv.ParseUint(digits, 10, 32)
	return uint32(n), strings.TrimSpace(method), err == nil && n < 1<<31 && method != ""
}

// headerSpelling maps canonical MIME header keys to the spelling of RFC 3261 where the two differ.
var headerSpelling = map[string]string{"Call-Id": "Call-ID", "Cseq": "CSeq", "Www-Authenticate": "WWW-Authenticate"}

// headerOrder lists the headers that are written first, because proxies need them first (RFC 3261, 7.3.1).
var headerOrder = []string{"Via", "Max-Forwards", "Route", "Record-Route", "From", "To", "Call-Id", "Cseq"}

// Append appends the encoded message to b. Content-Length is always computed from the body.
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

// otherHeaders returns the headers that are not in headerOrder, sorted, so that equal messages are encoded identically.
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

// Parse parses a datagram, which holds one whole message. Bytes beyond Content-Length are ignored. With an error, Parse may
// return a message that holds what could be parsed.
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
	m.size = end + length
	return m, nil
}

// headEnd returns the length of the head including its blank line, or -1 if the blank line is missing.
func headEnd(b []byte) int {
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return -1
}

// Bounds of a head. They bound the time and the memory that a message needs in proportion to its bytes.
const (
	maxHeadLines      = 128
	maxHeadSeparators = 512 // of lists and parameters, in all headers together
)

// boundedHead returns the first maxHeadLines lines of a head, and whether these are all. It returns nil if the head has too many
// separators.
func boundedHead(head []byte) (bounded []byte, whole bool) {
	lines, separators := 0, 0
	for i, c := range head {
		switch c {
		case ',', ';':
			separators++
		case '\n':
			lines++
		}
		if separators > maxHeadSeparators {
			return nil, false
		}
		if lines == maxHeadLines && i+1 < len(head) {
			return head[:i+1], false
		}
	}
	return head, true
}

// parseHead parses the start line and the headers. length is the Content-Length, or -1 if it is absent. With an error, the
// message holds what could be parsed, so that a request can be answered with 400.
func parseHead(head []byte) (m *Message, length int, err error) {
	head, whole := boundedHead(head)
	if head == nil {
		return nil, 0, ErrMalformed
	}
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
	if err != nil || !whole {
		return m, 0, ErrMalformed
	}
	if _, _, ok := m.CSeq(); !ok || m.Get("Call-ID") == "" {
		return m, 0, ErrMalformed
	}
	for _, once := range []string{"Call-Id", "Cseq", "Content-Length"} { // a truncated head runs into the next message's headers
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

// Reader reads messages from a stream, where Content-Length frames them.
type Reader struct {
	in          *bufio.Reader
	conn        readDeadliner // nil if reads have no deadline
	timeout     time.Duration
	scheduler   *transport.Scheduler // of the parsing; nil: at once
	begun       func()               // called when the current message has begun and is not complete; nil: not called
	deadlineSet bool                 // the current message has a read deadline
	graceUsed   bool                 // the current message's deadline has been extended by readGrace
}

// readDeadliner is the part of net.Conn that sets read deadlines.
type readDeadliner interface{ SetReadDeadline(time.Time) error }

// readGrace extends an expired read deadline once. If the process got no CPU time, the deadline may have expired while the rest
// of the message was ready in the socket buffer.
const readGrace = 50 * time.Millisecond

// NewReader returns a Reader without deadlines. The buffer of in must hold at least MaxMessage bytes, because a message is parsed
// in the buffer.
func NewReader(in *bufio.Reader) *Reader { return &Reader{in: in} }

// NewConnReader returns a Reader for a connection. If a message has begun and is not complete within timeout, Next returns
// ErrIncomplete, because the messages behind it would never be read.
func NewConnReader(c net.Conn, timeout time.Duration) *Reader {
	return &Reader{in: bufio.NewReaderSize(c, MaxMessage), conn: c, timeout: timeout}
}

// peek returns the next n bytes of a message that has begun, without consuming them.
func (r *Reader) peek(n int) ([]byte, error) {
	if r.conn == nil || n <= r.in.Buffered() {
		return r.in.Peek(n)
	}
	if !r.deadlineSet {
		r.deadlineSet = true
		r.conn.SetReadDeadline(time.Now().Add(r.timeout))
		if r.begun != nil {
			r.begun()
		}
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

// Next returns the next message. After an error the stream must not be used again. With an error, the message is nil or holds
// the part of the head that could be parsed.
func (r *Reader) Next() (*Message, error) {
	for { // skip empty lines between messages: they are keep-alives (RFC 5626)
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

// readMessage reads one message whose first byte is already buffered.
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
	var m *Message
	var length int
	var err error
	r.scheduler.Do(func() { m, length, err = parseHead(head) })
	if err != nil {
		return m, err
	}
	if length < 0 { // a stream has no other framing
		return m, ErrMalformed
	}
	if end+length > MaxMessage {
		return m, ErrTooLong
	}
	data, err := r.peek(end + length)
	if err != nil {
		return nil, err
	}
	buffered, _ := r.in.Peek(r.in.Buffered())
	truncated := false
	r.scheduler.Do(func() { truncated = messageStartsWithin(buffered[end:], length) })
	if truncated {
		return m, ErrMalformed
	}
	m.Body = bytes.Clone(data[end:])
	m.size = end + length
	r.in.Discard(end + length)
	return m, nil
}

// startLinePrefixes lists how the start line of a message may begin.
var startLinePrefixes = [][]byte{[]byte("SIP/2.0 "), []byte("INVITE "), []byte("ACK "), []byte("BYE "), []byte("CANCEL "), []byte("OPTIONS "),
	[]byte("NOTIFY ")}

// messageStartsWithin reports whether another message begins within a body, which is the first length bytes of text, and
// extends to the end of the body or past it. In this case the body was truncated, and the bytes taken for the rest of it belong
// to the next message.
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

// isStartLine reports whether a line has the form of a status line or a request line.
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

// Respond returns a response to a request, with its Via, From, To, Call-ID and CSeq. A provisional or successful response to an
// INVITE also has its Record-Route.
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
