package fleetlab

import (
	"strconv"
	"strings"

	"beammux/internal/fleetlab/script"
)

// link lays a relay on every way between two that talk.
func (f *fleet) link() error {
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
		for _, v := range f.servers {
			if err := tcp(g.name, v.name, g.name); err != nil {
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
	for _, v := range f.servers {
		if err := f.open(v); err != nil {
			return err
		}
	}
	return nil
}

// dials gives the address at which a gatekeeper reaches a server by its name on the list.
func (f *fleet) dials(from string) func(string) string {
	return func(host string) string {
		n, _ := strconv.ParseUint(strings.TrimPrefix(host, "s-"), 16, 32)
		return f.addr[[3]string{from, script.Server(int(n) - 1), from}]
	}
}
