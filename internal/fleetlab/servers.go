package fleetlab

import (
	"fmt"
	"sync"
	"time"

	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
	"beammux/internal/lab"
)

type server struct {
	name  string
	index int
	mu    sync.Mutex
	s     *lab.Server
	all   []*lab.Server
	since time.Time
	state string
	end   func() // of its status
}

// serve starts the stand-in servers and the bus.
func (f *fleet) serve() error {
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

func hostName(index int) string { return fmt.Sprintf("s-%08x", index+1) }

func (f *fleet) host(v *server) lab.Host {
	return lab.Host{Name: hostName(v.index), State: v.state, Cell: v.index, Zone: f.s.ZoneOf(v.name), Since: v.since}
}

func (f *fleet) startServer(v *server) error {
	s, err := lab.NewServer(lab.PlatformWork(), f.s.Seed<<8+uint64(v.index)+uint64(len(v.all))<<32)
	if err != nil {
		return err
	}
	s.SetObserver(func(e lab.Observation) {
		if e.Kind == lab.ServerAnswered {
			f.serves.note(fleetcheck.ServerEstablished, line{Process: v.name, Call: e.Call, What: "stands " + e.Call})
		}
	})
	v.mu.Lock()
	v.s, v.all, v.end = s, append(v.all, s), s.StartStatusReports(statusEvery)
	v.mu.Unlock()
	return f.open(v)
}

// open lets each gatekeeper's way to a server end at an address of its own there, so that the server knows whose a
// connection is, as by the machine that it comes from.
func (f *fleet) open(v *server) error {
	for _, g := range f.gatekeepers {
		addr, err := v.s.ListenFor(g.name)
		if err != nil {
			return err
		}
		f.net.Up(v.name, g.name, addr)
	}
	return nil
}

func (f *fleet) endServers() {
	for _, v := range f.servers {
		v.mu.Lock()
		v.end()
		v.s.Close()
		v.mu.Unlock()
	}
}
