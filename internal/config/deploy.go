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

// Deploy is the deploy file of a gatekeeper: the SIP front, the store, the inventory, the limits of calls, records, the
// console, the fleet and the control machines. Each section is optional; an absent one turns its feature off.
// deploy/beammux.schema.json is the schema of the file.
type Deploy struct {
	SIPUDP, SIPTCP string // addresses that the SIP front listens on
	DefaultClass   string // class of SIP calls that name none
	StoreNode      string
	StoreListen    string
	StorePeers     []StorePeer
	StoreDir       string            // directory of the store's files; empty: the store is in memory
	StoreSync      string            // always or interval
	StoreVia       map[string]string // addresses at which this member reaches others, by their addresses in the group
	StoreJoin      bool              // this member joins a group that already runs
	Inventory      string            // path of the file that lists the servers
	Calls          *retry.Policy     // nil: the settings apply
	Records        *Records          // nil: off
	Fleet          *Fleet            // nil: off
	Limits         *Limits           // limits of the whole fleet; nil: none
	Control        *Control          // nil: the gatekeeper follows no settings of control machines
	Console        string            // socket of the operators' console, unix:PATH or HOST:PORT on loopback; empty: off

	source    *jsonfile.File // nil if there is no file
	callsFile *retry.File    // nil if the section calls is absent
}

// Fleet configures the part of this gatekeeper in the fleet's gossip.
type Fleet struct {
	Name, Zone, Region, Bind, Advertise string
	Group                               string  // gossip group; "": the default group
	RegisterBytesPerS                   float64 // maximum rate of registers sent, in bytes per second; 0: no bound
	Seeds                               []string
	Keys                                [][]byte // encryption keys of the gossip; nil: no encryption
	Via                                 map[string]string
	MaxKeptOut                          float64       // maximum fraction of the servers that verdicts may keep out at once; 0: no verdicts
	ReapAfter                           time.Duration // 0: the default of package fleet
}

// StorePeer is one member of the store's Raft group.
type StorePeer struct {
	Node, Address string
	NonVoter      bool // the member replicates the log and has no vote
}

// Store is the section store of a deploy file or of a control machine's file.
type Store struct {
	Node, Listen, Dir, Sync string
	Peers                   []StorePeer
	Via                     map[string]string // addresses at which this member reaches others, by their addresses in the group
	Join                    bool              // this member joins a group that already runs
}

// Records configures the directory and the retention of a gatekeeper's records.
type Records struct {
	Dir       string
	MaxMB     int           // maximum total size of this gatekeeper's records
	MaxAge    time.Duration // 0: no bound
	SegmentMB int
}

// LoadDeploy reads a deploy file and checks its section calls against the settings of a deployment. A file that does not
// exist turns all features off. The error lists every fault, one per line, as FILE:LINE:COL: key: reason.
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

