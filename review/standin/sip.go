//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// sipMessage is a SIP message: its first line, headers in order and body.
type sipMessage struct {
	first   string
	headers [][2]string
	body    string
}

func (m *sipMessage) get(name string) string {
	for _, h := range m.headers {
		if strings.EqualFold(h[0], name) {
			return h[1]
		}
	}
	return ""
}

func (m *sipMessage) add(name, value string) *sipMessage {
	m.headers = append(m.headers, [2]string{name, value})
	return m
}

// method is the method of a request, "" for a response.
func (m *sipMessage) method() string {
	word, _, _ := strings.Cut(m.first, " ")
	if strings.HasPrefix(word, "SIP/") {
		return ""
	}
	return word
}

// status is the status of a response, 0 for a request.
func (m *sipMessage) status() int {
	words := strings.Fields(m.first)
	if len(words) < 2 || !strings.HasPrefix(words[0], "SIP/") {
		return 0
	}
	n, _ := strconv.Atoi(words[1])
	return n
}

// cseqMethod is the method in CSeq.
func (m *sipMessage) cseqMethod() string {
	_, method, _ := strings.Cut(m.get("CSeq"), " ")
	return strings.TrimSpace(method)
}

func (m *sipMessage) bytes() []byte {
	var b strings.Builder
	b.WriteString(m.first + "\r\n")
	for _, h := range m.headers {
		if !strings.EqualFold(h[0], "Content-Length") {
			b.WriteString(h[0] + ": " + h[1] + "\r\n")
		}
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(m.body), m.body)
	return []byte(b.String())
}

// readSIP reads one message from a stream.
func readSIP(in *bufio.Reader) (*sipMessage, error) {
	m := &sipMessage{}
	for {
		text, err := in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		text = strings.TrimRight(text, "\r\n")
		if text == "" && m.first == "" {
			continue
		}
		if text == "" {
			break
		}
		if m.first == "" {
			m.first = text
			continue
		}
		name, value, _ := strings.Cut(text, ":")
		m.add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	n, _ := strconv.Atoi(m.get("Content-Length"))
	body := make([]byte, n)
	_, err := io.ReadFull(in, body)
	m.body = string(body)
	return m, err
}

// parseSIP reads one message from a datagram.
func parseSIP(data []byte) (*sipMessage, error) {
	return readSIP(bufio.NewReader(strings.NewReader(string(data))))
}

// respond returns a response to a request: the headers that RFC 3261 (8.2.6.2) copies, and a tag of its own in To if tag is set.
func (m *sipMessage) respond(status int, reason, tag string) *sipMessage {
	r := &sipMessage{first: fmt.Sprintf("SIP/2.0 %d %s", status, reason)}
	for _, h := range m.headers {
		switch strings.ToLower(h[0]) {
		case "via", "from", "call-id", "cseq":
			r.add(h[0], h[1])
		case "to":
			to := h[1]
			if tag != "" && !strings.Contains(to, "tag=") {
				to += ";tag=" + tag
			}
			r.add("To", to)
		}
	}
	return r
}

// uriOf returns the URI between < and > of a header value.
func uriOf(value string) string {
	_, rest, ok := strings.Cut(value, "<")
	if !ok {
		return value
	}
	uri, _, _ := strings.Cut(rest, ">")
	return uri
}
