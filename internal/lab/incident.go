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

// Incident is a bad half minute on loopback, drawn from a seed: more calls than usual, servers that run slower, one that
// is drained and replaced by a cold one, and gatekeepers that restart as planned. Each gatekeeper keeps records in Dir.
type Incident struct {
	Seed        uint64
	Gatekeepers int
	Length      time.Duration // 30 s if 0
	Dir         string
	Progress    func(what string) // told what happens, if not nil
}

const incidentServers = 3

// incident is one that is being played.
type incident struct {
	Incident
	*day
	site    *control.Site
	rng     *rand.Rand
	mu      sync.Mutex
	hosts   []labHost
	nodes   []*node.Node
	servers []*Server
	err     error
	busy    sync.WaitGroup
}

type labHost struct {
	name, addr, state string
	cell              int
	since             time.Time
}

// Simulate plays it in real time.
func (o Incident) Simulate(ctx context.Context) (*Outcome, error) {
	if o.Length == 0 {
		o.Length = 30 * time.Second
	}
	site, err := control.ParseSite(fmt.Sprintf(settings, o.Gatekeepers))
	if err != nil {
		return nil, err
	}
	i := &incident{Incident: o, site: site, rng: rand.New(rand.NewPCG(o.Seed, 3)), nodes: make([]*node.Node, o.Gatekeepers)}
	part := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*i.rng.Float64()) * float64(o.Length))
	}
	i.day = newDay(Overload{Seed: o.Seed, Gatekeepers: o.Gatekeepers, Servers: incidentServers, Length: o.Length,
		SlowFrom: part(0.2, 0.3), SlowFor: part(0.15, 0.25), Slow: 2 + 2*i.rng.Float64(), Load: 0.8, Burst: 1.3 + 0.3*i.rng.Float64()})
	defer i.close()
	for n := range incidentServers {
		if err := i.server(fmt.Sprintf("s-%08x", n+1), n, time.Time{}); err != nil {
			return nil, err
		}
	}
	for n := range o.Gatekeepers {
		i.conns = append(i.conns, &callers{})
		if err := i.start(n); err != nil {
			return nil, err
		}
	}
	slowed := i.rng.IntN(incidentServers)
	happenings := []happening{
		{i.SlowFrom, func() { i.tell("burst begins, a server runs slower"); i.servers[slowed].Slow(i.Slow) }},
		{i.SlowFrom + i.SlowFor, func() { i.tell("burst is over"); i.servers[slowed].Slow(1) }},
		{part(0.55, 0.65), func() { i.replace((slowed + 1) % incidentServers) }},
	}
	for _, n := range i.rng.Perm(o.Gatekeepers)[:max(1, o.Gatekeepers/3)] {
		at := part(0.35, 0.8)
		happenings = append(happenings, happening{at, func() { i.restart(n) }})
	}
	i.play(ctx, incidentServers, happenings)
	i.busy.Wait()
	for n := range i.nodes { // a planned end, so that the records end whole
		i.busy.Add(1)
		go func() {
			defer i.busy.Done()
			i.leave(n)
			i.nodes[n].Drain()
		}()
	}
	i.busy.Wait()
	out := i.result(i.servers)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.err != nil {
		return nil, i.err
	}
	return out, ctx.Err()
}

func (i *incident) tell(what string) {
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
		i.hangUp(n)
	}
	for _, s := range i.servers {
		s.Close()
	}
}

func (i *incident) server(name string, cell int, since time.Time) error {
	s, err := NewServer(work, i.Seed+uint64(len(i.servers)))
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.servers = append(i.servers, s)
	i.hosts = append(i.hosts, labHost{name, s.Addr(), "up", cell, since})
	return nil
}

// list is the inventory as it is now.
func (i *incident) list() []byte {
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

func (i *incident) start(n int) error {
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
	if err := g.ImportInventory("lab.csv", i.list()); err != nil {
		return err
	}
	return i.connect(n, g.Addr())
}

// restart ends a gatekeeper as planned and starts it again a little later.
func (i *incident) restart(n int) {
	i.busy.Add(1)
	defer i.busy.Done()
	i.tell(fmt.Sprintf("gatekeeper g%d restarts", n+1))
	conn := i.leave(n)
	i.nodes[n].Drain()
	if conn != nil {
		conn.Close()
	}
	time.Sleep(300 * time.Millisecond)
	if err := i.start(n); err != nil {
		i.fail(err)
	}
}

// replace drains a server and puts a cold one in its place. Gatekeepers hear of it late, one after another.
func (i *incident) replace(at int) {
	i.busy.Add(1)
	defer i.busy.Done()
	i.tell("a server is drained and replaced")
	i.change(func() { i.hosts[at].state = "draining" })
	time.Sleep(2 * time.Second)
	now := time.Now()
	if err := i.server(fmt.Sprintf("s-%08x", at+0x11), at, now); err != nil {
		i.fail(err)
		return
	}
	fresh := i.servers[len(i.servers)-1]
	fresh.StartCold(0.33, 5*time.Second)
	i.change(func() { i.hosts[at].state = "removed" })
}

// change changes the list and tells every gatekeeper that is up.
func (i *incident) change(f func()) {
	i.mu.Lock()
	f()
	i.mu.Unlock()
	text := i.list()
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
