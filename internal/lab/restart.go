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

// Restart is a scenario in which all gatekeepers stop at once, without draining, while a server is slow, and start again
// with the estimates they had stored (Warm) or without them.
type Restart struct {
	Seed uint64
	Warm bool
}

// RestartResult is the result for the calls that arrived in the first 5 seconds after the restart.
type RestartResult struct {
	Seed             uint64  `json:"seed"`
	Warm             bool    `json:"warm"`
	ServedShare      float64 `json:"worth_served"` // fraction of the offered worth
	Setups           int     `json:"setups"`       // set-ups that reached servers
	TurnedAway       int     `json:"turned_away"`  // set-ups that a full server rejected
	Wasted           int     `json:"wasted"`       // set-ups processed after they had been given up
	First            int     `json:"first_calls"`
	SecondsToServing float64 `json:"seconds_to_serving"` // of the slowest gatekeeper
}

const (
	slowdownAt         = 4 * time.Second // time at which the server slows down
	restartAt          = 12 * time.Second
	restartObservation = 5 * time.Second
)

// Run runs the scenario in real time and returns the results.
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
	load := newWorkload(Overload{Seed: o.Seed, Gatekeepers: gatekeepers, Servers: servers, Length: restartAt + restartObservation, SlowFrom: restartAt,
		SlowFor: restartObservation, Load: 0.8})
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
		return load.connect(i, n.Addr())
	}
	for i := range gatekeepers {
		load.conns = append(load.conns, &gatekeeperConn{})
		if err := start(i); err != nil {
			return nil, err
		}
	}
	defer func() {
		for i, n := range nodes {
			load.disconnect(i)
			n.Close()
		}
	}()
	a := &RestartResult{Seed: o.Seed, Warm: o.Warm}
	var before Outcome
	fault := make(chan error, 1)
	load.placeCalls(ctx, servers, []scheduledAction{
		{slowdownAt, func() { all[0].Slow(4) }},
		{restartAt, func() {
			for _, s := range all {
				s.count(&before, map[string]bool{})
			}
			for i := range nodes {
				load.disconnect(i)
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
	out := load.result(all)
	a.First, a.ServedShare = out.First, out.ServedInSlowSpan
	a.Setups, a.Wasted, a.TurnedAway = out.Setups-before.Setups, out.Wasted-before.Wasted, out.TurnedAway-before.TurnedAway
	return a, ctx.Err()
}
