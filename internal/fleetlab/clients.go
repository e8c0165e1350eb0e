package fleetlab

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
)

// Parameters of faults by clients and signals.
const (
	crowdSize      = 200                    // connections of a crowd to one gatekeeper
	hangUpInterval = 120 * time.Millisecond // between two SIGHUPs in a row
	hangUps        = 3                      // SIGHUPs in a row
)

// selectedGatekeepers returns the gatekeepers that a selector matches.
func (f *fleet) selectedGatekeepers(selector string) (selected []*gatekeeper) {
	names := f.selected(selector)
	for _, g := range f.gatekeepers {
		if slices.Contains(names, g.name) {
			selected = append(selected, g)
		}
	}
	return selected
}

// crowd opens many connections to gatekeepers at once, bypassing the relay. Half of them send nothing, the others the beginning of a
// message; none ever sends a whole one.
func (f *fleet) crowd(fault script.Fault) func(context.Context) {
	var mu sync.Mutex
	var conns []net.Conn
	var dialing sync.WaitGroup
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fleetcheck.MalformedClientAddress)}}
	for _, g := range f.selectedGatekeepers(fault.Target) {
		f.mu.Lock()
		addr := g.listen
		f.mu.Unlock()
		for i := range crowdSize {
			dialing.Go(func() {
				c, err := dialer.Dial("tcp", addr)
				if err != nil {
					return
				}
				if i%2 == 0 {
					io.WriteString(c, `{"msg":"open","sid":"`)
				}
				mu.Lock()
				defer mu.Unlock()
				conns = append(conns, c)
			})
		}
	}
	return func(context.Context) {
		dialing.Wait()
		for _, c := range conns {
			c.Close()
		}
	}
}

// signalSeries sends further signals to a gatekeeper that is shutting down. They must change nothing.
func signalSeries(proc *process) {
	for _, further := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		time.Sleep(hangUpInterval)
		if proc.hasExited() {
			return
		}
		proc.signal(further)
	}
}

// hangUp sends SIGHUP to gatekeepers several times in a row.
func (f *fleet) hangUp(fault script.Fault) func(context.Context) {
	var sending sync.WaitGroup
	for _, g := range f.selectedGatekeepers(fault.Target) {
		f.mu.Lock()
		proc := g.proc
		f.mu.Unlock()
		if proc == nil {
			continue
		}
		sending.Go(func() {
			for range hangUps {
				if proc.hasExited() {
					return
				}
				proc.signal(syscall.SIGHUP)
				time.Sleep(hangUpInterval)
			}
		})
	}
	return func(context.Context) { sending.Wait() }
}
