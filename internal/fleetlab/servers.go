package fleetlab

import (
	"fmt"
	"sync"
	"time"

	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
	"beammux/internal/lab"
)

// server is a simulated menu server. The mutex protects all fields but name and index.
type server struct {
	name       string
	index      int
	mu         sync.Mutex
	s          *lab.Server
	instances  []*lab.Server
	since      time.Time
	state      string
	stopStatus func() // ends its status reports
}

// startServers starts the simulated servers and the event bus.
func (f *fleet) startServers() error {
	var hosts []lab.Host
	for i := range f.s.Servers {
		v := &server{name: script.Server(i), index: i, state: "up"}
		f.servers = append(f.servers, v)
		if err := f.startServer(v); err != nil {
			return err
		}
		hosts = append(hosts, f.host(v))
	}
	f.bus = lab.NewBus(hosts)
	return nil
}

// hostName returns the host name of the server with the given index.
func hostName(index int) string { return fmt.Sprintf("s-%08x", index+1) }

// host returns the entry of a server on the event bus.
func (f *fleet) host(v *server) lab.Host {
	return lab.Host{Name: hostName(v.index), State: v.state, Cell: v.index, Zone: f.s.ZoneOf(v.name), Since: v.since}
}

// startServer starts a new instance of a server and opens its listeners.
func (f *fleet) startServer(v *server) error {
	s, err := lab.NewServer(lab.PlatformWork(), f.s.Seed<<8+uint64(v.index)+uint64(len(v.instances))<<32)
	if err != nil {
		return err
	}
	s.Hear(func(e lab.Seen) {
		if e.Kind == lab.ServerAnswered {
			f.serves.record(fleetcheck.Given, line{Process: v.name, Call: e.Call, What: "stands " + e.Call})
		}
	})
	v.mu.Lock()
	v.s, v.instances, v.stopStatus = s, append(v.instances, s), s.Status(statusInterval)
	v.mu.Unlock()
	return f.listenForGatekeepers(v)
}

// listenForGatekeepers opens one listener of a server per gatekeeper, so that the server can identify the gatekeeper of a
// connection, as it would by the source address on separate machines.
func (f *fleet) listenForGatekeepers(v *server) error {
	for _, g := range f.gatekeepers {
		addr, err := v.s.ListenFor(g.name)
		if err != nil {
			return err
		}
		f.net.Up(v.name, g.name, addr)
	}
	return nil
}

// stopServers closes all servers.
func (f *fleet) stopServers() {
	for _, v := range f.servers {
		v.mu.Lock()
		v.stopStatus()
		v.s.Close()
		v.mu.Unlock()
	}
}
