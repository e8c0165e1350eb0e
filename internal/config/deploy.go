package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"beammux/control"
	"beammux/control/retry"
	"beammux/internal/admin"
	"beammux/internal/fleet"
	"beammux/internal/jsonfile"
	"beammux/internal/routing"
)

// Deploy is what the project's own file under deploy/ says: the second front, the store, the inventory, and time-outs
// and attempts. All of it may be absent; then it is off. deploy/beammux.schema.json describes the form.
type Deploy struct {
	SIPUDP, SIPTCP string // where the SIP front listens
	DefaultClass   string // of a SIP caller that names none
	StoreNode      string
	StoreListen    string
	StorePeers     []StorePeer
	StoreDir       string            // where the store keeps its files; empty: in memory
	StoreSync      string            // always or interval
	StoreVia       map[string]string // where this member reaches others, by their addresses in the group
	StoreJoin      bool              // this member is new to a group that runs
	Inventory      string            // file of servers
	Calls          *retry.Policy     // nil: as the settings say
	Records        *Records          // nil: off
	Fleet          *Fleet            // nil: off
	Limits         *Limits           // of the whole fleet; nil: none
	Control        *Control          // nil: it follows no settings of control machines
	Console        string            // socket where staff may watch with the console,, unix:PATH or HOST:PORT on loopback; empty: off

	file  *jsonfile.File // nil where there is no file
	calls *retry.File    // nil without the section
}

// Fleet says how this gatekeeper takes part in the fleet's gossip.
type Fleet struct {
	Name, Zone, Region, Bind, Advertise string
	Group                               string  // of the gossip; "": the one without a name
	RegisterBytesPerS                   float64 // of registers sent a second, at most; 0: no bound
	Seeds                               []string
	Keys                                [][]byte // of the gossip's encryption; nil: none
	Via                                 map[string]string
	MaxKeptOut                          float64       // part of the servers that verdicts may keep out at once; 0: no verdicts
	ReapAfter                           time.Duration // 0: the fleet's own
}

// StorePeer is one member of the store's group.
type StorePeer struct {
	Node, Address string
	NonVoter      bool // it holds what the others hold, and has no vote
}

// Store is the section store.
type Store struct {
	Node, Listen, Dir, Sync string
	Peers                   []StorePeer
	Via                     map[string]string // where this member reaches others, by their addresses in the group
	Join                    bool              // this member is new to a group that runs
}

// Records says where a gatekeeper keeps its records, and how much.
type Records struct {
	Dir       string
	MaxMB     int           // of this gatekeeper
	MaxAge    time.Duration // 0: no bound
	SegmentMB int
}

// LoadDeploy reads the file and proves its section "calls" against the rules of a deployment. A file that does not exist
// turns everything off. The error holds every fault, one in a line, as FILE:LINE:COL: key: what.
func LoadDeploy(file string, site *control.Site) (*Deploy, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return &Deploy{}, nil
	}
	if err != nil {
		return nil, &Error{file, "", "can't be read: " + err.Error()}
	}
	return ParseDeploy(file, text, site)
}

