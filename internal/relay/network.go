package relay

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Network is all links of a laboratory. Its methods are the control API; any goroutine may call them.
type Network struct {
	seed uint64

	mu      sync.Mutex
	closed  bool
	links   map[[2]string][]*Link
	dirs    map[[2]string]*direction
	nextRNG uint64
}

// New makes a network; what is drawn (jitter, loss) comes from the seed, for each link its own stream.
func New(seed uint64) *Network {
	return &Network{seed: seed, links: map[[2]string][]*Link{}, dirs: map[[2]string]*direction{}}
}

// direction is the condition from one process to another, shared by every link between them.
type direction struct {
	mu      sync.Mutex
	is      Condition
	changed chan struct{} // closed when is changes
}

func (d *direction) now() (Condition, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.is, d.changed
}

func (d *direction) set(c Condition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c == d.is {
		return
	}
	d.is = c
	close(d.changed)
	d.changed = make(chan struct{})
}

// direction gives the one from a process to another. The lock is held.
func (n *Network) direction(from, to string) *direction {
	d := n.dirs[[2]string{from, to}]
	if d == nil {
		d = &direction{changed: make(chan struct{})}
		n.dirs[[2]string{from, to}] = d
	}
	return d
}

func (n *Network) rng() *rand.Rand {
	n.nextRNG++
	return rand.New(rand.NewPCG(n.seed, n.nextRNG))
}

// SetCondition puts a condition in force from one process to another, in that direction only.
func (n *Network) SetCondition(from, to string, c Condition) error {
	if err := c.Check(); err != nil {
		return fmt.Errorf("link %s to %s: %w", from, to, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direction(from, to).set(c)
	return nil
}

// Cut cuts or heals one direction for each pair of two sets of processes; other parts of the conditions stay.
func (n *Network) Cut(from, to []string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				d := n.direction(a, b)
				c, _ := d.now()
				c.Cut = cut
				d.set(c)
			}
		}
	}
}

// Heal lets everything pass again between all processes, and opens every door; those of processes that are down refuse
// all the same.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.dirs {
		d.set(Condition{})
	}
	for _, links := range n.links {
		for _, l := range links {
			l.resetAt.Store(0)
			l.setDoor(Open)
		}
	}
}

// SetMode changes how the links from one process to another treat connections.
func (n *Network) SetMode(from, to string, d Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links[[2]string{from, to}] {
		l.setDoor(d)
	}
}

// Down says that a process has ended: every link to it refuses from now on, as the kernel of its machine would.
func (n *Network) Down(name string) {
	n.to(name, func(l *Link) { l.setTarget("") })
}

// Up says at which address a process serves a named service of its links.
func (n *Network) Up(name, service, addr string) {
	n.to(name, func(l *Link) {
		if l.service == service {
			l.setTarget(addr)
		}
	})
}

func (n *Network) to(name string, f func(*Link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ends, links := range n.links {
		if ends[1] == name {
			for _, l := range links {
				f(l)
			}
		}
	}
}

// Reset resets every open connection from one process to another at once; after > 0 instead resets each connection that
// is opened from then on once so many bytes of it have passed in either direction, and 0 ends that.
func (n *Network) Reset(from, to string, after int64) {
	n.mu.Lock()
	links := n.links[[2]string{from, to}]
	n.mu.Unlock()
	for _, l := range links {
		l.resetAt.Store(after)
		if after == 0 {
			l.resetAll()
		}
	}
}

// ClearReset ends Reset's limit without touching what is open.
func (n *Network) ClearReset(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links[[2]string{from, to}] {
		l.resetAt.Store(0)
	}
}

// Traffic is what passed one way between two processes.
type Traffic struct{ Bytes, Packets, Dropped int64 }

// Traffic counts what one process opened to another has carried towards it, by all their links.
func (n *Network) Traffic(from, to string) (t Traffic) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links[[2]string{from, to}] {
		t.Bytes += l.bytes.Load()
		t.Packets += l.packets.Load()
		t.Dropped += l.dropped.Load()
	}
	return t
}

// Close ends all links and waits for their goroutines.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	var all []*Link
	for _, links := range n.links {
		all = append(all, links...)
	}
	n.mu.Unlock()
	for _, l := range all {
		l.close()
	}
	for _, l := range all {
		l.wg.Wait()
	}
}

func due(last, now time.Time, c Condition, size int, rng func() float64) time.Time {
	at := now.Add(c.Delay)
	if c.Jitter > 0 {
		at = at.Add(time.Duration(rng() * float64(c.Jitter)))
	}
	if at.Before(last) {
		at = last
	}
	if c.BytesPerS > 0 {
		at = at.Add(time.Duration(float64(size) / float64(c.BytesPerS) * float64(time.Second)))
	}
	return at
}
