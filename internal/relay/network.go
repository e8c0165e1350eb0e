package relay

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Network owns the links between the processes of a laboratory. Its methods control the faults and are safe for concurrent use.
type Network struct {
	seed uint64

	mu         sync.Mutex
	closed     bool
	links      map[[2]string][]*Link
	directions map[[2]string]*direction
	rngCount   uint64
}

// New returns an empty network. Random decisions (jitter, loss, duplicates, reordering) derive from the seed; each link has its
// own random stream.
func New(seed uint64) *Network {
	return &Network{seed: seed, links: map[[2]string][]*Link{}, directions: map[[2]string]*direction{}}
}

// direction is the condition from one process to another, shared by every link between them.
type direction struct {
	mu        sync.Mutex
	condition Condition
	changed   chan struct{} // closed and replaced whenever the condition changes
}

func (d *direction) now() (Condition, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.condition, d.changed
}

func (d *direction) set(c Condition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c == d.condition {
		return
	}
	d.condition = c
	close(d.changed)
	d.changed = make(chan struct{})
}

// direction returns the direction from one process to another and creates it if needed. The caller holds n.mu.
func (n *Network) direction(from, to string) *direction {
	d := n.directions[[2]string{from, to}]
	if d == nil {
		d = &direction{changed: make(chan struct{})}
		n.directions[[2]string{from, to}] = d
	}
	return d
}

func (n *Network) rng() *rand.Rand {
	n.rngCount++
	return rand.New(rand.NewPCG(n.seed, n.rngCount))
}

// SetCondition applies a condition to the traffic from one process to another, in that direction only.
func (n *Network) SetCondition(from, to string, c Condition) error {
	if err := c.Check(); err != nil {
		return fmt.Errorf("link %s to %s: %w", from, to, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direction(from, to).set(c)
	return nil
}

// Cut cuts or heals the direction from each process in from to each process in to; the other fields of the conditions stay.
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

// Heal clears the conditions of all directions, sets every link to Open and clears the limits of Reset. Links to processes that
// are down still refuse connections.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.directions {
		d.set(Condition{})
	}
	for _, links := range n.links {
		for _, l := range links {
			l.resetAfterBytes.Store(0)
			l.setMode(Open)
		}
	}
}

// SetMode sets how the links from one process to another treat connections.
func (n *Network) SetMode(from, to string, d Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links[[2]string{from, to}] {
		l.setMode(d)
	}
}

// Down marks a process as ended: every link to it refuses connections from now on, as the kernel of its machine would.
func (n *Network) Down(name string) {
	n.forEachLinkTo(name, func(l *Link) { l.setTarget("") })
}

// Up sets the address at which a process serves the named service.
func (n *Network) Up(name, service, addr string) {
	n.forEachLinkTo(name, func(l *Link) {
		if l.service == service {
			l.setTarget(addr)
		}
	})
}

// forEachLinkTo calls f for each link to a process.
func (n *Network) forEachLinkTo(name string, f func(*Link)) {
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

// Reset with after = 0 resets every open connection from one process to another at once and clears any limit. With after > 0
// it sets a limit instead: each connection is reset once it has forwarded that many bytes, counting both directions together.
func (n *Network) Reset(from, to string, after int64) {
	n.mu.Lock()
	links := n.links[[2]string{from, to}]
	n.mu.Unlock()
	for _, l := range links {
		l.resetAfterBytes.Store(after)
		if after == 0 {
			l.resetAll()
		}
	}
}

// ClearReset clears the limit set by Reset and leaves open connections alone.
func (n *Network) ClearReset(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links[[2]string{from, to}] {
		l.resetAfterBytes.Store(0)
	}
}

// Traffic counts the traffic in one direction between two processes.
type Traffic struct{ Bytes, Packets, Dropped int64 }

// Traffic returns the traffic from one process to another, summed over the links that the first opens to the second.
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

// Close closes all links and waits for their goroutines.
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

// dueTime returns when data read at now is to be sent under a condition. The result is not before last, the due time of the
// preceding data.
func dueTime(last, now time.Time, c Condition, size int, rng func() float64) time.Time {
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
