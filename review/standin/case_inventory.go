//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["inventory"] = halfInventory }

// halfInventory: calls stand at the four servers of an inventory file. Staff save a changed file (a comment is added), and a SIGHUP
// comes while only the first half of the rows is written; 3 s later the rest is there, and another SIGHUP comes. No server may be
// dropped: calls that stand at sound servers go on, and set-ups go to all four.
func halfInventory(l *lab) {
	names := []string{"menu-dallas", "menu-houston", "menu-austin", "menu-el-paso"}
	var servers []*platformServer
	rows := []string{"name,address,cell"}
	for i, name := range names {
		s := l.platformServer(name)
		servers = append(servers, s)
		rows = append(rows, fmt.Sprintf("%s,%s,%d", name, addr(s.port), i))
	}
	whole := strings.Join(rows, "\n") + "\n"
	half := strings.Join(rows[:3], "\n") + "\n"
	listen := addr(l.freePort())
	inventory := l.write("servers.csv", whole)
	deploy := l.write("beammux.json", fmt.Sprintf(`{"inventory":%q}`, inventory))
	g := l.gatekeeper("g", listen, l.config(listen), deploy, nil)
	l.mustReady(g)
	time.Sleep(2500 * time.Millisecond)
	c := l.dialJSON("tablet", listen)
	if c == nil {
		l.cannotRun("the gatekeeper takes no caller")
	}
	type standing struct {
		sid    string
		server *platformServer
	}
	var calls []standing
	for range 2 {
		for i := range servers {
			sid := c.callUntilStands("diet-order", fmt.Sprint(i))
			for _, s := range servers {
				if eventually(200*time.Millisecond, func() bool { return s.standsHere(sid) }) {
					calls = append(calls, standing{sid, s})
					break
				}
			}
		}
	}
	if len(calls) != 8 {
		l.cannotRun("%d calls stand, not 8", len(calls))
	}
	save := func(text string) {
		l.log("staff: the inventory file has %d of %d bytes, SIGHUP", len(text), len(whole))
		if err := os.WriteFile(inventory, []byte(text), 0o600); err != nil {
			l.cannotRun("%v", err)
		}
		l.signal(g, syscall.SIGHUP)
	}
	if l.trouble {
		save(half)
	} else {
		save(whole)
	}
	time.Sleep(3 * time.Second)
	for i, name := range names { // while the file is half written
		servers[i].mu.Lock()
		before := len(servers[i].calls)
		servers[i].mu.Unlock()
		for range 4 {
			id := c.open("diet-order", fmt.Sprint(i))
			c.await(id, "ready", 500*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
		}
		servers[i].mu.Lock()
		n := len(servers[i].calls) - before
		servers[i].mu.Unlock()
		l.log("%d of 4 set-ups with first choice %s went there", n, name)
		if n == 0 {
			l.breach("server %s was dropped: none of 4 set-ups with that first choice went to it", name)
		}
	}
	save(whole)
	time.Sleep(time.Second)
	for _, call := range calls {
		if e, ok := c.event(call.sid, "close"); ok && call.server.standsHere(call.sid) {
			l.breach("call %s was cut at its caller with cause %d; at %s, which is sound and has not released it, it stands",
				call.sid, e.Code, call.server.name)
		} else if ok {
			l.breach("call %s was cut with cause %d by the gatekeeper", call.sid, e.Code)
		}
	}
}
