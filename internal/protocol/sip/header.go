package sip

import (
	"errors"
	"net"
	"strconv"
	"strings"
)

// magicCookie is the prefix of every branch generated according to RFC 3261 (8.1.1.7).
const magicCookie = "z9hG4bK"

var errHeader = errors.New("malformed header")

// splitUnquoted splits s at each separator outside quotes and angle brackets, and trims the parts.
func splitUnquoted(s string, separator byte) []string {
	var parts []string
	quoted, angle, start := false, false, 0
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '<':
			angle = true
		case c == '>':
			angle = false
		case c == separator && !angle:
			parts = append(parts, strings.TrimSpace(s[start:i]))
			start = i + 1
		}
	}
	return append(parts, strings.TrimSpace(s[start:]))
}

// listValues returns the values of a header that may be repeated or hold a comma-separated list.
func (m *Message) listValues(key string) []string {
	var all []string
	for _, v := range m.Header.Values(key) {
		for _, part := range splitUnquoted(v, ',') {
			if part != "" {
				all = append(all, part)
			}
		}
	}
	return all
}

// params parses "name=value" parameters. Names are converted to lower case.
func params(parts []string) map[string]string {
	p := map[string]string{}
	for _, part := range parts {
		name, value, _ := strings.Cut(part, "=")
		p[strings.ToLower(strings.TrimSpace(name))] = strings.TrimSpace(value)
	}
	return p
}

// address is a name-addr with its header parameters, as in From, To, Contact and Route.
type address struct {
	uri    string
	params map[string]string
}

// parseAddress parses a name-addr or addr-spec with its header parameters.
func parseAddress(s string) (address, error) {
	parts := splitUnquoted(s, ';')
	uri := parts[0]
	if open := strings.LastIndexByte(uri, '<'); open >= 0 {
		end := strings.IndexByte(uri[open:], '>')
		if end < 0 {
			return address{}, errHeader
		}
		uri = uri[open+1 : open+end]
	}
	if uri == "" {
		return address{}, errHeader
	}
	return address{uri, params(parts[1:])}, nil
}

// tag returns the tag parameter of a From or To value, or "".
func tag(value string) string {
	a, err := parseAddress(value)
	if err != nil {
		return ""
	}
	return a.params["tag"]
}

// uri holds the parts of a SIP URI that this package uses.
type uri struct {
	user, host string
	port       int // 0 if absent
	params     map[string]string
}

// parseURI parses a sip: URI and ignores its headers part.
func parseURI(s string) (uri, error) {
	scheme, rest, ok := strings.Cut(s, ":")
	if !ok || !strings.EqualFold(scheme, "sip") {
		return uri{}, errHeader
	}
	rest, _, _ = strings.Cut(rest, "?")
	parts := strings.Split(rest, ";")
	u := uri{host: parts[0], params: params(parts[1:])}
	if user, host, ok := strings.Cut(parts[0], "@"); ok {
		u.user, u.host = user, host
	}
	if host, port, err := net.SplitHostPort(u.host); err == nil {
		n, err := strconv.ParseUint(port, 10, 16)
		if err != nil {
			return uri{}, errHeader
		}
		u.host, u.port = host, int(n)
	}
	if u.host == "" {
		return uri{}, errHeader
	}
	return u, nil
}

// nextHop returns the transport and address to dial for a URI. The defaults are UDP and port 5060.
func (u uri) nextHop() (proto, addr string) {
	port := u.port
	if port == 0 {
		port = 5060
	}
	proto = strings.ToUpper(u.params["transport"])
	if proto == "" {
		proto = "UDP"
	}
	return proto, net.JoinHostPort(strings.Trim(u.host, "[]"), strconv.Itoa(port))
}

// endpoint returns a transport and an address, host:port, as one text.
func endpoint(proto, addr string) string { return proto + "|" + addr }

// via is a parsed Via value.
type via struct {
	proto, sentBy string
	params        map[string]string
}

// topVia parses the topmost Via of a message.
func (m *Message) topVia() (via, error) {
	all := m.listValues("Via")
	if len(all) == 0 {
		return via{}, errHeader
	}
	parts := splitUnquoted(all[0], ';')
	proto, sentBy, ok := strings.Cut(parts[0], " ")
	proto, found := strings.CutPrefix(proto, "SIP/2.0/")
	v := via{strings.ToUpper(proto), strings.TrimSpace(sentBy), params(parts[1:])}
	if !ok || !found || v.sentBy == "" {
		return via{}, errHeader
	}
	return v, nil
}

// setReceived adds the source address of a request to its topmost Via (RFC 3261, 18.2.1, and RFC 3581), so that the response is
// routed back to it.
func (m *Message) setReceived(from string) {
	host, port, err := net.SplitHostPort(from)
	all := m.listValues("Via")
	if err != nil || len(all) == 0 {
		return
	}
	parts := splitUnquoted(all[0], ';')
	for i, p := range parts {
		if strings.EqualFold(p, "rport") {
			parts[i] = "rport=" + port
		}
	}
	all[0] = strings.Join(append(parts, "received="+host), ";")
	m.Header["Via"] = all
}
