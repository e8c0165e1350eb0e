//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["sip-restart"] = sipRestart }

// sipRestart: callers in JSON lines have calls that stand at SIP servers. The gatekeeper is killed and started again under its name
// and address, with the folder of its store. Then the servers release the calls: each release has to reach the caller.
func sipRestart(l *lab) {
	overUDP, overTCP := l.sipServer("over-udp"), l.sipServer("over-tcp")
	listen := addr(l.freePort())
	sip := addr(l.freePort())
	inventory := l.write("servers.csv", fmt.Sprintf("name,address,cell,transport\nmenu-dallas,%s,0,udp\nmenu-austin,%s,1,tcp\n",
		addr(overUDP.port), addr(overTCP.port)))
	deploy := l.write("beammux.json", fmt.Sprintf(`{"sip":{"udp":%q,"tcp":%q,"default_class":"menu-view"},"store":{"dir":%q},"inventory":%q}`,
		sip, sip, l.tmp+"/store", inventory))
	config := l.config(listen)
	g := l.gatekeeper("g", listen, config, deploy, nil)
	l.mustReady(g)
	time.Sleep(2500 * time.Millisecond)

	type standing struct {
		sid, callID string
		server      *sipServer
	}
	var calls []standing
	c := l.dialJSON("tablet", listen)
	if c == nil {
		l.cannotRun("the gatekeeper takes no caller")
	}
	for i := range 4 {
		sid := c.callUntilStands("diet-order", fmt.Sprint(i%2))
		eventually(time.Second, func() bool {
			for _, s := range []*sipServer{overUDP, overTCP} {
				if id := s.standingWith(sid); id != "" {
					calls = append(calls, standing{sid, id, s})
					return true
				}
			}
			return false
		})
	}
	if len(calls) != 4 {
		l.cannotRun("%d calls stand at the servers, not 4", len(calls))
	}
	time.Sleep(2 * time.Second) // longer than any write of the store
	if l.trouble {
		l.signal(g, syscall.SIGKILL)
		g.waitEnd(5 * time.Second)
		time.Sleep(500 * time.Millisecond)
		g = l.gatekeeper("g-again", listen, config, deploy, nil)
		l.mustReady(g)
		c = l.dialJSON("tablet-again", listen)
		if c == nil {
			l.cannotRun("the gatekeeper takes no caller after its restart")
		}
		time.Sleep(2500 * time.Millisecond)
	}
	c.callUntilStands("menu-view", "0") // the caller is there and is served
	for _, call := range calls {
		released := time.Now()
		status := call.server.release(call.callID)
		e, ok := c.await(call.sid, "close", 8050*time.Millisecond-time.Since(released))
		switch {
		case !ok:
			l.breach("call %s stood, its server %s released it (answer %d), and its caller has no release after 8.05 s", call.sid, call.server.name, status)
		case e.at.Sub(released) > 1050*time.Millisecond:
			l.breach("call %s: its caller had the release %v after the server's", call.sid, e.at.Sub(released))
		default:
			l.log("call %s: released at its caller after %v", call.sid, e.at.Sub(released).Round(time.Millisecond))
		}
	}
}
