package scalelab

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"beammux/internal/relay"
	"beammux/internal/scalelab/child"
	"beammux/internal/scalelab/script"
	"beammux/internal/store"
)

const (
	controlStartTimeout = 30 * time.Second
	statusTimeout       = time.Second
	stopTimeout         = 5 * time.Second
)

// controlPlane is the control machines of a run, each a process of its own.
type controlPlane struct {
	options  *Options
	machines []*machine
	network  *relay.Network // relays connections between regions for partitions and delays; nil: direct connections
}

// machine is one control machine.
type machine struct {
	machineSpec
	configFile   string
	adminAddress string // admin address

	mu           sync.Mutex
	process      *child.Process // nil: not started
	paused       bool
	killed       bool          // killed by the fault script
	earlierUsage []child.Usage // usage of the earlier processes of the machine
	earlierCPU   time.Duration // processor time of the earlier processes
}

// controlFile is the configuration file of a control machine.
type controlFile struct {
	Name       string       `json:"name"`
	Zone       string       `json:"zone"`
	Region     string       `json:"region"`
	Admin      string       `json:"admin_addr"`
	Store      controlStore `json:"store"`
	Admission  *Admission   `json:"admission,omitempty"`
	Gatekeeper string       `json:"gatekeeper,omitempty"`
}

// controlStore is the store section of controlFile.
type controlStore struct {
	Node   string        `json:"node"`
	Listen string        `json:"listen"`
	Peers  []controlPeer `json:"peers"`
	Dir    string        `json:"dir"`
	Sync   string        `json:"sync,omitempty"`
	Via    []controlVia  `json:"via,omitempty"`
}

// controlPeer is a member of the store in controlFile.
type controlPeer struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
}

// controlVia maps the address of a peer to the relay through which it is reached.
type controlVia struct {
	Address string `json:"address"`
	Through string `json:"through"`
}

// newControlPlane assigns addresses and writes the configuration files of the machines. It starts no process.
func newControlPlane(o *Options, specs []machineSpec) (*controlPlane, error) {
	c := &controlPlane{options: o}
	ports, err := freePorts(2*len(specs), o.Seed+uint64(os.Getpid()))
	if err != nil {
		return nil, err
	}
	for i, spec := range specs {
		spec.Address = fmt.Sprintf("127.0.0.1:%d", ports[i])
		c.machines = append(c.machines, &machine{machineSpec: spec, configFile: filepath.Join(o.Dir, spec.Name+".json"),
			adminAddress: fmt.Sprintf("127.0.0.1:%d", ports[len(specs)+i])})
	}
	if script.Contains(o.Faults, script.CutRegion) || script.Contains(o.Faults, script.Latency) {
		c.network = relay.New(o.Seed)
	}
	for _, m := range c.machines {
		if err := c.writeFile(m); err != nil {
			return c, err
		}
	}
	return c, c.applyLatency()
}

// writeFile writes the configuration file of a machine and creates its relay links to machines in other regions.
func (c *controlPlane) writeFile(m *machine) error {
	o := c.options
	f := controlFile{Name: m.Name, Zone: m.Zone, Region: m.Region, Admin: m.adminAddress, Admission: &o.Admission, Gatekeeper: o.Site,
		Store: controlStore{Node: m.Name, Listen: m.Address, Dir: filepath.Join(o.Dir, m.Name)}}
	for _, other := range c.machines {
		f.Store.Peers = append(f.Store.Peers, controlPeer{other.Name, other.Address, other.voter})
		if c.network == nil || other.Region == m.Region {
			continue
		}
		link, err := c.network.TCP(m.Name, other.Name, "store")
		if err != nil {
			return err
		}
		c.network.Up(other.Name, "store", other.Address)
		f.Store.Via = append(f.Store.Via, controlVia{other.Address, link.Addr()})
	}
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.configFile, text, 0o644)
}

