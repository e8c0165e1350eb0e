//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

func init() { cases["7"] = caseSIPFlood }

// caseSIPFlood: one bad client of the SIP front sends a request again as soon as it is turned away.
func caseSIPFlood(l *lab) {
	udp := freeAddr()
	deploy := l.writeJSON("deploy.json", map[string]any{"sip": map[string]any{"udp": udp, "default_class": "menu-view"}})
	g, book, stop := floodDeployment(l, deploy)
	if l.trouble {
		l.note("a bad client begins")
		go sameAgain(l, udp, hundredsOfRequests, stop)
	}
	g.awaitEnd(20 * time.Second)
	close(stop)
	time.Sleep(3200 * time.Millisecond)
	book.checkAnswers(l)
}

// sameAgain keeps a number of INVITEs open: each final answer is confirmed by its ACK, and followed by the next INVITE.
func sameAgain(l *lab, gate string, open int, stop <-chan struct{}) {
	address, _ := net.ResolveUDPAddr("udp", gate)
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return
	}
	defer c.Close()
	own, body, count := c.LocalAddr().String(), strings.Repeat("a=sendrecv\r\n", 1200), 0
	finals := 0
	invite := func() {
		id := newID()
		count++
		fmt.Fprintf(udpWriter{c, address}, "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/UDP %s;branch=z9hG4bK%s\r\nMax-Forwards: 70\r\n"+
			"From: <sip:terminal@net>;tag=%s\r\nTo: <sip:7f3a9c21e0b4d655@net>\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nContact: <sip:terminal@%s>\r\n"+
			"X-Cos: menu-view\r\nExpires: 3\r\nContent-Type: application/sdp\r\nContent-Length: %d\r\n\r\n%s", own, id, id, id, own, len(body), body)
	}
	for range open {
		invite()
	}
	buffer := make([]byte, 64<<10)
	for {
		select {
		case <-stop:
			l.note("the bad client has sent %d INVITEs and read %d final answers", count, finals)
			return
		default:
		}
		c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		n, _, err := c.ReadFromUDP(buffer)
		if err != nil { // datagrams were lost: the client begins anew
			for range open {
				invite()
			}
			continue
		}
		m, _, err := readSIP(bufio.NewReader(strings.NewReader(string(buffer[:n]))))
		if err != nil || !strings.HasPrefix(m.start, "SIP/2.0 ") || m.start[8] == '1' {
			continue
		}
		finals++
		fmt.Fprintf(udpWriter{c, address}, "ACK sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: %s\r\nMax-Forwards: 70\r\nFrom: %s\r\nTo: %s\r\nCall-ID: %s\r\n"+
			"CSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n", m.header.Get("Via"), m.header.Get("From"), m.header.Get("To"), m.header.Get("Call-Id"))
		invite()
	}
}

// udpWriter sends each write as a datagram.
type udpWriter struct {
	conn *net.UDPConn
	to   *net.UDPAddr
}

func (w udpWriter) Write(p []byte) (int, error) { return w.conn.WriteToUDP(p, w.to) }
