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

// view is a gatekeeper's view of the fleet, as served at its operators' address.
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

// ejectedServers returns the ids of the servers that get no set-ups because of verdicts, separated by spaces.
func (v *view) ejectedServers() string {
	var ids []string
	for _, s := range v.Verdicts.Servers {
		if s.Phase == "out" {
			ids = append(ids, strconv.FormatUint(uint64(s.Server), 10))
		}
	}
	return strings.Join(ids, " ")
}

// rates returns the members whose call rates the view counts (separated by spaces), the sum of the rates in calls per second,
// and the age of the oldest in microseconds.
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

// liveMembers returns the names of the alive and suspected members, sorted and separated by spaces.
func (v *view) liveMembers() string {
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

// fetchView fetches the view of a gatekeeper; it returns nil if the gatekeeper does not answer.
func (f *fleet) fetchView(ctx context.Context, g *gatekeeper) *view {
	f.mu.Lock()
	addr := g.adminAddr
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

// watchView periodically records a gatekeeper's view, its verdicts, its gossip traffic and its call rates.
func (f *fleet) watchView(ctx context.Context, g *gatekeeper) {
	tick := time.NewTicker(viewInterval)
	defer tick.Stop()
	for {
		if v := f.fetchView(ctx, g); v != nil {
			f.mu.Lock()
			proc := g.proc
			f.mu.Unlock()
			proc.samplePeakMemory()
			f.runs.record(fleetcheck.ViewRead, line{Process: g.name, What: v.Hash, Peer: v.liveMembers(), Class: fmt.Sprintf("%d %d", v.Packets, v.Bytes)})
			if v.Verdicts != nil {
				var numbers []string
				for _, n := range v.Verdicts.Numbers {
					numbers = append(numbers, n.Number)
				}
				var callers []string
				for _, c := range v.Verdicts.Callers {
					callers = append(callers, c.Address)
				}
				f.runs.record(fleetcheck.VerdictsRead, line{Process: g.name, Peer: v.ejectedServers(), Class: strings.Join(numbers, " "), Call: strings.Join(callers, " "), What: strings.Join(v.Verdicts.Apart, " ")})
			}
			origins, arrived, oldest := v.rates()
			f.runs.record(fleetcheck.RateRead, line{Process: g.name, Peer: origins, Value: arrived, Span: oldest})
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// awaitAgreement returns when all views are identical and contain every gatekeeper.
func (f *fleet) awaitAgreement(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	began := time.Now()
	tick := time.NewTicker(viewInterval / 4)
	defer tick.Stop()
	for {
		hashes := map[string]bool{}
		for _, g := range f.gatekeepers {
			v := f.fetchView(ctx, g)
			if v == nil || strings.Count(v.liveMembers(), " ") != len(f.gatekeepers)-1 {
				hashes["not all"], hashes["yet"] = true, true
				break
			}
			hashes[v.Hash] = true
		}
		if len(hashes) == 1 {
			f.agreedAfter = time.Since(began)
			f.reportProgress(fmt.Sprintf("all fleet views agree %d ms after all gatekeepers were ready", f.agreedAfter.Milliseconds()))
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fleet views do not agree: %w", ctx.Err())
		case <-tick.C:
		}
	}
}
