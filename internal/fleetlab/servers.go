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
	s          *lab.Server   // current instance
	instances  []*lab.Server // all instances, the current one last
	vanished   []*lab.Server // instances whose address another one has; their connections stay open until the end
	generation int           // of the machine that has the address; each has a host name of its own
	since      time.Time     // start time on the event bus
	state      string        // up, draining or lost
	stopStatus func()        // ends its status reports
}

// startServers starts the simulated servers and the event bus.
func (f *fleet) startServers() error {
	var hosts []lab.Host
	for i := range f.s.Servers {
		srv := &server{name: script.Server(i), index: i, state: "up"}
		f.servers = append(f.servers, srv)
		if err := f.startServer(srv); err != nil {
			return err
		}
		hosts = append(hosts, f.host(srv))
	}
	f.bus = lab.NewBus(hosts)
	return nil
}

// generationShift is the number of bits for the server's index in the number of a host name; the generation is above them.
const generationShift = 16

// hostNumber returns the number of the host that runs as a generation of the server with the given index.
func hostNumber(index, generation int) uint32 { return uint32(generation<<generationShift + index + 1) }

// hostIndex returns the index of the server that a host runs as.
func hostIndex(number uint32) int { return int(number&(1<<generationShift-1)) - 1 }

// host returns the entry of a server on the event bus.
func (f *fleet) host(srv *server) lab.Host {
	return lab.Host{Name: fmt.Sprintf("s-%08x", hostNumber(srv.index, srv.generation)), State: srv.state, Cell: srv.index, Zone: f.s.ZoneOf(srv.name), Since: srv.since}
}

// startServer starts a new instance of a server and opens its listeners.
func (f *fleet) startServer(srv *server) error {
	s, err := lab.NewServer(lab.PlatformWork(), f.s.Seed<<8+uint64(srv.index)+uint64(len(srv.instances))<<32)
	if err != nil {
		return err
	}
	s.SetObserver(func(e lab.Observation) {
		switch e.Kind {
		case lab.ServerSetup:
			f.serves.record(fleetcheck.ServerSetup, line{Process: srv.name, Peer: e.Peer, Call: e.Call})
		case lab.ServerAnswered:
			f.serves.record(fleetcheck.ServerEstablished, line{Process: srv.name, Call: e.Call, What: "stands " + e.Call})
		case lab.ServerReleased:
			f.serves.record(fleetcheck.ServerReleased, line{Process: srv.name, Call: e.Call})
		case lab.ServerCut:
			f.serves.record(fleetcheck.ServerLost, line{Process: srv.name, Call: e.Call})
		}
	})
	srv.mu.Lock()
	srv.s, srv.instances, srv.stopStatus = s, append(srv.instances, s), s.StartStatusReports(statusInterval)
	srv.mu.Unlock()
	return f.listenForGatekeepers(srv)
}

// listenForGatekeepers opens one listener of a server per gatekeeper, so that the server can identify the gatekeeper of a
// connection, as it would by the source address on separate machines.
func (f *fleet) listenForGatekeepers(srv *server) error {
	for _, g := range f.gatekeepers {
		addr, err := srv.s.ListenFor(g.name)
		if err != nil {
			return err
		}
		f.net.Up(srv.name, g.name, addr)
	}
	return nil
}

// stopServers closes all servers.
func (f *fleet) stopServers() {
	for _, srv := range f.servers {
		srv.mu.Lock()
		srv.stopStatus()
		srv.s.Close()
		for _, s := range srv.vanished {
			s.Close()
		}
		srv.mu.Unlock()
	}
}