// ParseDeploy is like LoadDeploy for the contents of a file. name is the file name in faults.
func ParseDeploy(name string, text []byte, site *control.Site) (*Deploy, error) {
	f, err := jsonfile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	d := &Deploy{source: f}
	top := f.Members(f.Root, "$schema", "sip", "store", "inventory", "calls", "records", "console", "fleet", "control")
	f.String(top[0])
	sip := f.Members(top[1], "udp", "tcp", "default_class")
	d.SIPUDP, d.SIPTCP, d.DefaultClass = f.String(sip[0]), f.String(sip[1]), f.String(sip[2])
	d.readStoreSection(top[2])
	d.Inventory = f.String(top[3])
	if top[4] != nil {
		d.readCalls(top[4])
		d.compileCalls(site)
	}
	if top[5] != nil {
		d.readRecords(top[5])
	}
	listen := f.Members(top[6], "listen")[0]
	if d.Console = f.String(listen); d.Console != "" {
		if _, _, err := admin.ParseAddress(d.Console); err != nil {
			f.AddFault(listen.Path, err.Error())
		}
	}
	if top[7] != nil {
		d.readFleet(top[7], site)
	}
	if top[8] != nil {
		d.readControl(top[8])
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// readRecords reads the section records.
func (d *Deploy) readRecords(v *jsonfile.Value) {
	f := d.source
	members := f.Members(v, "dir", "max_mb", "max_age", "segment_mb")
	section := &Records{Dir: f.String(members[0]), MaxMB: int(f.Int(members[1], 1, 1<<20)), SegmentMB: int(f.Int(members[3], 1, 1024))}
	if v.Kind == jsonfile.Object && members[0] == nil {
		f.AddFault(v.Path, "dir is missing")
	} else if section.Dir == "" && members[0] != nil && members[0].Kind == jsonfile.String {
		f.AddFault(members[0].Path, "is empty")
	}
	if age := f.String(members[2]); age != "" {
		var err error
		if section.MaxAge, err = time.ParseDuration(age); err != nil || section.MaxAge < time.Minute {
			f.AddFault(members[2].Path, strconv.Quote(age)+" is not a duration of a minute or more, such as 90m or 72h")
		}
	}
	d.Records = section
}

// readStoreSection reads the section store into the fields of d.
func (d *Deploy) readStoreSection(v *jsonfile.Value) {
	section := readStore(d.source, v)
	d.StoreNode, d.StoreListen, d.StoreDir, d.StoreSync = section.Node, section.Listen, section.Dir, section.Sync
	d.StorePeers, d.StoreVia, d.StoreJoin = section.Peers, section.Via, section.Join
}

// readStore reads the section store of a deploy file or of a control machine's file.
func readStore(f *jsonfile.File, v *jsonfile.Value) Store {
	members := f.Members(v, "node", "listen", "peers", "dir", "sync", "join", "via")
	store := Store{Node: f.String(members[0]), Listen: f.String(members[1]), Dir: f.String(members[3]), Sync: f.String(members[4])}
	if store.Join, _ = f.Bool(members[5]); store.Join && store.Listen == "" {
		f.AddFault("store.listen", "is missing; join requires it")
	}
	if sync := members[4]; sync != nil && sync.Kind == jsonfile.String {
		if known := []string{"always", "interval"}; !slices.Contains(known, sync.Text) {
			f.AddFault(sync.Path, fmt.Sprintf("%q is neither always nor interval%s", sync.Text, jsonfile.Hint(sync.Text, known)))
		} else if store.Dir == "" {
			f.AddFault(sync.Path, "is set without dir, whose writes it controls")
		}
	}
	store.Via = readVia(f, members[6])
	if f.Expect(members[2], jsonfile.Array) {
		store.Peers = readStorePeers(f, members[2])
	}
	if len(store.Peers) > 0 && store.Listen == "" {
		f.AddFault("store.listen", "is missing; peers require it")
	}
	return store
}

// readStorePeers reads the members of the store's Raft group.
func readStorePeers(f *jsonfile.File, v *jsonfile.Value) []StorePeer {
	var peers []StorePeer
	voters := 0
	for _, item := range v.Items {
		if !f.Expect(item, jsonfile.Object) {
			continue
		}
		members := f.Members(item, "node", "address", "voter")
		peer := StorePeer{Node: f.String(members[0]), Address: f.String(members[1])}
		if peer.Node == "" || peer.Address == "" {
			f.AddFault(item.Path, "node or address is missing")
		}
		if votes, present := f.Bool(members[2]); present && !votes {
			peer.NonVoter = true
		} else {
			voters++
		}
		peers = append(peers, peer)
	}
	if len(peers) > 0 && voters == 0 {
		f.AddFault(v.Path, "none of the members has a vote: the group could not commit writes")
	}
	return peers
}

// readVia reads the addresses at which this member reaches others, keyed by their addresses in the group.
func readVia(f *jsonfile.File, v *jsonfile.Value) map[string]string {
	if !f.Expect(v, jsonfile.Array) {
		return nil
	}
	routes := map[string]string{}
	for _, item := range v.Items {
		if !f.Expect(item, jsonfile.Object) {
			continue
		}
		members := f.Members(item, "address", "through")
		address, through := f.String(members[0]), f.String(members[1])
		if address == "" || through == "" {
			f.AddFault(item.Path, "address or through is missing")
			continue
		}
		if _, duplicate := routes[address]; duplicate {
			f.AddFault(item.Path, fmt.Sprintf("%q is listed twice", address))
		}
		routes[address] = through
	}
	return routes
}

// readFleet reads the section fleet: the gossip and the limits of the whole fleet.
func (d *Deploy) readFleet(v *jsonfile.Value, site *control.Site) {
	f := d.source
	members := f.Members(v, "name", "zone", "region", "bind", "advertise", "seeds", "key_file", "via", "reap_after", "limits", "verdicts", "group", "register_bytes_per_s")
	if members[9] != nil {
		d.readLimits(members[9], site, Features{Gossip: len(v.Keys()) > 1, Store: len(d.StorePeers) > 0 || d.StoreJoin})
		if len(v.Keys()) == 1 { // only limits: the gatekeeper does not take part in the gossip
			return
		}
	}
	section := &Fleet{Name: f.String(members[0]), Zone: f.String(members[1]), Region: f.String(members[2]), Bind: f.String(members[3]), Advertise: f.String(members[4]),
		Via: readVia(f, members[7]), Group: f.String(members[11]),
		RegisterBytesPerS: f.Number(members[12], fleet.MinRegisterBytes, maxRegisterBytes)}
	if v.Kind != jsonfile.Object {
		return
	}
	for _, name := range []*jsonfile.Value{members[0], members[1], members[2], members[11]} {
		if text := f.String(name); len(text) > maxFleetNameLength {
			f.AddFault(name.Path, fmt.Sprintf("has %d characters, over %d", len(text), maxFleetNameLength))
		}
	}
	if members[1] == nil || members[1].Kind == jsonfile.String && section.Zone == "" {
		f.AddFault(v.Path, "zone is missing")
	}
	if members[3] == nil {
		f.AddFault(v.Path, "bind is missing")
	}
	for i, addr := range []string{section.Bind, section.Advertise} {
		if address := members[3+i]; address != nil && address.Kind == jsonfile.String {
			if fleet.CheckAddress(addr) != nil {
				f.AddFault(address.Path, fmt.Sprintf("%q is not IP:PORT", addr))
			}
		}
	}
	if f.Expect(members[5], jsonfile.Array) {
		for _, item := range members[5].Items {
			if seed := f.String(item); seed != "" {
				section.Seeds = append(section.Seeds, seed)
			}
		}
	}
	if file := f.String(members[6]); file != "" {
		var err error
		if section.Keys, err = fleet.Keys(file); err != nil {
			f.AddFault(members[6].Path, err.Error())
		}
	}
	if duration := f.String(members[8]); duration != "" {
		var err error
		if section.ReapAfter, err = time.ParseDuration(duration); err != nil || section.ReapAfter < time.Second {
			f.AddFault(members[8].Path, strconv.Quote(duration)+" is not a duration of a second or more, such as 90s or 10m")
		}
	}
	if members[10] != nil {
		v := f.Members(members[10], "max_out")
		if section.MaxKeptOut = f.Number(v[0], 0.01, maxKeptOut); v[0] == nil {
			section.MaxKeptOut = defaultKeptOut
		}
	}
	d.Fleet = section
}

// Default and maximum of fleet.verdicts.max_out, the fraction of the servers that verdicts may keep out at once.
const (
	defaultKeptOut = 0.3
	maxKeptOut     = 0.5
)

// Bounds of the section fleet.
const (
	maxFleetNameLength = 64  // bytes
	maxRegisterBytes   = 1e9 // per second
)

// Bounds of the section calls. The bounds that the deployment's settings impose are narrower; retry.Compile checks those.
const (
	maxAttempts        = 100
	maxMilliseconds    = 600000
	maxRetries         = 10000 // per second, and in one burst
	maxCell            = 1<<31 - 1
	maxRoutes          = 1000
	maxRouteNameLength = 128 // bytes
)

// defaultBudget has the defaults of the section calls.budget.
var defaultBudget = retry.BudgetConfig{Ratio: 0.2, MinPerS: 1, Burst: 10}

// readCalls reads the section calls.
func (d *Deploy) readCalls(v *jsonfile.Value) {
	f, calls := d.source, &retry.File{}
	members := f.Members(v, "defaults", "classes", "routes", "budget", "second_copies")
	parameterKeys := make([]string, retry.ParameterCount)
	for i := range parameterKeys {
		parameterKeys[i] = retry.Parameter(i).String()
	}
	calls.Defaults = d.readValues(f.Members(members[0], parameterKeys...))
	if f.Expect(members[1], jsonfile.Object) {
		for i, name := range members[1].Keys() {
			calls.Classes = append(calls.Classes, retry.ClassValues{Name: name, Values: d.readValues(f.Members(members[1].Items[i], parameterKeys...))})
		}
	}
	if f.Expect(members[2], jsonfile.Array) {
		if len(members[2].Items) > maxRoutes {
			f.AddFault(members[2].Path, fmt.Sprintf("%d routes, over %d", len(members[2].Items), maxRoutes))
		}
		for _, item := range members[2].Items {
			routeMembers := f.Members(item, append([]string{"name", "match"}, parameterKeys...)...)
			route := retry.Route{Name: f.String(routeMembers[0]), Match: d.readMatch(routeMembers[1]), Values: d.readValues(routeMembers[2:])}
			if item.Kind == jsonfile.Object {
				switch {
				case routeMembers[0] == nil:
					f.AddFault(item.Path, "name is missing")
				case routeMembers[0].Kind == jsonfile.String && (route.Name == "" || len(route.Name) > maxRouteNameLength):
					f.AddFault(routeMembers[0].Path, fmt.Sprintf("must have 1 to %d characters", maxRouteNameLength))
				}
				if routeMembers[1] == nil {
					f.AddFault(item.Path, "match is missing; {} matches every call")
				}
			}
			calls.Routes = append(calls.Routes, route)
		}
	}
	if members[3] != nil {
		budget := f.Members(members[3], "ratio", "min_per_s", "burst")
		calls.Budget = &retry.BudgetConfig{Ratio: f.Fraction(budget[0]), MinPerS: int(f.Int(budget[1], 1, maxRetries)), Burst: int(f.Int(budget[2], 1, maxRetries))}
		if budget[0] == nil {
			calls.Budget.Ratio = defaultBudget.Ratio
		}
		if budget[1] == nil {
			calls.Budget.MinPerS = defaultBudget.MinPerS
		}
		if budget[2] == nil {
			calls.Budget.Burst = defaultBudget.Burst
		}
	}
	calls.SecondCopies, _ = f.Bool(members[4])
	d.callsFile = calls
}

// readValues reads the parameters of one object. m holds their values in the order of retry.Parameter.
func (d *Deploy) readValues(members []*jsonfile.Value) (values retry.Values) {
	for parameter := retry.Attempts; parameter <= retry.GiveUp; parameter++ {
		unit, limit := int64(1000), int64(maxMilliseconds)
		if parameter == retry.Attempts {
			unit, limit = 1, maxAttempts
		}
		if members[parameter] == nil {
			continue
		}
		if values[parameter] = unit * d.source.Int(members[parameter], 1, limit); values[parameter] == 0 {
			values[parameter] = retry.InvalidValue
		}
	}
	if retryOn := members[retry.RetryOn]; retryOn != nil {
		values[retry.RetryOn] = d.readRetryOn(retryOn)
	}
	return values
}

// readRetryOn reads a list of outcomes as a bit set, or retry.InvalidValue.
func (d *Deploy) readRetryOn(list *jsonfile.Value) int64 {
	if !d.source.Expect(list, jsonfile.Array) {
		return retry.InvalidValue
	}
	if len(list.Items) == 0 {
		d.source.AddFault(list.Path, "is empty; to disable retries set attempts to 1")
	}
	var outcomes control.Outcomes
	for _, item := range list.Items {
		if !d.source.Expect(item, jsonfile.String) {
			continue
		}
		outcome, ok := retry.ParseOutcome(item.Text)
		switch {
		case !ok:
			known := retry.OutcomeNames(0)
			d.source.AddFault(item.Path, fmt.Sprintf("%q is none of %s%s", item.Text, strings.Join(known, ", "), jsonfile.Hint(item.Text, known)))
		case outcomes.Has(outcome):
			d.source.AddFault(item.Path, fmt.Sprintf("%q is listed twice", item.Text))
		}
		if ok {
			outcomes |= control.OutcomesOf(outcome)
		}
	}
	if outcomes == 0 {
		return retry.InvalidValue
	}
	return int64(outcomes)
}

// readMatch reads the condition of one route.
func (d *Deploy) readMatch(v *jsonfile.Value) (m retry.Match) {
	f := d.source
	members := f.Members(v, "class", "number", "first_choice", "again")
	m.Class, m.Number = f.String(members[0]), f.String(members[1])
	if members[0] != nil && members[0].Kind == jsonfile.String && m.Class == "" {
		f.AddFault(members[0].Path, "is empty; omit it to match any class")
	}
	if members[1] != nil && members[1].Kind == jsonfile.String {
		digits := strings.TrimSuffix(m.Number, "*")
		switch {
		case m.Number == "":
			f.AddFault(members[1].Path, "is empty; omit it to match any number")
		case strings.Contains(digits, "*"):
			f.AddFault(members[1].Path, fmt.Sprintf("%q: a * is valid only at the end, for any further digits", m.Number))
		case !routing.ValidKey(digits):
			f.AddFault(members[1].Path, fmt.Sprintf("%q is not a valid called number", m.Number))
		}
	}
	if members[2] != nil {
		n := int(f.Int(members[2], 0, maxCell))
		m.FirstChoice = &n
	}
	if again, ok := f.Bool(members[3]); ok {
		m.Again = &again
	}
	return m
}

// compileCalls compiles the section calls against the settings of a deployment and records every fault that it finds.
func (d *Deploy) compileCalls(site *control.Site) {
	policy, faults := retry.Compile(d.callsFile, retry.RulesFromSettings(site))
	for _, fault := range faults {
		reason := fault.What
		if fault.UnknownName != "" {
			reason += jsonfile.Hint(fault.UnknownName, fault.KnownNames)
		}
		d.source.AddFault(fault.Path, reason)
	}
	d.Calls = policy
}

// Position returns the position of a path as FILE:LINE, or "" if the file does not contain it.
func (d *Deploy) Position(path string) string {
	if d.source == nil {
		return ""
	}
	line, _ := d.source.Position(path)
	if line == 0 {
		return ""
	}
	return fmt.Sprintf("%s:%d", d.source.Name, line)
}