// ParseDeploy is LoadDeploy for a text that has been read.
func ParseDeploy(name string, text []byte, site *control.Site) (*Deploy, error) {
	f, err := jsonfile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	d := &Deploy{file: f}
	top := f.Members(f.Root, "$schema", "sip", "store", "inventory", "calls", "records", "console", "fleet", "control")
	f.String(top[0])
	sip := f.Members(top[1], "udp", "tcp", "default_class")
	d.SIPUDP, d.SIPTCP, d.DefaultClass = f.String(sip[0]), f.String(sip[1]), f.String(sip[2])
	d.store(top[2])
	d.Inventory = f.String(top[3])
	if top[4] != nil {
		d.readCalls(top[4])
		d.prove(site)
	}
	if top[5] != nil {
		d.records(top[5])
	}
	listen := f.Members(top[6], "listen")[0]
	if d.Console = f.String(listen); d.Console != "" {
		if _, _, err := admin.ParseAddress(d.Console); err != nil {
			f.Fault(listen.Path, err.Error())
		}
	}
	if top[7] != nil {
		d.fleet(top[7], site)
	}
	if top[8] != nil {
		d.control(top[8])
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Deploy) records(v *jsonfile.Value) {
	f := d.file
	m := f.Members(v, "dir", "max_mb", "max_age", "segment_mb")
	r := &Records{Dir: f.String(m[0]), MaxMB: int(f.Whole(m[1], 1, 1<<20)), SegmentMB: int(f.Whole(m[3], 1, 1024))}
	if v.Kind == jsonfile.Object && m[0] == nil {
		f.Fault(v.Path, "dir is missing")
	} else if r.Dir == "" && m[0] != nil && m[0].Kind == jsonfile.String {
		f.Fault(m[0].Path, "is empty")
	}
	if age := f.String(m[2]); age != "" {
		var err error
		if r.MaxAge, err = time.ParseDuration(age); err != nil || r.MaxAge < time.Minute {
			f.Fault(m[2].Path, strconv.Quote(age)+" is no span of a minute or more, as 90m or 72h")
		}
	}
	d.Records = r
}

func (d *Deploy) store(v *jsonfile.Value) {
	s := readStore(d.file, v)
	d.StoreNode, d.StoreListen, d.StoreDir, d.StoreSync = s.Node, s.Listen, s.Dir, s.Sync
	d.StorePeers, d.StoreVia, d.StoreJoin = s.Peers, s.Via, s.Join
}

// readStore reads the section store of a deploy file or of a control machine's file.
func readStore(f *jsonfile.File, v *jsonfile.Value) Store {
	m := f.Members(v, "node", "listen", "peers", "dir", "sync", "join", "via")
	s := Store{Node: f.String(m[0]), Listen: f.String(m[1]), Dir: f.String(m[3]), Sync: f.String(m[4])}
	if s.Join, _ = f.Bool(m[5]); s.Join && s.Listen == "" {
		f.Fault("store.listen", "missing beside join")
	}
	if sync := m[4]; sync != nil && sync.Kind == jsonfile.String {
		if known := []string{"always", "interval"}; !slices.Contains(known, sync.Text) {
			f.Fault(sync.Path, fmt.Sprintf("%q is neither always nor interval%s", sync.Text, jsonfile.Hint(sync.Text, known)))
		} else if s.Dir == "" {
			f.Fault(sync.Path, "says how dir is written, and dir is missing")
		}
	}
	s.Via = readVia(f, m[6])
	if f.Is(m[2], jsonfile.Array) {
		s.Peers = storePeers(f, m[2])
	}
	if len(s.Peers) > 0 && s.Listen == "" {
		f.Fault("store.listen", "missing beside peers")
	}
	return s
}

// storePeers reads the members of the store's group.
func storePeers(f *jsonfile.File, v *jsonfile.Value) []StorePeer {
	var peers []StorePeer
	voters := 0
	for _, item := range v.Items {
		if !f.Is(item, jsonfile.Object) {
			continue
		}
		m := f.Members(item, "node", "address", "voter")
		p := StorePeer{Node: f.String(m[0]), Address: f.String(m[1])}
		if p.Node == "" || p.Address == "" {
			f.Fault(item.Path, "node or address is missing")
		}
		if votes, said := f.Bool(m[2]); said && !votes {
			p.NonVoter = true
		} else {
			voters++
		}
		peers = append(peers, p)
	}
	if len(peers) > 0 && voters == 0 {
		f.Fault(v.Path, "none of them votes: the group could not write")
	}
	return peers
}

// readVia reads where this member reaches others, by the addresses that they are known by.
func readVia(f *jsonfile.File, v *jsonfile.Value) map[string]string {
	if !f.Is(v, jsonfile.Array) {
		return nil
	}
	out := map[string]string{}
	for _, item := range v.Items {
		if !f.Is(item, jsonfile.Object) {
			continue
		}
		m := f.Members(item, "address", "through")
		address, through := f.String(m[0]), f.String(m[1])
		if address == "" || through == "" {
			f.Fault(item.Path, "address or through is missing")
			continue
		}
		if _, again := out[address]; again {
			f.Fault(item.Path, fmt.Sprintf("%q stands twice", address))
		}
		out[address] = through
	}
	return out
}

// fleet reads the section of the gossip.
func (d *Deploy) fleet(v *jsonfile.Value, site *control.Site) {
	f := d.file
	m := f.Members(v, "name", "zone", "region", "bind", "advertise", "seeds", "key_file", "via", "reap_after", "limits", "verdicts", "group", "register_bytes_per_s")
	if m[9] != nil {
		d.limits(m[9], site, Features{Gossip: len(v.Keys()) > 1, Store: len(d.StorePeers) > 0 || d.StoreJoin})
		if len(v.Keys()) == 1 { // limits alone: no gossip
			return
		}
	}
	c := &Fleet{Name: f.String(m[0]), Zone: f.String(m[1]), Region: f.String(m[2]), Bind: f.String(m[3]), Advertise: f.String(m[4]),
		Via: readVia(f, m[7]), Group: f.String(m[11]),
		RegisterBytesPerS: f.Number(m[12], fleet.MinRegisterBytes, mostRegisterBytes)}
	if v.Kind != jsonfile.Object {
		return
	}
	for _, name := range []*jsonfile.Value{m[0], m[1], m[2], m[11]} {
		if text := f.String(name); len(text) > mostFleetName {
			f.Fault(name.Path, fmt.Sprintf("has %d characters, over %d", len(text), mostFleetName))
		}
	}
	if m[1] == nil || m[1].Kind == jsonfile.String && c.Zone == "" {
		f.Fault(v.Path, "zone is missing")
	}
	if m[3] == nil {
		f.Fault(v.Path, "bind is missing")
	}
	for i, addr := range []string{c.Bind, c.Advertise} {
		if at := m[3+i]; at != nil && at.Kind == jsonfile.String {
			if fleet.CheckAddress(addr) != nil {
				f.Fault(at.Path, fmt.Sprintf("%q is not IP:PORT", addr))
			}
		}
	}
	if f.Is(m[5], jsonfile.Array) {
		for _, item := range m[5].Items {
			if seed := f.String(item); seed != "" {
				c.Seeds = append(c.Seeds, seed)
			}
		}
	}
	if file := f.String(m[6]); file != "" {
		var err error
		if c.Keys, err = fleet.Keys(file); err != nil {
			f.Fault(m[6].Path, err.Error())
		}
	}
	if after := f.String(m[8]); after != "" {
		var err error
		if c.ReapAfter, err = time.ParseDuration(after); err != nil || c.ReapAfter < time.Second {
			f.Fault(m[8].Path, strconv.Quote(after)+" is no span of a second or more, as 90s or 10m")
		}
	}
	if m[10] != nil {
		v := f.Members(m[10], "max_out")
		if c.MaxKeptOut = f.Number(v[0], 0.01, mostOut); v[0] == nil {
			c.MaxKeptOut = plainOut
		}
	}
	d.Fleet = c
}

// The part of the servers that verdicts may keep out at once: where the file does not say, and at most.
const (
	plainOut = 0.3
	mostOut  = 0.5
)

const (
	mostFleetName     = 64
	mostRegisterBytes = 1e9
)

// Bounds of the figures in the file. Those of the deployment are narrower; the proof knows them.
const (
	mostAttempts = 100
	mostMs       = 600000
	mostRetries  = 10000 // a second and in one burst
	mostCell     = 1<<31 - 1
	mostRoutes   = 1000
	mostName     = 128
)

// What a budget has that leaves a figure open.
var plainBudget = retry.BudgetConfig{Ratio: 0.2, MinPerS: 1, Burst: 10}

func (d *Deploy) readCalls(v *jsonfile.Value) {
	f, c := d.file, &retry.File{}
	m := f.Members(v, "defaults", "classes", "routes", "budget", "second_copies")
	figureKeys := make([]string, retry.ParameterCount)
	for i := range figureKeys {
		figureKeys[i] = retry.Parameter(i).String()
	}
	c.Defaults = d.values(f.Members(m[0], figureKeys...))
	if f.Is(m[1], jsonfile.Object) {
		for i, name := range m[1].Keys() {
			c.Classes = append(c.Classes, retry.ClassValues{Name: name, Values: d.values(f.Members(m[1].Items[i], figureKeys...))})
		}
	}
	if f.Is(m[2], jsonfile.Array) {
		if len(m[2].Items) > mostRoutes {
			f.Fault(m[2].Path, fmt.Sprintf("%d routes, over %d", len(m[2].Items), mostRoutes))
		}
		for _, item := range m[2].Items {
			r := f.Members(item, append([]string{"name", "match"}, figureKeys...)...)
			route := retry.Route{Name: f.String(r[0]), Match: d.match(r[1]), Values: d.values(r[2:])}
			if item.Kind == jsonfile.Object {
				switch {
				case r[0] == nil:
					f.Fault(item.Path, "name is missing")
				case r[0].Kind == jsonfile.String && (route.Name == "" || len(route.Name) > mostName):
					f.Fault(r[0].Path, fmt.Sprintf("must have 1 to %d characters", mostName))
				}
				if r[1] == nil {
					f.Fault(item.Path, "match is missing; {} takes every call")
				}
			}
			c.Routes = append(c.Routes, route)
		}
	}
	if m[3] != nil {
		b := f.Members(m[3], "ratio", "min_per_s", "burst")
		c.Budget = &retry.BudgetConfig{Ratio: f.Part(b[0]), MinPerS: int(f.Whole(b[1], 1, mostRetries)), Burst: int(f.Whole(b[2], 1, mostRetries))}
		if b[0] == nil {
			c.Budget.Ratio = plainBudget.Ratio
		}
		if b[1] == nil {
			c.Budget.MinPerS = plainBudget.MinPerS
		}
		if b[2] == nil {
			c.Budget.Burst = plainBudget.Burst
		}
	}
	c.SecondCopies, _ = f.Bool(m[4])
	d.calls = c
}

// values reads the figures of one part, which come in the order of retry.Figure.
func (d *Deploy) values(m []*jsonfile.Value) (v retry.Values) {
	for f := retry.Attempts; f <= retry.GiveUp; f++ {
		unit, most := int64(1000), int64(mostMs)
		if f == retry.Attempts {
			unit, most = 1, mostAttempts
		}
		if m[f] == nil {
			continue
		}
		if v[f] = unit * d.file.Whole(m[f], 1, most); v[f] == 0 {
			v[f] = retry.InvalidValue
		}
	}
	if on := m[retry.RetryOn]; on != nil {
		v[retry.RetryOn] = d.retryOn(on)
	}
	return v
}

func (d *Deploy) retryOn(on *jsonfile.Value) int64 {
	if !d.file.Is(on, jsonfile.Array) {
		return retry.InvalidValue
	}
	if len(on.Items) == 0 {
		d.file.Fault(on.Path, "is empty; for one attempt alone set attempts to 1")
	}
	var set control.Outcomes
	for _, item := range on.Items {
		if !d.file.Is(item, jsonfile.String) {
			continue
		}
		code, ok := retry.ParseOutcome(item.Text)
		switch {
		case !ok:
			known := retry.OutcomeNames(0)
			d.file.Fault(item.Path, fmt.Sprintf("%q is none of %s%s", item.Text, strings.Join(known, ", "), jsonfile.Hint(item.Text, known)))
		case set.Has(code):
			d.file.Fault(item.Path, fmt.Sprintf("%q stands twice", item.Text))
		}
		if ok {
			set |= control.OutcomesOf(code)
		}
	}
	if set == 0 {
		return retry.InvalidValue
	}
	return int64(set)
}

func (d *Deploy) match(v *jsonfile.Value) (m retry.Match) {
	f := d.file
	k := f.Members(v, "class", "number", "first_choice", "again")
	m.Class, m.Number = f.String(k[0]), f.String(k[1])
	if k[0] != nil && k[0].Kind == jsonfile.String && m.Class == "" {
		f.Fault(k[0].Path, "is empty; leave it out to match any class")
	}
	if k[1] != nil && k[1].Kind == jsonfile.String {
		whole := strings.TrimSuffix(m.Number, "*")
		switch {
		case m.Number == "":
			f.Fault(k[1].Path, "is empty; leave it out to match any number")
		case strings.Contains(whole, "*"):
			f.Fault(k[1].Path, fmt.Sprintf("%q: a * stands only at the end, for any further digits", m.Number))
		case !routing.ValidKey(whole):
			f.Fault(k[1].Path, fmt.Sprintf("%q can't be a number called", m.Number))
		}
	}
	if k[2] != nil {
		n := int(f.Whole(k[2], 0, mostCell))
		m.FirstChoice = &n
	}
	if again, ok := f.Bool(k[3]); ok {
		m.Again = &again
	}
	return m
}

// prove resolves the section "calls" and notes every fault of its meaning beside those of its form.
func (d *Deploy) prove(site *control.Site) {
	policy, faults := retry.Compile(d.calls, retry.RulesFromSettings(site))
	for _, fault := range faults {
		what := fault.What
		if fault.UnknownName != "" {
			what += jsonfile.Hint(fault.UnknownName, fault.KnownNames)
		}
		d.file.Fault(fault.Path, what)
	}
	d.Calls = policy
}

// Position tells the place of a path as FILE:LINE, or "" where the file does not have it.
func (d *Deploy) Position(path string) string {
	if d.file == nil {
		return ""
	}
	line, _ := d.file.Where(path)
	if line == 0 {
		return ""
	}
	return fmt.Sprintf("%s:%d", d.file.Name, line)
}
