package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/control"
	"beammux/internal/config"
	"beammux/internal/protocol/sip/siptest"
	"beammux/internal/routing"
)

// Guards against calls left standing at a server whose address the list has given to another one, for servers of both fronts and where
// they change from one to the other.
func TestCallsOfAReplacedServerOfEachFront(t *testing.T) {
	platform := func(s *siptest.UserAgent) string { return s.Addr("TCP") }
	tcp := func(s *siptest.UserAgent) string { return s.URI("TCP") }
	udp := func(s *siptest.UserAgent) string { return s.URI("UDP") }
	for _, c := range []struct {
		name          string
		first, second func(*siptest.UserAgent) string
	}{
		{"platform", platform, platform},
		{"SIP over TCP", tcp, tcp},
		{"SIP over UDP", udp, udp},
		{"platform, then SIP", platform, tcp},
		{"SIP, then platform", tcp, platform},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := testNode(t, &config.Deploy{SIPUDP: "127.0.0.1:0", SIPTCP: "127.0.0.1:0"})
			server := siptest.New(t, answerAfter(0))
			n.applyAndWait(routing.Update{Hosts: []routing.Host{{Name: "s-a", Addr: c.first(server), State: control.Ready}}})
			messages := make(chan string, 99)
			client := dialJSON(t, n, func(m map[string]any) { messages <- fmt.Sprint(m["msg"], " ", m["sid"]) })
			next := func() string {
				select {
				case m := <-messages:
					return m
				case <-time.After(5 * time.Second):
					return "nothing"
				}
			}
			const id, other = "0000000000000001", "0000000000000002"
			sendSetup(client, id, "1", 1500)
			require.Equal(t, "ready "+id, next())
			n.applyAndWait(routing.Update{Hosts: []routing.Host{{Name: "s-b", Addr: c.second(server), State: control.Ready}}})
			require.Equal(t, "close "+id, next())
			sendSetup(client, other, "1", 1500)
			require.Equal(t, "ready "+other, next())
		})
	}
}
