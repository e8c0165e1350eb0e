package lab

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/config"
	"beammux/internal/node"
)

// Restart is a day on which every gatekeeper ends at once without a word while a server is slow, and starts again; with
// what it had learned, or without.
type Restart struct {
	Seed uint64
	Warm bool
}

// RestartResult is the service of the calls that came in the first 5 s after the restart.
type RestartResult struct {
	Seed             uint64  `json:"seed"`
	Warm             bool    `json:"warm"`
	ServedShare      float64 `json:"worth_served"` // part of that offered
	Setups           int     `json:"setups"`       // that reached servers
	TurnedAway       int     `json:"turned_away"`  // of them, by a server that was full
	Wasted           int     `json:"wasted"`       // worked on after they had been given up
	First            int     `json:"first_calls"`
	SecondsToServing float64 `json:"seconds_to_serving"` // the slowest gatekeeper
}

const (
	restartSlow = 4 * time.Second // when the server slows down
	restartAt   = 12 * time.Second
	restartLook = 5 * time.Second
)

// Run plays the day in real time.
func (o Restart) Run(ctx context.Context) (*RestartResult, error) {
	const gatekeepers, servers = 4, 3
	site, err := control.ParseSite(fmt.Sprintf(settings, gatekeepers))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab-restart-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	d := newDay(Overload{Seed: o.Seed, Gatekeepers: gatekeepers, Servers: servers, Length: restartAt + restartLook, SlowFrom: restartAt,
		SlowFor: restartLook, Load: 0.8})
	list := "name,address,cell\n"
	var all []*Server
	for i := range servers {
		s, err := NewServer(work, o.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		defer s.Close()
		all = append(all, s)
		list += fmt.Sprintf("s-%08x,%s,%d\n", i+1, s.Addr(), i)
	}
	inventory := filepath.Join(dir, "servers.csv")
	if err := os.WriteFile(inventory, []byte(list), 0o600); err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	nodes := make([]*node.Node, gatekeepers)
	start := func(i int) error {
		deploy := &config.Deploy{Inventory: inventory}
		if o.Warm {
			deploy.StoreDir = filepath.Join(dir, strconv.Itoa(i))
		}
		n, err := node.Start(ctx, &config.Config{Name: nodeName(i), Listen: "127.0.0.1:0", Seed: o.Seed*100 + uint64(i), Sockets: 512, Site: site}, deploy, log)
		if err != nil {
			return err
		}
		nodes[i] = n
		return d.connect(i, n.Addr())
	}
	for i := range gatekeepers {
		d.conns = append(d.conns, &callers{})
		if err := start(i); err != nil {
			return nil, err
		}
	}
	defer func() {
		for i, n := range nodes {
			d.hangUp(i)
			n.Close()
		}
	}()
	a := &RestartResult{Seed: o.Seed, Warm: o.Warm}
	var before Outcome
	fault := make(chan error, 1)
	d.play(ctx, servers, []happening{
		{restartSlow, func() { all[0].Slow(4) }},
		{restartAt, func() {
			for _, s := range all {
				s.count(&before, map[string]bool{})
			}
			for i := range nodes {
				d.hangUp(i)
				nodes[i].Close()
				began := time.Now()
				if err := start(i); err != nil {
					select {
					case fault <- err:
					default:
					}
					return
				}
				a.SecondsToServing = max(a.SecondsToServing, time.Since(began).Seconds())
			}
		}},
	})
	select {
	case err := <-fault:
		return nil, err
	default:
	}
	out := d.result(all)
	a.First, a.ServedShare = out.First, out.ServedInSlowSpan
	a.Setups, a.Wasted, a.TurnedAway = out.Setups-before.Setups, out.Wasted-before.Wasted, out.TurnedAway-before.TurnedAway
	return a, ctx.Err()
}
