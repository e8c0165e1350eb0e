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

// timeline does what the script says when it says so. Where the run ends early, all that is on is taken back.
func (f *fleet) timeline(ctx context.Context) {
	var on sync.WaitGroup
	defer on.Wait()
	for _, h := range f.s.Homes {
		on.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(f.began.Add(time.Duration(h.At)))):
				if h.At > 0 {
					f.runs.note(fleetcheck.DemandMoved, line{Process: h.To})
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
		case <-time.After(time.Until(f.began.Add(time.Duration(fault.At)))):
		}
		on.Go(func() { f.one(ctx, i, fault) })
	}
}

func faultName(place int, fault script.Fault) string {
	return fmt.Sprintf("%d %s", place+1, fault.Name())
}

// one does a fault, waits, and takes it back.
func (f *fleet) one(ctx context.Context, id int, fault script.Fault) {
	name := faultName(id, fault)
	f.tell(name)
	f.runs.note(fleetcheck.FaultBegan, line{What: name})
	undo := f.do(id, fault)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(fault.For)):
	}
	f.runs.note(fleetcheck.FaultEnded, line{What: name})
	f.tell("over: " + name)
	undo(ctx)
}

// do brings a fault about and gives what takes it back.
func (f *fleet) do(id int, fault script.Fault) (undo func(context.Context)) {
	switch fault.Kind {
	case "kill", "term", "pause":
		return f.processes(fault)
	case "lose", "slow", "drain", "hang", "ill", "engaged":
		return f.onServers(fault)
	case "lie":
		return f.lie(fault)
	case "rude":
		return f.rude(fault)
	case "reload":
		return f.reload(fault)
	}
	return f.links(id, fault)
}

func (f *fleet) selected(selector string) []string {
	names, err := f.s.Select(selector)
	if err != nil { // a script that was read is sound; one that was made is not checked before
		f.fail(err)
	}
	return names
}

func (f *fleet) processes(fault script.Fault) func(context.Context) {
	var held []*gatekeeper
	for _, name := range f.selected(fault.Target) {
		for _, g := range f.gatekeepers {
			f.mu.Lock()
			p := g.p
			f.mu.Unlock()
			if g.name != name || p == nil || p.over() || fault.Kind != "pause" && p.wasAsked() {
				continue // another fault has it down
			}
			held = append(held, g)
			switch fault.Kind {
			case "kill":
				f.runs.note(fleetcheck.Stopped, line{Process: name, What: "SIGKILL"})
				p.signal(syscall.SIGKILL)
			case "term":
				f.runs.note(fleetcheck.StopRequested, line{Process: name, What: "SIGTERM"})
				p.signal(syscall.SIGTERM)
			case "pause":
				f.runs.note(fleetcheck.Paused, line{Process: name, What: "SIGSTOP"})
				p.signal(syscall.SIGSTOP)
			}
		}
	}
	return func(ctx context.Context) {
		var all sync.WaitGroup
		for _, g := range held {
			f.mu.Lock()
			p := g.p
			f.mu.Unlock()
			if fault.Kind == "pause" {
				p.signal(syscall.SIGCONT)
				f.runs.note(fleetcheck.Resumed, line{Process: g.name})
				continue
			}
			all.Go(func() { f.again(ctx, g, p, fault.State == "empty") })
		}
		all.Wait()
	}
}

// lie has gatekeepers tell of every server that it fails them, while a file of theirs is there (verdicts.LieFile).
func (f *fleet) lie(fault script.Fault) func(context.Context) {
	for _, name := range f.selected(fault.Target) {
		if err := os.WriteFile(f.file("state", name, lieFile), nil, 0o600); err != nil {
			f.fail(err)
		}
	}
	return func(context.Context) {
		for _, name := range f.selected(fault.Target) {
			os.Remove(f.file("state", name, lieFile))
		}
	}
}

const lieFile = "lie"

// rude opens connections to gatekeepers, past the relay, from an address of its own, and sends on each what can't be read.
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
			tick := time.NewTicker(rudeEvery)
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

const rudeEvery = 50 * time.Millisecond

// reload changes the limits in the files of gatekeepers by a factor and tells them to read these again.
func (f *fleet) reload(fault script.Fault) func(context.Context) {
	names := f.selected(fault.Target)
	set := func(factor float64) {
		limits := *f.s.Limits
		limits.PerS, limits.Burst = limits.PerS*factor, limits.Burst*factor
		f.runs.note(fleetcheck.LimitChanged, line{Process: strings.Join(names, " "), Value: limits.PerS, Class: fmt.Sprint(limits.Burst)})
		for _, g := range f.gatekeepers {
			if !slices.Contains(names, g.name) {
				continue
			}
			f.mu.Lock()
			g.limits = limits
			p := g.p
			f.mu.Unlock()
			if err := f.configure(g, f.file("state", g.name, "tmp"+strconv.Itoa(g.start))); err != nil {
				f.fail(err)
			} else if p != nil && !p.over() {
				p.signal(syscall.SIGHUP)
			}
		}
	}
	set(fault.Factor)
	return func(context.Context) { set(1) }
}

// again starts a gatekeeper that was ended, with the state that it had or without.
func (f *fleet) again(ctx context.Context, g *gatekeeper, p *process, empty bool) {
	select {
	case <-p.gone:
	case <-time.After(endWithin): // it has not ended on SIGTERM
		p.signal(syscall.SIGKILL)
		<-p.gone
	}
	if ctx.Err() != nil {
		return
	}
	if empty {
		if err := os.RemoveAll(f.file("state", g.name)); err != nil {
			f.fail(err)
			return
		}
	}
	if err := f.start(ctx, g); err != nil && ctx.Err() == nil {
		f.runs.note(fleetcheck.Crashed, line{Process: g.name, What: "started again: " + err.Error()})
	}
}

