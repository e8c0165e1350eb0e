package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"beammux/control"
)

type fleetCmd struct {
	Members fleetMembersCmd `cmd:"" help:"The members that a gatekeeper knows; exit 5 if it does not answer, 4 if its fleet is off."`
	View    fleetViewCmd    `cmd:"" help:"What a gatekeeper's members see of the menu servers, and the hash of its view."`
}

type fleetFlags struct {
	Admin   string        `help:"Operators' HTTP address of a gatekeeper, HOST:PORT." required:""`
	JSON    bool          `help:"Print JSON."`
	Timeout time.Duration `help:"For the answer." default:"2s"`
}

// fleetStatus is the answer of GET /api/fleet, as far as it is printed.
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
}

// exitFleetOff says that a gatekeeper answers and has no fleet.
const exitFleetOff = 4

// ask gives a gatekeeper's view; nil where it could not, or where it is printed as JSON already.
func (c fleetFlags) ask() (*fleetStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Admin+"/api/fleet", nil)
	if err != nil {
		return nil, fmt.Errorf("--admin: %q is not HOST:PORT", c.Admin)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fault(fmt.Errorf("%s does not answer: %w", c.Admin, errors.Unwrap(err)), exitNoAnswer)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	switch {
	case err != nil:
		return nil, fault(fmt.Errorf("%s: %w", c.Admin, err), exitNoAnswer)
	case resp.StatusCode == http.StatusNotFound:
		return nil, fault(fmt.Errorf("%s: %s", c.Admin, strings.TrimSpace(string(text))), exitFleetOff)
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s answers %s", c.Admin, resp.Status)
	}
	s := &fleetStatus{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("%s: %w", c.Admin, err)
	}
	if c.JSON {
		_, err := os.Stdout.Write(text)
		return nil, err
	}
	return s, nil
}

type fleetMembersCmd struct{ fleetFlags }

func (c fleetMembersCmd) Run() error {
	s, err := c.ask()
	if s == nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "member\tzone\tregion\tstate\thealth\tsince\tstarted\taddress\tprogram")
	for _, m := range s.Members {
		name := m.Name
		if name == s.Name {
			name += " *"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", name, m.Zone, m.Region, m.State, m.Health, clock(int64(m.Since)),
			clock(m.Start*1000), m.Address, m.Program)
	}
	w.Flush()
	fmt.Printf("view %d of %s, hash %s\n", s.View, s.Name, s.Hash)
	return nil
}

func clock(us int64) string { return time.UnixMicro(us).UTC().Format("15:04:05") }

type fleetViewCmd struct{ fleetFlags }

func (c fleetViewCmd) Run() error {
	s, err := c.ask()
	if s == nil {
		return err
	}
	fmt.Printf("view %d of %s, hash %s\n", s.View, s.Name, s.Hash)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "server\tseen by\tgated by\tlevels")
	type seen struct {
		by, gated int
		levels    [5]int
	}
	all, order := map[uint32]*seen{}, []uint32{}
	for _, m := range s.Members {
		if m.Health != "alive" && m.Health != "suspect" {
			continue
		}
		for _, v := range m.Servers {
			k := all[v.Server]
			if k == nil {
				k = &seen{}
				all[v.Server] = k
				order = append(order, v.Server)
			}
			k.by++
			k.levels[min(max(v.Level, 0), 4)]++
			if (control.View{Level: v.Level}).Gated() {
				k.gated++
			}
		}
	}
	for _, id := range order {
		k := all[id]
		fmt.Fprintf(w, "s-%08x\t%d\t%d\t%v\n", id, k.by, k.gated, k.levels)
	}
	return w.Flush()
}
