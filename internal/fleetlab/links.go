package fleetlab

import (
	"strconv"
	"strings"

	"beammux/internal/fleetlab/script"
)

// openLinks creates the gatekeepers and opens a relay link for each connection between processes.
func (f *fleet) openLinks() error {
	tcp := func(from, to, service string) error {
		l, err := f.net.TCP(from, to, service)
		if err == nil {
			f.addr[[3]string{from, to, service}] = l.Addr()
		}
		return err
	}
	for i := range f.s.Gatekeepers {
		g := &gatekeeper{name: script.Gatekeeper(i), index: i}
		if f.s.Limits != nil {
			g.limits = *f.s.Limits
		}
		f.gatekeepers = append(f.gatekeepers, g)
		for _, srv := range f.servers {
			if err := tcp(g.name, srv.name, g.name); err != nil {
				return err
			}
		}
		if err := tcp(script.Front+f.s.ZoneOf(g.name), g.name, ""); err != nil {
			return err
		}
		if err := tcp(g.name, script.Bus, g.name); err != nil {
			return err
		}
		bus, err := f.bus.Listen(f.dials(g.name))
		if err != nil {
			return err
		}
		f.net.Up(script.Bus, g.name, bus)
		for k := range f.s.Members {
			if k != i && (i < f.s.Members || f.leased()) {
				if err := tcp(g.name, script.Gatekeeper(k), storeService); err != nil {
					return err
				}
			}
		}
		for k := range f.s.Gatekeepers {
			if to := script.Gatekeeper(k); f.s.Fleet && k != i {
				l, _, err := f.net.TCPAndUDP(g.name, to, fleetService)
				if err != nil {
					return err
				}
				f.addr[[3]string{g.name, to, fleetService}] = l.Addr()
			}
		}
	}
	for _, srv := range f.servers {
		if err := f.listenForGatekeepers(srv); err != nil {
			return err
		}
	}
	return nil
}

// dials returns a function that maps the host name of a server to the relay address at which the gatekeeper from dials it.
func (f *fleet) dials(from string) func(string) string {
	return func(host string) string {
		n, _ := strconv.ParseUint(strings.TrimPrefix(host, "s-"), 16, 32)
		return f.addr[[3]string{from, script.Server(hostIndex(uint32(n))), from}]
	}
}
