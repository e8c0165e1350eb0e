package fleetlab

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
	"beammux/internal/relay"
)

// runFaults injects the faults of the script at their times and records changes of the home gatekeepers. If the context is
// cancelled, active faults are undone. It returns when all faults have ended.
func (f *fleet) runFaults(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for _, h := range f.s.Homes {
		running.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(f.startedAt.Add(time.Duration(h.At)))):
				if h.At > 0 {
					f.runs.record(fleetcheck.DemandMoved, line{Process: h.To})
				}
			}
		})
	}
	faults := slices.Clone(f.s.Faults)
	slices.SortStableFunc(faults, func(a, b script.Fault) int { return int(a.At - b.At) })
	for i, fault := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(f.startedAt.Add(time.Duration(fault.At)))):
		}
		running.Go(func() { f.runFault(ctx, i, fault) })
	}
}

// faultName returns the name of a fault in events and reports: its number in the script, from 1, and its description.
func faultName(index int, fault script.Fault) string {
	return fmt.Sprintf("%d %s", index+1, fault.Name())
}

// runFault injects a fault, waits for its duration, and undoes it.
func (f *fleet) runFault(ctx context.Context, id int, fault script.Fault) {
	name := faultName(id, fault)
	f.reportProgress(name)
	f.runs.record(fleetcheck.FaultBegan, line{What: name})
	undo := f.inject(id, fault)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(fault.For)):
	}
	f.runs.record(fleetcheck.FaultEnded, line{What: name})
	f.reportProgress("ended: " + name)
	undo(ctx)
}

// inject causes a fault and returns the function that undoes it.
func (f *fleet) inject(id int, fault script.Fault) (undo func(context.Context)) {
	switch fault.Kind {
	case "kill", "term", "pause":
		return f.signalProcesses(fault)
	case "evacuate":
		return f.evacuate(fault)
	case "lose", "slow", "drain", "hang", "ill", "spoil", "engaged":
		return f.disturbServers(fault)
	case "vanish":
		return f.vanish(fault)
	case "replace":
		return f.replace(fault)
	case "remove":
		return f.remove(fault)
	case "lie":
		return f.lie(fault)
	case "rude":
		return f.rude(fault)
	case "crowd":
		return f.crowd(fault)
	case "hup":
		return f.hangUp(fault)
	case "reload":
		return f.reload(fault)
	}
	return f.disturbLinks(id, fault)
}

// selected returns the processes that a selector matches; a bad selector fails the run.
func (f *fleet) selected(selector string) []string {
	names, err := f.s.Select(selector)
	if err != nil { // a parsed script has only valid selectors; one built in code is checked only here
		f.fail(err)
	}
	return names
}

// signalProcesses kills, terminates or pauses gatekeepers; undo restarts or resumes them.
func (f *fleet) signalProcesses(fault script.Fault) func(context.Context) {
	var affected []*gatekeeper
	for _, name := range f.selected(fault.Target) {
		for _, g := range f.gatekeepers {
			f.mu.Lock()
			proc := g.proc
			f.mu.Unlock()
			if g.name != name || proc == nil || proc.hasExited() || fault.Kind != "pause" && proc.wasStopped() {
				continue // another fault has already stopped it
			}
			affected = append(affected, g)
			switch fault.Kind {
			case "kill":
				f.runs.record(fleetcheck.Stopped, line{Process: name, What: "SIGKILL"})
				proc.signal(syscall.SIGKILL)
			case "term":
				f.runs.record(fleetcheck.StopRequested, line{Process: name, What: "SIGTERM"})
				proc.signal(syscall.SIGTERM)
				if fault.Series {
					go signalSeries(proc)
				}
				if fault.KillAfter > 0 {
					time.AfterFunc(time.Duration(fault.KillAfter), func() { f.killLate(proc) })
				}
			case "pause":
				f.runs.record(fleetcheck.Paused, line{Process: name, What: "SIGSTOP"})
				proc.signal(syscall.SIGSTOP)
			}
		}
	}
	return func(ctx context.Context) {
		var all sync.WaitGroup
		for _, g := range affected {
			f.mu.Lock()
			proc := g.proc
			f.mu.Unlock()
			if fault.Kind == "pause" {
				proc.signal(syscall.SIGCONT)
				f.runs.record(fleetcheck.Resumed, line{Process: g.name})
				continue
			}
			all.Go(func() { f.restart(ctx, g, proc, fault.State == "empty") })
		}
		all.Wait()
	}
}

