package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"beammux/control"
	"beammux/internal/follow"
)

type fleetCmd struct {
	Members fleetMembersCmd `cmd:"" help:"List the members that a gatekeeper knows; exit 5 if it does not answer, 4 if its fleet is off."`
	View    fleetViewCmd    `cmd:"" help:"Show how a gatekeeper's members see the menu servers, and the hash of its view."`
}

// fleetFlags are the flags of commands that query a gatekeeper for its view of the fleet.
type fleetFlags struct {
	Admin   string        `help:"Operators' HTTP address of a gatekeeper, HOST:PORT." required:""`
	JSON    bool          `help:"Print JSON."`
	Timeout time.Duration `help:"How long to wait for the answer." default:"2s"`
}

// fleetStatus holds the printed parts of the answer to GET /api/fleet.
type fleetStatus struct {
	Name    string `json:"name"`
	View    uint64 `json:"view"`
	Hash    string `json:"hash"`
	Members []struct {
		Name, Zone, Region, Program, State, Health, Address string
		Start                                               int64          `json:"start_ms"`
		Since                                               control.Micros `json:"since_us"`
		ToldAt                                              control.Micros `json:"servers_at_us"`
		Servers                                             []struct {
			Server uint32
			Level  int
			Age    control.Micros `json:"age_us"`
		}
	}
	Registers []struct {
		Topic, Origin string
		Age           control.Micros `json:"age_us"`
		Bytes         int
	}
	Verdicts *struct {
		Servers []struct {
			Server    uint32
			Phase     string
			Left      control.Micros `json:"left_us"`
			Failed    float64
			Witnesses []string
			Reason    string
		}
		Numbers []struct {
			Number    string
			Left      control.Micros `json:"left_us"`
			Witnesses []string
		}
		Callers []struct {
			Address   string
			Left      control.Micros `json:"left_us"`
			Witnesses []string
		}
		Apart  []string
		Advice string
	}
	Faults []struct {
		Kind, Last, Advice string
		Count              int64
	}
	Calls struct {
		Members int
		Classes map[string]struct{ Arrived, Established, Refused, Failed float64 }
	}
	Limits *struct {
		Rules []struct {
			Name, Mode     string
			PerS           float64 `json:"per_s"`
			Rate, Demand   float64
			Standing, Open int
			Slots          float64
			Turned         int64          `json:"turned_away"`
			Lease          control.Micros `json:"lease_left_us"`
		}
		Faults []struct{ What, Advice string }
	}
	Settings *follow.Status
}

// gossipEnabled reports whether the gatekeeper takes part in the fleet's gossip.
func (s *fleetStatus) gossipEnabled() bool { return s.Hash != "" }

// printShared prints the registers that the members exchange, their shared limits and their verdicts.
func (s *fleetStatus) printShared(w *tabwriter.Writer) {
	type topic struct {
		origins int
		oldest  control.Micros
		bytes   int
	}
	topics := map[string]*topic{}
	for _, r := range s.Registers {
		t := topics[r.Topic]
		if t == nil {
			t = &topic{}
			topics[r.Topic] = t
		}
		t.origins++
		t.oldest, t.bytes = max(t.oldest, r.Age), max(t.bytes, r.Bytes)
	}
	if len(topics) > 0 {
		fmt.Fprintln(w, "\ntopic\torigins\toldest\tlargest")
		for _, name := range slices.Sorted(maps.Keys(topics)) {
			t := topics[name]
			fmt.Fprintf(w, "%s\t%d\t%.1f s\t%d bytes\n", name, t.origins, float64(t.oldest)/1e6, t.bytes)
		}
	}
	if len(s.Calls.Classes) > 0 {
		fmt.Fprintf(w, "\ncalls a second, by %d members\tarrived\tstood\trefused\tfailed\n", s.Calls.Members)
		for _, name := range slices.Sorted(maps.Keys(s.Calls.Classes)) {
			c := s.Calls.Classes[name]
			fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\n", name, c.Arrived, c.Established, c.Refused, c.Failed)
		}
	}
	if s.Limits != nil && len(s.Limits.Rules)+len(s.Limits.Faults) > 0 {
		fmt.Fprintln(w, "\nlimit\tmode\tof the fleet\tmay spend\tdemand\tstanding\tslots\tturned away\tlease")
		for _, r := range s.Limits.Rules {
			fmt.Fprintf(w, "%s\t%s\t%g/s\t%.1f/s\t%.1f/s\t%d\t%.0f of %d\t%d\t%.1f s\n", r.Name, r.Mode, r.PerS, r.Rate, r.Demand,
				r.Standing, r.Slots, r.Open, r.Turned, float64(r.Lease)/1e6)
		}
		for _, f := range s.Limits.Faults {
			fmt.Fprintf(w, "\nlimits: %s\n  %s\n", f.What, f.Advice)
		}
	}
	if v := s.Verdicts; v != nil && len(v.Servers) > 0 {
		fmt.Fprintln(w, "\nverdict on\tphase\tfor\tfailed\twitnesses\treason")
		for _, x := range v.Servers {
			fmt.Fprintf(w, "s-%08x\t%s\t%.1f s\t%.0f%%\t%d\t%s\n", x.Server, x.Phase, float64(x.Left)/1e6, 100*x.Failed, len(x.Witnesses), x.Reason)
		}
	}
	if v := s.Verdicts; v != nil && len(v.Numbers) > 0 {
		fmt.Fprintln(w, "\nnumber with all lines busy\tfor\twitnesses")
		for _, x := range v.Numbers {
			fmt.Fprintf(w, "%q\t%.1f s\t%d\n", x.Number, float64(x.Left)/1e6, len(x.Witnesses))
		}
	}
	if v := s.Verdicts; v != nil && len(v.Callers) > 0 {
		fmt.Fprintln(w, "\ncaller turned away\tfor\twitnesses")
		for _, x := range v.Callers {
			fmt.Fprintf(w, "%s\t%.1f s\t%d\n", x.Address, float64(x.Left)/1e6, len(x.Witnesses))
		}
	}
	if v := s.Verdicts; v != nil && len(v.Apart) > 0 {
		fmt.Fprintf(w, "\napart: %s\n%s", strings.Join(v.Apart, " "), v.Advice)
	}
	for _, f := range s.Faults {
		fmt.Fprintf(w, "\n%d times %s: %s\n  %s\n", f.Count, f.Kind, f.Last, f.Advice)
	}
}

