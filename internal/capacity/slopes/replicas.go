package slopes

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync/atomic"
	"time"

	"beammux/internal/store"
)

const (
	replicaReadyTimeout = 20 * time.Second
	pollInterval        = 5 * time.Millisecond
)

// replicas is a store group on loopback whose received bytes are counted.
type replicas struct {
	run       *run
	name      string // parent directory of the members
	onDisk    bool
	sync      string
	nodes     []*store.Node
	addresses []string
	traffic   traffic
}

// traffic counts what all replicas of a group have received from each other and from clients. A raft message takes one read
// while the receiver keeps up, and several messages may take one read otherwise, so reads is at most the number of messages.
type traffic struct{ bytes, reads atomic.Int64 }

// startReplicas starts voters, and then non-voters that join them. It returns when all are ready.
func (r *run) startReplicas(name string, voters, nonVoters int, onDisk bool, sync string) (*replicas, error) {
	g := &replicas{run: r, name: name, onDisk: onDisk, sync: sync}
	if err := g.start(voters, nonVoters); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

func (g *replicas) start(voters, nonVoters int) error {
	var peers []store.Peer
	var listeners []net.Listener
	for i := range voters {
		l, err := g.listen()
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		peers = append(peers, store.Peer{Node: replicaName(i), Address: l.Addr().String()})
	}
	for i, l := range listeners {
		if err := g.open(i, l, store.Options{Peers: peers}); err != nil {
			return err
		}
	}
	if err := g.waitReady(); err != nil {
		return err
	}
	for i := range nonVoters {
		if err := g.join(voters + i); err != nil {
			return err
		}
	}
	return g.waitReady()
}

func replicaName(i int) string { return fmt.Sprintf("r%d", i) }

// open opens the replica with number i and adds it to the group's nodes.
func (g *replicas) open(i int, l net.Listener, o store.Options) error {
	o.Node, o.Listener, o.Log, o.Sync = replicaName(i), l, g.run.Log, g.sync
	if g.onDisk {
		o.Dir = filepath.Join(g.run.dir, g.name, o.Node)
	}
	n, err := store.Open(o)
	if err != nil {
		return err
	}
	g.nodes = append(g.nodes, n)
	g.addresses = append(g.addresses, l.Addr().String())
	return nil
}

// join starts a non-voter and adds it to the group.
func (g *replicas) join(i int) error {
	l, err := g.listen()
	if err != nil {
		return err
	}
	if err := g.open(i, l, store.Options{Join: true}); err != nil {
		return err
	}
	return g.changeMember(store.MemberChange{Do: store.MemberAdd, Node: replicaName(i), Address: l.Addr().String()})
}

// changeMember changes the group's membership. It retries until a timeout because raft refuses a change that follows another one
// too soon.
func (g *replicas) changeMember(c store.MemberChange) error {
	ctx, cancel := context.WithTimeout(g.run.ctx, replicaReadyTimeout)
	defer cancel()
	for {
		_, err := g.nodes[0].ChangeMember(ctx, c, false)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s %s: %w", c.Do, c.Node, err)
		case <-time.After(pollInterval):
		}
	}
}

// waitReady waits until all replicas are ready.
func (g *replicas) waitReady() error {
	ctx, cancel := context.WithTimeout(g.run.ctx, replicaReadyTimeout)
	defer cancel()
	for _, n := range g.nodes {
		if err := n.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// leader waits until there is a leader and returns it.
func (g *replicas) leader() (*store.Node, error) {
	var found *store.Node
	err := g.run.waitUntil(replicaReadyTimeout, pollInterval, "a leader is elected", func() bool {
		for _, n := range g.nodes {
			if n.Leader() {
				found = n
				return true
			}
		}
		return false
	})
	return found, err
}

func (g *replicas) close() {
	for _, n := range g.nodes {
		n.Close()
	}
}

// listen listens on a free port of loopback, with counted traffic.
func (g *replicas) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &countedListener{Listener: l, traffic: &g.traffic}, nil
}

// countedListener counts the bytes and reads of its connections.
type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, traffic: l.traffic}, nil
}

// countedConn counts the bytes and reads of a connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	c.traffic.reads.Add(1)
	return n, err
}