// killLate kills a gatekeeper that has not ended some time after SIGTERM, as the platform does.
func (f *fleet) killLate(proc *process) {
	if !proc.hasExited() {
		f.runs.record(fleetcheck.Stopped, line{Process: proc.name, What: "SIGKILL after SIGTERM"})
		proc.signal(syscall.SIGKILL)
	}
}

// lie makes gatekeepers report failures of every server as long as their file falseEvidenceFile exists
// (ejection.FalseEvidenceVariable).
func (f *fleet) lie(fault script.Fault) func(context.Context) {
	for _, name := range f.selected(fault.Target) {
		if err := os.WriteFile(f.path("state", name, falseEvidenceFile), nil, 0o600); err != nil {
			f.fail(err)
		}
	}
	return func(context.Context) {
		for _, name := range f.selected(fault.Target) {
			os.Remove(f.path("state", name, falseEvidenceFile))
		}
	}
}

// falseEvidenceFile is the name of the file in a gatekeeper's state folder that makes it report false evidence.
const falseEvidenceFile = "lie"

// rude repeatedly connects to gatekeepers from fleetcheck.MalformedClientAddress, bypassing the relay, and sends a malformed message on
// each connection.
func (f *fleet) rude(fault script.Fault) func(context.Context) {
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	names := f.selected(fault.Target)
	for _, g := range f.gatekeepers {
		if !slices.Contains(names, g.name) {
			continue
		}
		done.Go(func() {
			d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fleetcheck.MalformedClientAddress)}}
			tick := time.NewTicker(rudeInterval)
			defer tick.Stop()
			for {
				f.mu.Lock()
				addr := g.listen
				f.mu.Unlock()
				if c, err := d.DialContext(ctx, "tcp", addr); err == nil {
					c.Write([]byte("no message\n"))
					c.SetReadDeadline(time.Now().Add(time.Second))
					io.Copy(io.Discard, c)
					c.Close()
				}
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
			}
		})
	}
	return func(context.Context) {
		stop()
		done.Wait()
	}
}

const rudeInterval = 50 * time.Millisecond // between malformed messages to one gatekeeper

// reload multiplies the limits in the files of gatekeepers by a factor and makes them reload the files with SIGHUP.
func (f *fleet) reload(fault script.Fault) func(context.Context) {
	names := f.selected(fault.Target)
	scaleLimits := func(factor float64) {
		limits := *f.s.Limits
		limits.PerS, limits.Burst = limits.PerS*factor, limits.Burst*factor
		f.runs.record(fleetcheck.LimitChanged, line{Process: strings.Join(names, " "), Value: limits.PerS, Class: fmt.Sprint(limits.Burst)})
		for _, g := range f.gatekeepers {
			if !slices.Contains(names, g.name) {
				continue
			}
			f.mu.Lock()
			g.limits = limits
			proc := g.proc
			f.mu.Unlock()
			if err := f.configure(g, f.path("state", g.name, "tmp"+strconv.Itoa(g.start))); err != nil {
				f.fail(err)
			} else if proc != nil && !proc.hasExited() {
				proc.signal(syscall.SIGHUP)
			}
		}
	}
	scaleLimits(fault.Factor)
	return func(context.Context) { scaleLimits(1) }
}

