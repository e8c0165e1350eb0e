package fleetlab

import (
	"context"
	"time"

	"beammux/internal/fleetlab/script"
	"beammux/internal/relay"
)

// Server states on the event bus, besides up and draining. A vanished server is still listed as up.
const (
	stateRemoved = "removed"
	stateLost    = "lost"
)

// upServers returns the selected servers that no other fault affects, in the given new state.
func (f *fleet) upServers(selector, state string) (affected []*server) {
	for _, name := range f.selected(selector) {
		for _, srv := range f.servers {
			srv.mu.Lock()
			if srv.name == name && srv.state == "up" {
				srv.state = state
				affected = append(affected, srv)
			}
			srv.mu.Unlock()
		}
	}
	return affected
}

// vanish makes the machines of servers vanish: nothing is said, and open connections stay open. The list may name them as removed
// later. Undo starts new instances under their names.
func (f *fleet) vanish(fault script.Fault) func(context.Context) {
	mode := relay.Lost
	if fault.How == script.ProcessHung {
		mode = relay.BlackHole
	}
	affected := f.upServers(fault.Target, stateLost)
	for _, srv := range affected {
		srv.mu.Lock()
		srv.stopStatus()
		f.setServerMode(srv, mode)
		srv.s.Vanish()
		srv.mu.Unlock()
		if fault.Removed > 0 {
			time.AfterFunc(time.Duration(fault.Removed), func() { f.publishAs(srv, stateRemoved) })
		}
	}
	return func(context.Context) {
		for _, srv := range affected {
			srv.mu.Lock()
			srv.s.Close()
			f.net.Down(srv.name)
			f.setServerMode(srv, relay.Open)
			srv.mu.Unlock()
			if err := f.restartCold(srv); err != nil {
				f.fail(err)
			}
		}
	}
}

// setServerMode sets how the links from all gatekeepers to a server treat connections.
func (f *fleet) setServerMode(srv *server, mode relay.Mode) {
	for _, g := range f.gatekeepers {
		f.net.SetMode(g.name, srv.name, mode)
	}
}

// publishAs publishes a state of a server that is not up.
func (f *fleet) publishAs(srv *server, state string) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.state != "up" {
		srv.state = state
		f.publish(srv)
	}
}

// remove takes servers that run out of the list. Undo replaces them by new instances under their names.
func (f *fleet) remove(fault script.Fault) func(context.Context) {
	affected := f.upServers(fault.Target, stateRemoved)
	for _, srv := range affected {
		f.publishAs(srv, stateRemoved)
	}
	return func(context.Context) {
		for _, srv := range affected {
			srv.mu.Lock()
			srv.stopStatus()
			f.net.Down(srv.name)
			srv.s.Kill()
			srv.mu.Unlock()
			if err := f.restartCold(srv); err != nil {
				f.fail(err)
			}
		}
	}
}

// maxGenerations bounds the machines that one after another have the address of one server.
const maxGenerations = 64

// replace makes the machines of servers vanish, as vanish does. Undo starts another server at the address of each, under a host name of its
// own, and the list names it some time later. The first stays on the list, or is removed from it at some time.
func (f *fleet) replace(fault script.Fault) func(context.Context) {
	affected := f.upServers(fault.Target, stateLost)
	for _, srv := range affected {
		srv.mu.Lock()
		srv.stopStatus()
		f.setServerMode(srv, relay.Lost)
		srv.s.Vanish()
		first := f.host(srv)
		srv.mu.Unlock()
		if fault.Removed > 0 {
			first.State = stateRemoved
			time.AfterFunc(time.Duration(fault.Removed), func() { f.bus.Change(first) })
		}
	}
	return func(context.Context) {
		for _, srv := range affected {
			if err := f.startReplacement(srv, time.Duration(fault.Listed)); err != nil {
				f.fail(err)
			}
		}
	}
}

// startReplacement starts another server at the address of one that has vanished, whose connections stay open and silent.
func (f *fleet) startReplacement(srv *server, listedAfter time.Duration) error {
	srv.mu.Lock()
	vanished := srv.s
	srv.mu.Unlock()
	if err := f.startServer(srv); err != nil {
		return err
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.vanished = append(srv.vanished, vanished)
	srv.s.StartCold(startCapacity, warmUpTime)
	srv.generation++
	srv.since = time.Now()
	f.setServerMode(srv, relay.Open)
	time.AfterFunc(listedAfter, func() {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		srv.state = "up"
		f.publish(srv)
	})
	return nil
}
