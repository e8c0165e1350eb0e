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

// replicas is a store's group on loopback, whose received bytes are counted.
type replicas struct {
	run       *run
	name      string // of its folders
	onDisk    bool
	sync      string
	nodes     []*store.Node
	addresses []string
	traffic   traffic
}

// traffic is what all replicas of a group have received from each other and from clients. A message of raft is one read
// while the receiver keeps up, so reads are at most the messages.
type traffic struct{ bytes, reads atomic.Int64 }

// startReplicas starts voters, and then non-voters that join them. It returns once all are ready.
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

// join starts a replica without a vote and has the group add it.
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

// changeMember has the group's members changed. A change that comes too soon after another is refused by raft, and tried again.
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

// leader is the replica that leads.
func (g *replicas) leader() (*store.Node, error) {
	var found *store.Node
	err := g.run.waitUntil(replicaReadyTimeout, pollInterval, "a leader", func() bool {
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

func (g *replicas) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &countedListener{Listener: l, traffic: &g.traffic}, nil
}

// countedListener counts what its connections bring.
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