// restart starts a stopped gatekeeper again, with its stored state or, if empty is set, without.
func (f *fleet) restart(ctx context.Context, g *gatekeeper, proc *process, empty bool) {
	select {
	case <-proc.exited:
	case <-time.After(stopTimeout): // it did not exit on SIGTERM
		proc.signal(syscall.SIGKILL)
		<-proc.exited
	}
	if ctx.Err() != nil {
		return
	}
	if empty {
		if err := os.RemoveAll(f.path("state", g.name)); err != nil {
			f.fail(err)
			return
		}
	}
	if err := f.start(ctx, g); err != nil && ctx.Err() == nil && !f.stoppedByFault(g) {
		f.runs.record(fleetcheck.Crashed, line{Process: g.name, What: "started again: " + err.Error()})
	}
}

// stoppedByFault reports whether another fault has stopped the last process of a gatekeeper.
func (f *fleet) stoppedByFault(g *gatekeeper) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return g.proc != nil && g.proc.wasStopped()
}

// disturbServers injects a fault of servers.
func (f *fleet) disturbServers(fault script.Fault) func(context.Context) {
	var affected []*server
	for _, name := range f.selected(fault.Target) {
		for _, srv := range f.servers {
			if srv.name != name {
				continue
			}
			srv.mu.Lock()
			switch {
			case fault.Kind == "slow":
				srv.s.Slow(fault.Slow)
				affected = append(affected, srv)
			case fault.Kind == "hang":
				srv.s.SetHanging(true)
				affected = append(affected, srv)
			case fault.Kind == "engaged":
				srv.s.SetBusyNumber(fault.Number)
				f.engaged.Store(&fault)
				affected = append(affected, srv)
			case fault.Kind == "ill":
				srv.s.SetFailureRate(fault.Part)
				affected = append(affected, srv)
			case fault.Kind == "spoil":
				srv.s.SetSpoiledShare(fault.Part)
				affected = append(affected, srv)
			case srv.state != "up": // another fault affects it already
			case fault.Kind == "lose":
				srv.state = stateLost
				srv.stopStatus()
				f.net.Down(srv.name)
				srv.s.Kill()
				affected = append(affected, srv)
			case fault.Kind == "drain":
				srv.state = "draining"
				f.publish(srv)
				affected = append(affected, srv)
			}
			srv.mu.Unlock()
		}
	}
	return func(context.Context) {
		for _, srv := range affected {
			switch fault.Kind {
			case "slow", "hang", "ill", "spoil", "engaged":
				srv.mu.Lock()
				switch fault.Kind {
				case "spoil":
					srv.s.SetSpoiledShare(0)
				case "slow":
					srv.s.Slow(1)
				case "engaged":
					srv.s.SetBusyNumber("")
					f.engaged.Store(nil)
				case "hang":
					srv.s.SetHanging(false)
				case "ill":
					srv.s.SetFailureRate(0)
				}
				srv.mu.Unlock()
			case "lose":
				if err := f.restartCold(srv); err != nil {
					f.fail(err)
				}
			case "drain":
				srv.mu.Lock()
				srv.state = "up"
				f.publish(srv)
				srv.mu.Unlock()
			}
		}
	}
}

// publish publishes the state of a server on the event bus. The caller holds srv.mu.
func (f *fleet) publish(srv *server) {
	host := f.host(srv)
	f.runs.record(fleetcheck.Listed, line{Process: srv.name, What: host.State})
	f.bus.Change(host)
}

