package store

import (
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"beammux/internal/porttest"
)

// memberGroup is a group on loopback whose members are added, removed and moved.
type memberGroup struct {
	t     *testing.T
	root  string
	peers []Peer
	nodes map[string]*Node
	addrs map[string]string
}

func newMemberGroup(t *testing.T, size int) *memberGroup {
	c := &memberGroup{t: t, root: t.TempDir(), nodes: map[string]*Node{}, addrs: map[string]string{}}
	var listeners []net.Listener
	for i := range size {
		l := porttest.Listen(c.t)
		listeners = append(listeners, l)
		c.peers = append(c.peers, Peer{Node: fmt.Sprint("n", i), Address: l.Addr().String()})
	}
	for i, p := range c.peers {
		c.start(p.Node, listeners[i], Options{Peers: c.peers})
	}
	return c
}

func (c *memberGroup) start(name string, l net.Listener, o Options) *Node {
	c.t.Helper()
	o.Node, o.Listener, o.Dir, o.Log = name, l, filepath.Join(c.root, name), discardLogger()
	n, err := Open(o)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { n.Close() })
	c.nodes[name], c.addrs[name] = n, l.Addr().String()
	return n
}

func (c *memberGroup) stop(name string) {
	c.nodes[name].Close()
	delete(c.nodes, name)
}

// change requests a change from the members that are up until a leader decides on it.
func (c *memberGroup) change(m MemberChange) (string, error) {
	c.t.Helper()
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		for name := range c.nodes {
			done, err := ChangeMemberAt(testContext(c.t), c.addrs[name], m)
			if err == nil || !strings.Contains(err.Error(), "leader") && !strings.Contains(err.Error(), "prev index") && !strings.Contains(err.Error(), "lacks") {
				return done, err
			}
			if time.Now().After(limit) {
				c.t.Fatal(err)
			}
		}
	}
}

// mustChange requests a change and fails unless the result is want.
func (c *memberGroup) mustChange(want string, m MemberChange) {
	c.t.Helper()
	if done, err := c.change(m); err != nil || done != want {
		c.t.Fatalf("%+v: %q, %v; want %q", m, done, err, want)
	}
}

func (c *memberGroup) put(key string) {
	c.t.Helper()
	for _, n := range c.nodes {
		if _, err := n.Put(testContext(c.t), key, []byte(key)); err != nil {
			c.t.Fatal(err)
		}
		return
	}
}

// Replacing a failed member: it is removed, and a new one joins as a learner with an empty folder, gets all records and is
// promoted to voter. A removal that would leave no majority is refused with the number of voters.
func TestReplaceMember(t *testing.T) {
	c := newMemberGroup(t, 3)
	c.put("before")
	c.stop("n2")
	if _, err := c.change(MemberChange{Do: MemberRemove, Node: "n1"}); err == nil || !strings.Contains(err.Error(), "of the 2 voters left 1 are up and 2 are needed") {
		t.Fatal(err)
	}
	c.mustChange("remove", MemberChange{Do: MemberRemove, Node: "n2"})
	l := porttest.Listen(c.t)
	n3 := c.start("n3", l, Options{Join: true})
	if _, err := c.change(MemberChange{Do: MemberPromote, Node: "n3"}); err == nil || !strings.Contains(err.Error(), "add it first") {
		t.Fatal(err)
	}
	c.mustChange("add", MemberChange{Do: MemberAdd, Node: "n3", Address: l.Addr().String()})
	c.mustChange("nothing", MemberChange{Do: MemberAdd, Node: "n3", Address: l.Addr().String()})
	waitForRecord(t, n3, "before", []byte("before"))
	c.mustChange("promote", MemberChange{Do: MemberPromote, Node: "n3"})
	c.put("after")
	waitForRecord(t, n3, "after", []byte("after"))
	for _, m := range n3.Status().Members {
		if !m.Voter || m.Node == "n2" {
			t.Errorf("%+v", m)
		}
	}
}

// All three members change their addresses, one after another, without losing a write.
func TestAllMembersChangeAddress(t *testing.T) {
	c := newMemberGroup(t, 3)
	for i, p := range c.peers {
		c.put(fmt.Sprint("move/", i))
		c.stop(p.Node)
		l := porttest.Listen(c.t)
		c.mustChange("move", MemberChange{Do: MemberAdd, Node: p.Node, Address: l.Addr().String()})
		n := c.start(p.Node, l, Options{Join: true}) // its files contain the group's configuration
		waitForRecord(t, n, fmt.Sprint("move/", i), []byte(fmt.Sprint("move/", i)))
	}
	c.put("at last")
	for name, n := range c.nodes {
		for i := range 3 {
			waitForRecord(t, n, fmt.Sprint("move/", i), []byte(fmt.Sprint("move/", i)))
		}
		waitForRecord(t, n, "at last", []byte("at last"))
		for _, m := range n.Status().Members {
			if m.Address != c.addrs[m.Node] {
				t.Errorf("%s has %s at address %s", name, m.Node, m.Address)
			}
		}
	}
}

// A request that arrives before a member has started is answered once it has: the listener is open before raft starts.
func TestRequestBeforeStart(t *testing.T) {
	for range 5 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("F{\"op\":\"status\"}\n")); err != nil {
			t.Fatal(err)
		}
		n, err := Open(Options{Node: "a", Listener: l, Peers: []Peer{{Node: "a", Address: l.Addr().String()}}, Dir: t.TempDir(), Log: discardLogger()})
		if err != nil {
			t.Fatal(err)
		}
		var r result
		if err := json.NewDecoder(c).Decode(&r); err != nil || r.Status == nil || r.Status.Node != "a" {
			t.Errorf("%+v, %v", r, err)
		}
		c.Close()
		n.Close()
	}
}