func (f *fleet) onServers(fault script.Fault) func(context.Context) {
	var held []*server
	for _, name := range f.selected(fault.Target) {
		for _, v := range f.servers {
			if v.name != name {
				continue
			}
			v.mu.Lock()
			switch {
			case fault.Kind == "slow":
				v.s.Slow(fault.Slow)
				held = append(held, v)
			case fault.Kind == "hang":
				v.s.SetHanging(true)
				held = append(held, v)
			case fault.Kind == "engaged":
				v.s.SetBusyNumber(fault.Number)
				f.engaged.Store(&fault)
				held = append(held, v)
			case fault.Kind == "ill":
				v.s.SetFailureRate(fault.Part)
				held = append(held, v)
			case v.state != "up": // another fault has it
			case fault.Kind == "lose":
				v.state = "lost"
				v.end()
				f.net.Down(v.name)
				v.s.Kill()
				held = append(held, v)
			case fault.Kind == "drain":
				v.state = "draining"
				f.bus.Change(f.host(v))
				held = append(held, v)
			}
			v.mu.Unlock()
		}
	}
	return func(context.Context) {
		for _, v := range held {
			switch fault.Kind {
			case "slow", "hang", "ill", "engaged":
				v.mu.Lock()
				switch fault.Kind {
				case "slow":
					v.s.Slow(1)
				case "engaged":
					v.s.SetBusyNumber("")
					f.engaged.Store(nil)
				case "hang":
					v.s.SetHanging(false)
				case "ill":
					v.s.SetFailureRate(0)
				}
				v.mu.Unlock()
			case "lose":
				if err := f.returnCold(v); err != nil {
					f.fail(err)
				}
			case "drain":
				v.mu.Lock()
				v.state = "up"
				f.bus.Change(f.host(v))
				v.mu.Unlock()
			}
		}
	}
}

// returnCold starts a server that was lost: it is cold, and the bus tells since when it runs.
func (f *fleet) returnCold(v *server) error {
	if err := f.startServer(v); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.s.StartCold(startCapacity, warmWithin)
	v.state, v.since = "up", time.Now()
	f.bus.Change(f.host(v))
	return nil
}

// links brings about a fault of the ways between processes. What is in force on a direction is made up of all faults that
// concern it: the strongest of each kind.
func (f *fleet) links(id int, fault script.Fault) func(context.Context) {
	from, to := f.selected(fault.From), f.selected(fault.To)
	var dirs [][2]string
	for _, a := range from {
		for _, b := range to {
			if a != b {
				dirs = append(dirs, [2]string{a, b})
				if fault.Kind == "partition" {
					dirs = append(dirs, [2]string{b, a})
				}
			}
		}
	}
	c := condition{id: id}
	doors := relay.Open
	switch fault.Kind {
	case "partition", "cut":
		c.Cut = true
	case "delay":
		c.Delay, c.Jitter = time.Duration(fault.Delay), time.Duration(fault.Jitter)
	case "bandwidth":
		c.BytesPerS = fault.Rate
	case "loss":
		c.Loss = fault.Part
	case "duplicate":
		c.Duplicate = fault.Part
	case "reorder":
		c.Reorder = fault.Part
	case "blackhole":
		doors = relay.BlackHole
	case "refuse":
		doors = relay.Refuse
	}
	f.trouble(dirs, 1)
	for _, d := range dirs {
		switch {
		case fault.Kind == "reset":
			f.net.Reset(d[0], d[1], int64(fault.Bytes))
		case doors != relay.Open:
			f.net.SetMode(d[0], d[1], doors)
		default:
			f.add(d, c)
		}
	}
	return func(context.Context) {
		for _, d := range dirs {
			switch {
			case fault.Kind == "reset":
				f.net.ClearReset(d[0], d[1])
			case doors != relay.Open:
				f.net.SetMode(d[0], d[1], relay.Open)
			default:
				f.remove(d, id)
			}
		}
		f.trouble(dirs, -1)
	}
}

// trouble counts the faults of directions and notes where trouble begins and ends.
func (f *fleet) trouble(dirs [][2]string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range dirs {
		f.troubled[d] += change
		switch {
		case change > 0 && f.troubled[d] == 1:
			f.runs.note(fleetcheck.LinkFaulty, line{Process: d[0], Peer: d[1]})
		case change < 0 && f.troubled[d] == 0:
			f.runs.note(fleetcheck.LinkHealed, line{Process: d[0], Peer: d[1]})
		}
	}
}

func (f *fleet) add(d [2]string, c condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions[d] = append(f.conditions[d], c)
	f.apply(d)
}

func (f *fleet) remove(d [2]string, id int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions[d] = slices.DeleteFunc(f.conditions[d], func(c condition) bool { return c.id == id })
	f.apply(d)
}

func (f *fleet) apply(d [2]string) {
	var all relay.Condition
	for _, c := range f.conditions[d] {
		all.Cut = all.Cut || c.Cut
		all.Delay, all.Jitter = max(all.Delay, c.Delay), max(all.Jitter, c.Jitter)
		all.Loss, all.Duplicate, all.Reorder = max(all.Loss, c.Loss), max(all.Duplicate, c.Duplicate), max(all.Reorder, c.Reorder)
		if c.BytesPerS > 0 && (all.BytesPerS == 0 || c.BytesPerS < all.BytesPerS) {
			all.BytesPerS = c.BytesPerS
		}
	}
	if err := f.net.SetCondition(d[0], d[1], all); err != nil && f.fault == nil {
		f.fault = fmt.Errorf("%s: %w", strings.Join(d[:], " to "), err)
	}
}