// exitFleetOff is the exit code for a gatekeeper whose fleet is off.
const exitFleetOff = 4

// fetchStatus fetches a gatekeeper's view of the fleet. It returns nil with an error, or after printing the view as JSON.
func (c fleetFlags) fetchStatus() (*fleetStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Admin+"/api/fleet", nil)
	if err != nil {
		return nil, fmt.Errorf("--admin: %q is not HOST:PORT", c.Admin)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, withExitCode(fmt.Errorf("%s does not answer: %w", c.Admin, errors.Unwrap(err)), exitNoAnswer)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	switch {
	case err != nil:
		return nil, withExitCode(fmt.Errorf("%s: %w", c.Admin, err), exitNoAnswer)
	case resp.StatusCode == http.StatusNotFound:
		return nil, withExitCode(fmt.Errorf("%s: %s", c.Admin, strings.TrimSpace(string(text))), exitFleetOff)
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s answered %s", c.Admin, resp.Status)
	}
	status := &fleetStatus{}
	if err := json.Unmarshal(text, status); err != nil {
		return nil, fmt.Errorf("%s: %w", c.Admin, err)
	}
	if c.JSON {
		_, err := os.Stdout.Write(text)
		return nil, err
	}
	return status, nil
}

type fleetMembersCmd struct{ fleetFlags }

func (c fleetMembersCmd) Run() error {
	status, err := c.fetchStatus()
	if status == nil {
		return err
	}
	if !status.gossipEnabled() {
		return withExitCode(fmt.Errorf("%s: the fleet's gossip is off", c.Admin), exitFleetOff)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "member\tzone\tregion\tstate\thealth\tsince\tstarted\taddress\tprogram")
	for _, m := range status.Members {
		name := m.Name
		if name == status.Name {
			name += " *"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", name, m.Zone, m.Region, m.State, m.Health, timeOfDay(int64(m.Since)),
			timeOfDay(m.Start*1000), m.Address, m.Program)
	}
	w.Flush()
	fmt.Printf("view %d of %s, hash %s\n", status.View, status.Name, status.Hash)
	return nil
}

// timeOfDay formats a time in microseconds since the epoch as the time of day in UTC.
func timeOfDay(us int64) string { return time.UnixMicro(us).UTC().Format("15:04:05") }

type fleetViewCmd struct{ fleetFlags }

func (c fleetViewCmd) Run() error {
	status, err := c.fetchStatus()
	if status == nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if status.gossipEnabled() {
		fmt.Printf("view %d of %s, hash %s\n", status.View, status.Name, status.Hash)
		status.printServers(w)
	} else {
		fmt.Printf("%s does not take part in the fleet's gossip\n", status.Name)
	}
	status.printShared(w)
	if status.Settings != nil {
		printSettings(w, status.Settings)
	}
	return w.Flush()
}

// printServers prints how many members see each server, and at which levels of congestion.
func (s *fleetStatus) printServers(w io.Writer) {
	fmt.Fprintln(w, "server\tseen by\tgated by\tlevels")
	type serverViews struct {
		seenBy, gatedBy int
		levels          [5]int
	}
	byServer, order := map[uint32]*serverViews{}, []uint32{}
	for _, m := range s.Members {
		if m.Health != "alive" && m.Health != "suspect" {
			continue
		}
		for _, v := range m.Servers {
			views := byServer[v.Server]
			if views == nil {
				views = &serverViews{}
				byServer[v.Server] = views
				order = append(order, v.Server)
			}
			views.seenBy++
			views.levels[min(max(v.Level, 0), 4)]++
			if (control.View{Level: v.Level}).Gated() {
				views.gatedBy++
			}
		}
	}
	for _, id := range order {
		views := byServer[id]
		fmt.Fprintf(w, "s-%08x\t%d\t%d\t%v\n", id, views.seenBy, views.gatedBy, views.levels)
	}
}
