package sip

import (
	"bytes"
	"net"
	"net/netip"
	"sync"

	"beammux/internal/transport"
)

// Bounds of the datagrams that wait for their turn. What exceeds them is dropped, and its sender repeats it.
const (
	maxWaitingSources   = 256     // sources with waiting datagrams
	maxSourceDatagrams  = 256     // waiting datagrams of one source
	sourceMemory        = 8 << 10 // bytes of a source with waiting datagrams, without these
	minSourcesForRemove = 1024    // sources without state are removed once there are more
)

// datagramSources keeps the sources of datagrams apart, so that each has its own turns and its own memory account.
type datagramSources struct {
	memory *transport.MemoryBudget
	handle func(*datagramSource, []byte) // handles one datagram; called from the source's goroutine
	// servers holds the keys of the sources that are servers. Their responses must not be dropped because clients have taken all memory.
	servers sync.Map

	mu       sync.Mutex
	sources  map[netip.AddrPort]*datagramSource
	waiting  int // sources with waiting datagrams
	removeAt int // number of sources at which those without state are removed
}

// datagramSource is one address from which datagrams arrive.
type datagramSource struct {
	addr    net.Addr
	memory  *transport.MemoryAccount
	waiting [][]byte // datagrams that are not handled yet; guarded by datagramSources.mu
	running bool     // its goroutine handles datagrams; guarded by datagramSources.mu
}

// sourceKey returns the key of a source in datagramSources.
func sourceKey(addr *net.UDPAddr) netip.AddrPort {
	key := addr.AddrPort()
	return netip.AddrPortFrom(key.Addr().Unmap(), key.Port())
}

func newDatagramSources(memory *transport.MemoryBudget, handle func(*datagramSource, []byte)) *datagramSources {
	return &datagramSources{memory: memory, handle: handle, sources: map[netip.AddrPort]*datagramSource{}, removeAt: minSourcesForRemove}
}

// add adds a datagram to those that wait, unless a bound is reached.
func (d *datagramSources) add(from net.Addr, data []byte) {
	udp, ok := from.(*net.UDPAddr)
	if !ok {
		return
	}
	key := sourceKey(udp)
	_, isServer := d.servers.Load(key)
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.source(key, udp, isServer)
	if len(s.waiting) >= maxSourceDatagrams || !s.running && !isServer && d.waiting >= maxWaitingSources || !s.memory.Reserve(len(data)) {
		return
	}
	if !s.running && !s.memory.Reserve(sourceMemory) {
		s.memory.Release(len(data))
		return
	}
	s.waiting = append(s.waiting, bytes.Clone(data))
	if !s.running {
		s.running = true
		d.waiting++
		go d.run(s)
	}
}

// source returns the source with a key. A server has no memory account.
func (d *datagramSources) source(key netip.AddrPort, addr net.Addr, isServer bool) *datagramSource {
	s := d.sources[key]
	if s != nil && (!isServer || s.memory == nil) {
		return s
	}
	if len(d.sources) >= d.removeAt {
		d.removeIdle()
	}
	s = &datagramSource{addr: addr}
	if !isServer {
		s.memory = d.memory.NewAccount()
	}
	d.sources[key] = s
	return s
}

// removeIdle removes the sources that hold neither datagrams nor memory.
func (d *datagramSources) removeIdle() {
	for key, s := range d.sources {
		if !s.running && s.memory.Empty() {
			delete(d.sources, key)
		}
	}
	d.removeAt = max(minSourcesForRemove, 2*len(d.sources))
}

// run handles the datagrams of a source until none waits.
func (d *datagramSources) run(s *datagramSource) {
	for {
		data := d.next(s)
		if data == nil {
			return
		}
		d.handle(s, data)
		s.memory.Release(len(data))
	}
}

// next takes the source's first datagram. It returns nil if there is none; the source's goroutine then ends.
func (d *datagramSources) next(s *datagramSource) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(s.waiting) == 0 {
		s.waiting, s.running = nil, false
		d.waiting--
		s.memory.Release(sourceMemory)
		return nil
	}
	data := s.waiting[0]
	s.waiting[0] = nil
	s.waiting = s.waiting[1:]
	return data
}
