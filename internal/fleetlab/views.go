package fleetlab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"beammux/internal/fleetcheck"
)

// view is a gatekeeper's view of the fleet as its operators' address tells it.
type view struct {
	Hash    string
	View    uint64
	Packets int64 `json:"packets_sent"`
	Bytes   int64 `json:"bytes_sent"`
	Members []struct{ Name, Health string }

	Registers []struct {
		Topic, Origin string
		Age           int64 `json:"age_us"`
	}
	Verdicts *struct {
		Servers []struct {
			Server uint32
			Phase  string
		}
		Numbers []struct{ Number string }
		Callers []struct{ Address string }
		Apart   []string
	}
	Calls struct {
		Classes map[string]struct{ Arrived float64 }
	}
}

// out gives the servers that verdicts keep set-ups away from altogether.
func (v *view) out() string {
	var ids []string
	for _, s := range v.Verdicts.Servers {
		if s.Phase == "out" {
			ids = append(ids, strconv.FormatUint(uint64(s.Server), 10))
		}
	}
	return strings.Join(ids, " ")
}

// rates gives whose rates of calls the view counts, what arrives a second by them, and how old the oldest is.
func (v *view) rates() (origins string, arrived float64, oldest int64) {
	var names []string
	for _, r := range v.Registers {
		if r.Topic == "rates" {
			names = append(names, r.Origin)
			oldest = max(oldest, r.Age)
		}
	}
	for _, c := range v.Calls.Classes {
		arrived += c.Arrived
	}
	return strings.Join(names, " "), arrived, oldest
}

// up lists the members that the view holds as alive or merely suspected.
func (v *view) up() string {
	var names []string
	for _, m := range v.Members {
		if m.Health == "alive" || m.Health == "suspect" {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

var viewClient = http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// viewOf asks a gatekeeper for its view; nil while it does not answer.
func (f *fleet) viewOf(ctx context.Context, g *gatekeeper) *view {
	f.mu.Lock()
	addr := g.ops
	f.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/api/fleet", nil)
	if err != nil {
		return nil
	}
	resp, err := viewClient.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	v := &view{}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(v) != nil {
		return nil
	}
	return v
}

// watchView notes a gatekeeper's view now and then, with what its gossip has sent so far.
func (f *fleet) watchView(ctx context.Context, g *gatekeeper) {
	tick := time.NewTicker(viewEvery)
	defer tick.Stop()
	for {
		if v := f.viewOf(ctx, g); v != nil {
			f.mu.Lock()
			p := g.p
			f.mu.Unlock()
			p.look()
			f.runs.note(fleetcheck.ViewRead, line{Process: g.name, What: v.Hash, Peer: v.up(), Class: fmt.Sprintf("%d %d", v.Packets, v.Bytes)})
			if v.Verdicts != nil {
				var numbers []string
				for _, n := range v.Verdicts.Numbers {
					numbers = append(numbers, n.Number)
				}
				var callers []string
				for _, c := range v.Verdicts.Callers {
					callers = append(callers, c.Address)
				}
				f.runs.note(fleetcheck.VerdictsRead, line{Process: g.name, Peer: v.out(), Class: strings.Join(numbers, " "), Call: strings.Join(callers, " "), What: strings.Join(v.Verdicts.Apart, " ")})
			}
			origins, arrived, oldest := v.rates()
			f.runs.note(fleetcheck.RateRead, line{Process: g.name, Peer: origins, Value: arrived, Span: oldest})
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// allAgree returns once all views are the same and hold every gatekeeper.
func (f *fleet) allAgree(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	began := time.Now()
	tick := time.NewTicker(viewEvery / 4)
	defer tick.Stop()
	for {
		hashes := map[string]bool{}
		for _, g := range f.gatekeepers {
			v := f.viewOf(ctx, g)
			if v == nil || strings.Count(v.up(), " ") != len(f.gatekeepers)-1 {
				hashes["not all"], hashes["yet"] = true, true
				break
			}
			hashes[v.Hash] = true
		}
		if len(hashes) == 1 {
			f.joined = time.Since(began)
			f.tell(fmt.Sprintf("all views agree %d ms after all were ready", f.joined.Milliseconds()))
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("views do not agree: %w", ctx.Err())
		case <-tick.C:
		}
	}
}
