package config

import (
	"os"
	"time"

	"beammux/control"
	"beammux/internal/jsonfile"
)

// ControlMachine is the configuration file of a control machine, a member of the store that serves no callers.
type ControlMachine struct {
	Name, Zone, Region string
	AdminAddr          string // address of the operators' HTTP server, HOST:PORT; empty: off
	Store              Store
	Admission          Admission
	// Site holds the settings that a change is checked against. They come from the gatekeeper configuration that the file
	// names. If the file names none, Site is nil, and only the syntax of changes is checked.
	Site             *control.Site
	GatekeeperConfig string // path of that configuration; "": none
	// ElectionTimeout is the time without a heartbeat of the leader after which a voter starts an election; 0: the store's
	// default. It must be several times the round trip between the regions and equal at all control machines.
	ElectionTimeout time.Duration
}

// Admission limits the client sessions and snapshots that a control machine serves. A value of 0 selects the store's
// default.
type Admission struct {
	Sessions       int     // concurrent sessions
	SessionsPerS   float64 // new sessions per second
	SessionsBurst  int
	SnapshotsPerS  float64 // snapshots sent per second
	SnapshotsBurst int
}

// Bounds of the section admission.
const (
	minAdmission = 0.1 // per second
	maxAdmission = 1e6 // per second, and in one burst
)

// Bounds of election_ms.
const (
	minElectionMs = 100
	maxElectionMs = 60000
)

// LoadControlMachine reads the file of a control machine. The error lists every fault, one per line, as
// FILE:LINE:COL: key: reason.
func LoadControlMachine(file string) (*ControlMachine, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{file, "", "can't be read: " + err.Error()}
	}
	return ParseControlMachine(file, text)
}

// ParseControlMachine is like LoadControlMachine for the contents of a file. name is the file name in faults.
func ParseControlMachine(name string, text []byte) (*ControlMachine, error) {
	f, err := jsonfile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	m := &ControlMachine{}
	top := f.Members(f.Root, "$schema", "name", "zone", "region", "admin_addr", "store", "admission", "gatekeeper", "election_ms")
	f.String(top[0])
	m.Name, m.Zone, m.Region = readScopeName(f, top[1]), readScopeName(f, top[2]), readScopeName(f, top[3])
	if m.AdminAddr = f.String(top[4]); m.AdminAddr != "" {
		if err := CheckAdminAddr(m.AdminAddr); err != nil {
			f.AddFault(top[4].Path, err.Error())
		}
	}
	m.readStore(f, top[5])
	m.readAdmission(f, top[6])
	if f.Root.Kind == jsonfile.Object && top[1] == nil {
		f.AddFault("", "name is missing")
	}
	m.ElectionTimeout = time.Duration(f.Int(top[8], minElectionMs, maxElectionMs)) * time.Millisecond
	if m.GatekeeperConfig = f.String(top[7]); m.GatekeeperConfig != "" {
		if c, err := Load(m.GatekeeperConfig); err != nil {
			f.AddFault(top[7].Path, err.Error())
		} else {
			m.Site = c.Site
		}
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return m, nil
}

// readStore reads the section store, which a control machine requires.
func (m *ControlMachine) readStore(f *jsonfile.File, v *jsonfile.Value) {
	if v == nil {
		if f.Root.Kind == jsonfile.Object {
			f.AddFault("", "store is missing")
		}
		return
	}
	m.Store = readStore(f, v)
	if v.Kind != jsonfile.Object {
		return
	}
	if m.Store.Node == "" {
		m.Store.Node = m.Name
	}
	if m.Store.Listen == "" {
		f.AddFault("store.listen", "missing: gatekeepers connect to a control machine at this address")
	}
	if len(m.Store.Peers) == 0 && !m.Store.Join {
		f.AddFault("store.peers", "missing: all control machines, this one included")
	}
}

// readAdmission reads the section admission.
func (m *ControlMachine) readAdmission(f *jsonfile.File, v *jsonfile.Value) {
	a := f.Members(v, "sessions_per_s", "sessions_burst", "snapshots_per_s", "snapshots_burst", "sessions")
	m.Admission = Admission{
		SessionsPerS: f.Number(a[0], minAdmission, maxAdmission), SessionsBurst: int(f.Int(a[1], 1, maxAdmission)),
		SnapshotsPerS: f.Number(a[2], minAdmission, maxAdmission), SnapshotsBurst: int(f.Int(a[3], 1, maxAdmission)),
		Sessions: int(f.Int(a[4], 1, maxAdmission)),
	}
}