// applyLatency applies the latency between regions, if the fault script has one.
func (c *controlPlane) applyLatency() error {
	for _, f := range c.options.Faults {
		if f.Kind != script.Latency {
			continue
		}
		for _, a := range c.machines {
			for _, b := range c.machines {
				if a.Region != b.Region {
					if err := c.network.SetCondition(a.Name, b.Name, relay.Condition{Delay: f.Delay}); err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

// cut partitions the machines of a region from the others, or ends the partition.
func (c *controlPlane) cut(region string, cut bool) {
	var inside, outside []string
	for _, m := range c.machines {
		if m.Region == region {
			inside = append(inside, m.Name)
		} else {
			outside = append(outside, m.Name)
		}
	}
	c.network.Cut(inside, outside, cut)
	c.network.Cut(outside, inside, cut)
}

// start starts the process of a machine.
func (c *controlPlane) start(m *machine) error {
	p, err := child.Start(child.Options{Name: m.Name, Path: c.options.Program, Args: []string{"control", "serve", "--file", m.configFile},
		Env: c.options.Env, Dir: c.options.Dir, LogFile: filepath.Join(c.options.Dir, m.Name+".log")})
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process, m.killed = p, false
	return nil
}

// startAll starts all machines and waits until each is ready and knows a leader.
func (c *controlPlane) startAll(ctx context.Context) error {
	for _, m := range c.machines {
		if err := c.start(m); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, controlStartTimeout)
	defer cancel()
	for _, m := range c.machines {
		for {
			s, err := m.status(ctx)
			if err == nil && s.Ready && s.Leader != "" {
				break
			}
			if m.process.Exited() {
				return fmt.Errorf("%s exited before it was ready (%v): see %s.log", m.Name, m.process.ExitState(), m.Name)
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %v", m.Name, err)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// status requests the status of the store from the machine.
func (m *machine) status(ctx context.Context) (store.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return store.StatusFrom(ctx, m.Address)
}

// up reports whether the machine runs and is not suspended.
func (m *machine) up() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process != nil && !m.killed && !m.paused && !m.process.Exited()
}

// crashed reports whether the process of the machine exited without being killed by the fault script.
func (m *machine) crashed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process != nil && !m.killed && m.process.Exited()
}

// kill sends SIGKILL to the process of the machine, to simulate a machine failure.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u, err := child.ReadUsage(m.process.PID()); err == nil {
		m.earlierCPU += u.CPU
		m.earlierUsage = append(m.earlierUsage, u)
	}
	m.killed = true
	m.process.Kill()
}

// killAndWipe kills all machines and removes their data.
func (c *controlPlane) killAndWipe() error {
	for _, m := range c.machines {
		m.kill()
	}
	for _, m := range c.machines {
		if err := os.RemoveAll(filepath.Join(c.options.Dir, m.Name)); err != nil {
			return err
		}
	}
	return nil
}

// pause suspends the process of the machine, or resumes it.
func (m *machine) pause(paused bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused = paused
	if paused {
		return m.process.Signal(syscall.SIGSTOP)
	}
	return m.process.Signal(syscall.SIGCONT)
}

// usage returns the usage of the machine's current process, with CPU, Read and Written summed over all its processes. It
// reports false if no process runs.
func (m *machine) usage() (child.Usage, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil || m.process.Exited() {
		return child.Usage{}, false
	}
	u, err := child.ReadUsage(m.process.PID())
	u.CPU += m.earlierCPU
	for _, e := range m.earlierUsage {
		u.Read += e.Read
		u.Written += e.Written
	}
	return u, err == nil
}

// leader returns the leader of the store.
func (c *controlPlane) leader(ctx context.Context) (*machine, error) {
	for _, m := range c.machines {
		if !m.up() {
			continue
		}
		s, err := m.status(ctx)
		if err != nil || s.LeaderNode == "" {
			continue
		}
		for _, l := range c.machines {
			if l.Name == s.LeaderNode && l.up() {
				return l, nil
			}
		}
	}
	return nil, fmt.Errorf("no control machine knows a leader")
}

// randomZonePair returns two running machines of a random zone, nil if no zone has two.
func (c *controlPlane) randomZonePair(rng *rand.Rand) []*machine {
	if machines := c.randomZone(rng, 2); machines != nil {
		return machines[:2]
	}
	return nil
}

// randomZoneMachines returns the running machines of a random zone, nil if none runs.
func (c *controlPlane) randomZoneMachines(rng *rand.Rand) []*machine { return c.randomZone(rng, 1) }

// randomZone returns the running machines of a random zone among those with at least minMachines of them, nil if there is none.
func (c *controlPlane) randomZone(rng *rand.Rand, minMachines int) []*machine {
	zones := map[string][]*machine{}
	for _, m := range c.machines {
		if m.up() {
			zones[m.Zone] = append(zones[m.Zone], m)
		}
	}
	names := slices.Sorted(maps.Keys(zones))
	names = slices.DeleteFunc(names, func(z string) bool { return len(zones[z]) < minMachines })
	if len(names) == 0 {
		return nil
	}
	return zones[names[rng.IntN(len(names))]]
}

// stop stops all processes and closes the relays.
func (c *controlPlane) stop() {
	var all sync.WaitGroup
	for _, m := range c.machines {
		if m.process != nil {
			all.Go(func() { m.process.Stop(stopTimeout) })
		}
	}
	all.Wait()
	if c.network != nil {
		c.network.Close()
	}
}
