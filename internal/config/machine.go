package config

import (
	"os"
	"time"

	"beammux/control"
	"beammux/internal/jsonfile"
)

// ControlMachine is the file of a control machine: a member of the store that serves no callers.
type ControlMachine struct {
	Name, Zone, Region string
	AdminAddr          string // the operators' address, HOST:PORT; empty: off
	Store              Store
	Admission          Admission
	// Site holds the settings that a change is proved against: those of the gatekeeper's configuration that the file
	// names. Without one it is nil, and changes are checked for their form alone.
	Site             *control.Site
	GatekeeperConfig string // that configuration's path; "": none
	// ElectionTimeout is the time without word from the leader after which a voter stands for election; 0: the store's default.
	// It must be a few times the round trip between the regions, and be the same at all control machines.
	ElectionTimeout time.Duration
}

// Admission bounds what a control machine takes on at a time. A figure that is 0 is left to the store's default.
type Admission struct {
	Sessions       int     // at a time
	SessionsPerS   float64 // new sessions, a second
	SessionsBurst  int
	SnapshotsPerS  float64 // snapshots sent, a second
	SnapshotsBurst int
}

// Bounds of the section admission.
const (
	leastAdmission = 0.1 // a second
	mostAdmission  = 1e6 // a second, and in one burst
)

// Bounds of election_ms.
const (
	leastElectionMs = 100
	mostElectionMs  = 60000
)

// LoadControlMachine reads the file of a control machine. The error holds every fault, one in a line, as FILE:LINE:COL: key: what.
func LoadControlMachine(file string) (*ControlMachine, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{file, "", "can't be read: " + err.Error()}
	}
	return ParseControlMachine(file, text)
}

// ParseControlMachine is LoadMachine for a text that has been read.
func ParseControlMachine(name string, text []byte) (*ControlMachine, error) {
	f, err := jsonfile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	m := &ControlMachine{}
	top := f.Members(f.Root, "$schema", "name", "zone", "region", "admin_addr", "store", "admission", "gatekeeper", "election_ms")
	f.String(top[0])
	m.Name, m.Zone, m.Region = scopeName(f, top[1]), scopeName(f, top[2]), scopeName(f, top[3])
	if m.AdminAddr = f.String(top[4]); m.AdminAddr != "" {
		if err := CheckAdminAddr(m.AdminAddr); err != nil {
			f.Fault(top[4].Path, err.Error())
		}
	}
	m.readStore(f, top[5])
	m.readAdmission(f, top[6])
	if f.Root.Kind == jsonfile.Object && top[1] == nil {
		f.Fault("", "name is missing")
	}
	m.ElectionTimeout = time.Duration(f.Whole(top[8], leastElectionMs, mostElectionMs)) * time.Millisecond
	if m.GatekeeperConfig = f.String(top[7]); m.GatekeeperConfig != "" {
		if c, err := Load(m.GatekeeperConfig); err != nil {
			f.Fault(top[7].Path, err.Error())
		} else {
			m.Site = c.Site
		}
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *ControlMachine) readStore(f *jsonfile.File, v *jsonfile.Value) {
	if v == nil {
		if f.Root.Kind == jsonfile.Object {
			f.Fault("", "store is missing")
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
		f.Fault("store.listen", "missing: gatekeepers reach a control machine there")
	}
	if len(m.Store.Peers) == 0 && !m.Store.Join {
		f.Fault("store.peers", "missing: all control machines, this one included")
	}
}

func (m *ControlMachine) readAdmission(f *jsonfile.File, v *jsonfile.Value) {
	a := f.Members(v, "sessions_per_s", "sessions_burst", "snapshots_per_s", "snapshots_burst", "sessions")
	m.Admission = Admission{
		SessionsPerS: f.Number(a[0], leastAdmission, mostAdmission), SessionsBurst: int(f.Whole(a[1], 1, mostAdmission)),
		SnapshotsPerS: f.Number(a[2], leastAdmission, mostAdmission), SnapshotsBurst: int(f.Whole(a[3], 1, mostAdmission)),
		Sessions: int(f.Whole(a[4], 1, mostAdmission)),
	}
}
