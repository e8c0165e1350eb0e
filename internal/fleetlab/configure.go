package fleetlab

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"beammux/internal/fleetlab/script"
	"beammux/internal/lab"
)

// advertiseAddress returns the gossip address that a member advertises. No member dials it: each one maps it to its own relay
// address.
func advertiseAddress(index int) string { return fmt.Sprintf("127.1.0.%d:7946", index+1) }

const seedMembers = 3 // number of members that are seeds of all others

// storeAddress returns the address of a store member in the list of peers. It is mapped to relay addresses and never dialled.
func storeAddress(name string) string { return name + ".store:1" }

// configure writes the configuration and deploy files of a gatekeeper, with tmp as its temporary folder.
func (f *fleet) configure(g *gatekeeper, tmp string) error {
	etc := f.path("etc", g.name)
	if err := errors.Join(os.MkdirAll(etc, 0o755), os.MkdirAll(tmp, 0o700)); err != nil {
		return err
	}
	state, err := filepath.Abs(f.path("state", g.name, "store"))
	if err != nil {
		return err
	}
	records, err := filepath.Abs(f.path("records"))
	if err != nil {
		return err
	}
	store := map[string]any{"node": g.name, "dir": state, "sync": "interval"}
	if g.index < f.s.Members && f.s.Members > 1 {
		var peers, via []map[string]string
		for k := range f.s.Members {
			name := script.Gatekeeper(k)
			peers = append(peers, map[string]string{"node": name, "address": storeAddress(name)})
			if k != g.index {
				via = append(via, map[string]string{"address": storeAddress(name), "through": f.addr[[3]string{g.name, name, storeService}]})
			}
		}
		store["listen"], store["peers"], store["via"] = "127.0.0.1:0", peers, via
	}
	deploy := map[string]any{"store": store, "records": map[string]any{"dir": records, "segment_mb": 64}}
	if f.s.Fleet {
		var via []map[string]string
		var seeds []string
		for k := range f.s.Gatekeepers {
			if k == g.index {
				continue
			}
			via = append(via, map[string]string{"address": advertiseAddress(k), "through": f.addr[[3]string{g.name, script.Gatekeeper(k), fleetService}]})
			if k < seedMembers {
				seeds = append(seeds, advertiseAddress(k))
			}
		}
		deploy["fleet"] = map[string]any{"zone": f.s.ZoneOf(g.name), "bind": "127.0.0.1:0", "advertise": advertiseAddress(g.index),
			"seeds": seeds, "via": via}
		if f.s.Verdicts {
			deploy["fleet"].(map[string]any)["verdicts"] = map[string]any{}
		}
	}
	if f.s.Limits != nil {
		f.mu.Lock()
		limits := g.limits
		f.mu.Unlock()
		section, _ := deploy["fleet"].(map[string]any)
		if section == nil {
			section = map[string]any{}
			deploy["fleet"] = section
		}
		section["limits"] = f.limits(g, limits)
	}
	seed := rand.New(rand.NewPCG(f.s.Seed, uint64(g.index)<<32+uint64(g.start))).Uint64()
	for name, content := range map[string]any{
		"config.json": map[string]any{"name": g.name, "listen": "127.0.0.1:0", "seed": fmt.Sprintf("%016x", seed),
			"limits": map[string]any{"sockets": 1024}, "bus": f.addr[[3]string{g.name, script.Bus, g.name}],
			"known": f.bus.Known(f.dials(g.name)), "settings": json.RawMessage(lab.Settings(f.s.Gatekeepers))},
		"deploy.json": deploy,
	} {
		text, err := json.MarshalIndent(content, "", " ")
		if err == nil {
			err = os.WriteFile(filepath.Join(etc, name), text, 0o644)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// leased reports whether the gatekeepers lease shares of the limit from the store.
func (f *fleet) leased() bool { return f.s.Limits != nil && f.s.Limits.Mode == "leased" }

// limits returns the limits section of a gatekeeper's deploy file.
func (f *fleet) limits(g *gatekeeper, l script.Limits) map[string]any {
	rule := map[string]any{"name": "all", "mode": l.Mode, "per_s": l.PerS, "burst": l.Burst}
	if l.Mode == "fixed" {
		n := float64(f.s.Gatekeepers)
		rule["mode"], rule["per_s"], rule["burst"] = "alone", l.PerS/n, max(1, l.Burst/n)
	}
	section := map[string]any{"parts": f.s.Gatekeepers, "rules": []any{rule}}
	if f.leased() && g.index >= f.s.Members {
		var store []string
		for k := range f.s.Members { // each gatekeeper starts with another store member, which spreads the load
			store = append(store, f.addr[[3]string{g.name, script.Gatekeeper((k + g.index) % f.s.Members), storeService}])
		}
		section["store"] = store
	}
	return section
}
