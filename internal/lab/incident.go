package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/config"
	"beammux/internal/node"
)

// Incident is a randomized overload scenario on loopback, 30 seconds long by default and determined by its seed: a burst of
// calls, a slow server, a server that is drained and replaced by a cold one, and planned restarts of gatekeepers. Each
// gatekeeper writes records to Dir.
type Incident struct {
	Seed        uint64
	Gatekeepers int
	Length      time.Duration // 30 s if 0
	Dir         string
	Progress    func(what string) // receives a line for each step of the scenario, if not nil
}

const incidentServers = 3

// incident is the state of a running Incident.
type incident struct {
	Incident
	*workload
	site       *control.Site
	rng        *rand.Rand
	mu         sync.Mutex
	hosts      []inventoryHost
	nodes      []*node.Node
	servers    []*Server
	err        error
	background sync.WaitGroup
}

type inventoryHost struct {
	name, addr, state string
	cell              int
	since             time.Time
}

// Simulate runs the scenario in real time and returns the results.
func (o Incident) Simulate(ctx context.Context) (*Outcome, error) {
	if o.Length == 0 {
		o.Length = 30 * time.Second
	}
	site, err := control.ParseSite(fmt.Sprintf(settings, o.Gatekeepers))
	if err != nil {
		return nil, err
	}
	i := &incident{Incident: o, site: site, rng: rand.New(rand.NewPCG(o.Seed, 3)), nodes: make([]*node.Node, o.Gatekeepers)}
	fraction := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*i.rng.Float64()) * float64(o.Length))
	}
	i.workload = newWorkload(Overload{Seed: o.Seed, Gatekeepers: o.Gatekeepers, Servers: incidentServers, Length: o.Length,
		SlowFrom: fraction(0.2, 0.3), SlowFor: fraction(0.15, 0.25), Slow: 2 + 2*i.rng.Float64(), Load: 0.8, Burst: 1.3 + 0.3*i.rng.Float64()})
	defer i.close()
	for n := range incidentServers {
		if err := i.startServer(fmt.Sprintf("s-%08x", n+1), n, time.Time{}); err != nil {
			return nil, err
		}
	}
	for n := range o.Gatekeepers {
		i.conns = append(i.conns, &gatekeeperConn{})
		if err := i.startGatekeeper(n); err != nil {
			return nil, err
		}
	}
	slowed := i.rng.IntN(incidentServers)
	actions := []scheduledAction{
		{i.SlowFrom, func() { i.reportProgress("burst begins, one server slows down"); i.servers[slowed].Slow(i.Slow) }},
		{i.SlowFrom + i.SlowFor, func() { i.reportProgress("burst ends"); i.servers[slowed].Slow(1) }},
		{fraction(0.55, 0.65), func() { i.replace((slowed + 1) % incidentServers) }},
	}
	for _, n := range i.rng.Perm(o.Gatekeepers)[:max(1, o.Gatekeepers/3)] {
		at := fraction(0.35, 0.8)
		actions = append(actions, scheduledAction{at, func() { i.restart(n) }})
	}
	i.placeCalls(ctx, incidentServers, actions)
	i.background.Wait()
	for n := range i.nodes { // a planned shutdown, so that the records are complete
		i.background.Add(1)
		go func() {
			defer i.background.Done()
			i.detach(n)
			i.nodes[n].Drain()
		}()
	}
	i.background.Wait()
	outcome := i.result(i.servers)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.err != nil {
		return nil, i.err
	}
	return outcome, ctx.Err()
}

func (i *incident) reportProgress(what string) {
	if i.Progress != nil {
		i.Progress(what)
	}
}

func (i *incident) fail(err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.err == nil {
		i.err = err
	}
}

func (i *incident) close() {
	for n := range i.conns {
		i.disconnect(n)
	}
	for _, s := range i.servers {
		s.Close()
	}
}

func (i *incident) startServer(name string, cell int, since time.Time) error {
	s, err := NewServer(work, i.Seed+uint64(len(i.servers)))
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.servers = append(i.servers, s)
	i.hosts = append(i.hosts, inventoryHost{name, s.Addr(), "up", cell, since})
	return nil
}

// inventory returns the current inventory as CSV.
func (i *incident) inventory() []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	var b strings.Builder
	b.WriteString("name,address,cell,state,since_ms\n")
	for _, h := range i.hosts {
		since := "0"
		if !h.since.IsZero() {
			since = strconv.FormatInt(h.since.UnixMilli(), 10)
		}
		fmt.Fprintf(&b, "%s,%s,%d,%s,%s\n", h.name, h.addr, h.cell, h.state, since)
	}
	return []byte(b.String())
}

func (i *incident) startGatekeeper(n int) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := &config.Config{Name: "g" + strconv.Itoa(n+1), Listen: "127.0.0.1:0", Seed: i.Seed*100 + uint64(n), Sockets: 512, Site: i.site}
	g, err := node.Start(context.Background(), cfg, &config.Deploy{Records: &config.Records{Dir: i.Dir}}, log)
	if err != nil {
		return err
	}
	i.mu.Lock()
	i.nodes[n] = g
	i.mu.Unlock()
	if err := g.ImportInventory("lab.csv", i.inventory()); err != nil {
		return err
	}
	return i.connect(n, g.Addr())
}

// restart drains a gatekeeper and starts it again 300 ms later.
func (i *incident) restart(n int) {
	i.background.Add(1)
	defer i.background.Done()
	i.reportProgress(fmt.Sprintf("gatekeeper g%d restarts", n+1))
	conn := i.detach(n)
	i.nodes[n].Drain()
	if conn != nil {
		conn.Close()
	}
	time.Sleep(300 * time.Millisecond)
	if err := i.startGatekeeper(n); err != nil {
		i.fail(err)
	}
}

// replace drains a server and replaces it by a cold one. The gatekeepers learn of it with a delay, one after another.
func (i *incident) replace(index int) {
	i.background.Add(1)
	defer i.background.Done()
	i.reportProgress("a server is drained and replaced")
	i.changeInventory(func() { i.hosts[index].state = "draining" })
	time.Sleep(2 * time.Second)
	now := time.Now()
	if err := i.startServer(fmt.Sprintf("s-%08x", index+0x11), index, now); err != nil {
		i.fail(err)
		return
	}
	replacement := i.servers[len(i.servers)-1]
	replacement.StartCold(0.33, 5*time.Second)
	i.changeInventory(func() { i.hosts[index].state = "removed" })
}

// changeInventory calls update, which changes the hosts, and imports the new inventory into every gatekeeper.
func (i *incident) changeInventory(update func()) {
	i.mu.Lock()
	update()
	i.mu.Unlock()
	text := i.inventory()
	for n := range i.nodes {
		time.Sleep(20 * time.Millisecond)
		i.mu.Lock()
		g := i.nodes[n]
		i.mu.Unlock()
		if err := g.ImportInventory("lab.csv", text); err != nil {
			i.fail(err)
		}
	}
}