// restartCold starts a lost server again: it is cold, and the bus publishes its new start time.
func (f *fleet) restartCold(srv *server) error {
	if err := f.startServer(srv); err != nil {
		return err
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.s.StartCold(startCapacity, warmUpTime)
	srv.state, srv.since = "up", time.Now()
	f.publish(srv)
	return nil
}

// disturbLinks injects a fault of the links between processes. If several faults affect a direction, the strongest of each
// kind applies.
func (f *fleet) disturbLinks(id int, fault script.Fault) func(context.Context) {
	from, to := f.selected(fault.From), f.selected(fault.To)
	var directions [][2]string
	for _, a := range from {
		for _, b := range to {
			if a != b {
				directions = append(directions, [2]string{a, b})
				if fault.Kind == "partition" {
					directions = append(directions, [2]string{b, a})
				}
			}
		}
	}
	c := condition{id: id}
	door := relay.Open
	switch fault.Kind {
	case "partition", "cut":
		c.Cut = true
	case "delay":
		c.Delay, c.Jitter = time.Duration(fault.Delay), time.Duration(fault.Jitter)
	case "bandwidth":
		c.BytesPerS = fault.Rate
	case "pieces":
		c.PieceSize, c.PieceGap = fault.Bytes, time.Duration(fault.Delay)
	case "loss":
		c.Loss = fault.Part
	case "duplicate":
		c.Duplicate = fault.Part
	case "reorder":
		c.Reorder = fault.Part
	case "blackhole":
		door = relay.BlackHole
	case "refuse":
		door = relay.Refuse
	}
	f.adjustFaultCounts(directions, 1)
	for _, d := range directions {
		switch {
		case fault.Kind == "reset":
			f.net.Reset(d[0], d[1], int64(fault.Bytes))
		case door != relay.Open:
			f.net.SetMode(d[0], d[1], door)
		default:
			f.addCondition(d, c)
		}
	}
	return func(context.Context) {
		for _, d := range directions {
			switch {
			case fault.Kind == "reset":
				f.net.ClearReset(d[0], d[1])
			case door != relay.Open:
				f.net.SetMode(d[0], d[1], relay.Open)
			default:
				f.removeCondition(d, id)
			}
		}
		f.adjustFaultCounts(directions, -1)
	}
}

// adjustFaultCounts adds change to the number of active faults of each direction and records events when a direction gets its
// first fault and when its last one ends.
func (f *fleet) adjustFaultCounts(directions [][2]string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range directions {
		f.faultCounts[d] += change
		switch {
		case change > 0 && f.faultCounts[d] == 1:
			f.runs.record(fleetcheck.LinkFaulty, line{Process: d[0], Peer: d[1]})
		case change < 0 && f.faultCounts[d] == 0:
			f.runs.record(fleetcheck.LinkHealed, line{Process: d[0], Peer: d[1]})
		}
	}
}

// addCondition adds the condition of a fault to a direction.
func (f *fleet) addCondition(d [2]string, c condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions[d] = append(f.conditions[d], c)
	f.applyConditions(d)
}

// removeCondition removes the conditions of the fault with the given id from a direction.
func (f *fleet) removeCondition(d [2]string, id int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions[d] = slices.DeleteFunc(f.conditions[d], func(c condition) bool { return c.id == id })
	f.applyConditions(d)
}

// applyConditions sets the relay to the combination of all conditions of a direction. The caller holds f.mu.
func (f *fleet) applyConditions(d [2]string) {
	var combined relay.Condition
	for _, c := range f.conditions[d] {
		combined.Cut = combined.Cut || c.Cut
		combined.Delay, combined.Jitter = max(combined.Delay, c.Delay), max(combined.Jitter, c.Jitter)
		combined.Loss, combined.Duplicate, combined.Reorder = max(combined.Loss, c.Loss), max(combined.Duplicate, c.Duplicate), max(combined.Reorder, c.Reorder)
		if c.PieceSize > 0 && (combined.PieceSize == 0 || c.PieceSize < combined.PieceSize) {
			combined.PieceSize, combined.PieceGap = c.PieceSize, c.PieceGap
		}
		if c.BytesPerS > 0 && (combined.BytesPerS == 0 || c.BytesPerS < combined.BytesPerS) {
			combined.BytesPerS = c.BytesPerS
		}
	}
	if err := f.net.SetCondition(d[0], d[1], combined); err != nil && f.firstErr == nil {
		f.firstErr = fmt.Errorf("%s: %w", strings.Join(d[:], " to "), err)
	}
}
