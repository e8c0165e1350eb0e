package latencylab

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"time"

	"beammux/control"
	"beammux/control/fleetview"
	"beammux/control/outlier"
	"beammux/control/quota"
	"beammux/control/registers"
	"beammux/internal/counting"
	"beammux/internal/fleet"
	"beammux/internal/inventory"
)

// Sizes at which the steps are measured.
var (
	ServerSizes = []int{24, 34, 100, 400, 1100, 2200}
	MemberSizes = []int{16, 34, 100, 400, 1100, 2200}
	squareSizes = []int{16, 34, 100, 400, 1100} // members that each report on as many servers: quadratic growth
)

// Parameters of the fleet for which the steps are measured.
const (
	stepGatekeepers = 2200
	serviceServers  = 34 // 2,200 servers over 65 services
	reportedServers = 24 // most servers that one member reports on (package ejection)
	registerBytes   = 1000
	maxOrigins      = 1024 // most origins in a register replica, for the note on larger sizes
)

// Steps measures computations of the program, without I/O, at growing sizes.
type Steps struct {
	Repeats  int           // values of each point
	Span     time.Duration // time spent on each value
	Only     string        // substring of the names to measure; "": all
	Progress func(string)  // receives progress lines; may be nil
}

// step is one series to measure. prepare builds the state for a size; its note is stored with the point.
type step struct {
	name, unit, of string
	sizes          []int
	prepare        func(n int) (op operation, note string, err error)
	count          func(n int) (value float64, note string, err error) // replaces prepare for a quantity that is not a duration
}

// Run measures all steps. If the context ends, it returns the completed series with the context's error.
func (s Steps) Run(ctx context.Context) (*Report, error) {
	report := &Report{}
	for _, step := range allSteps() {
		if !strings.Contains(step.name, s.Only) {
			continue
		}
		series := Series{Name: step.name, Unit: step.unit, Of: step.of}
		for _, n := range step.sizes {
			if ctx.Err() != nil {
				return report, ctx.Err()
			}
			point, err := s.point(step, n)
			if err != nil {
				return nil, fmt.Errorf("%s at %d: %w", step.name, n, err)
			}
			series.Points = append(series.Points, point)
			slow := step.count == nil && len(point.Values) == 1 && s.Repeats > 1
			if s.Progress != nil {
				s.Progress(fmt.Sprintf("%s at %d: %.4g %s %s", step.name, n, median(point.Values), step.unit, point.Note))
			}
			if slow {
				last := &series.Points[len(series.Points)-1]
				last.Note += fmt.Sprintf("; measured once and not at larger sizes: over %v", slowOperation)
				break
			}
		}
		report.Series = append(report.Series, series)
	}
	return report, nil
}

func (s Steps) point(step step, n int) (Point, error) {
	if step.count != nil {
		value, note, err := step.count(n)
		return Point{N: n, Values: []float64{value}, Note: note}, err
	}
	op, note, err := step.prepare(n)
	if err != nil {
		return Point{}, err
	}
	runtime.GC()
	return Point{N: n, Values: measure(op, s.Repeats, s.Span), Note: note}, nil
}

func allSteps() []step {
	return append(append(decisionSteps(), sharedSteps()...), fleetSteps()...)
}

func decisionSteps() []step {
	with := func(f func(d *Decider) time.Duration) func(int) (operation, string, error) {
		return func(n int) (operation, string, error) {
			d, err := NewDecider(n, stepGatekeepers)
			if err != nil {
				return nil, "", err
			}
			return wallTimed(func() time.Duration { return f(d) }), "", nil
		}
	}
	return []step{
		{name: "decision_us", unit: "us", of: "servers known", sizes: ServerSizes, prepare: with((*Decider).Call)},
		{name: "tick_us", unit: "us", of: "servers known", sizes: ServerSizes, prepare: with((*Decider).Tick)},
		{name: "list_change_us", unit: "us", of: "servers known", sizes: ServerSizes, prepare: with((*Decider).Change)},
		{name: "list_whole_us", unit: "us", of: "servers known", sizes: ServerSizes, prepare: wholeList},
		{name: "inventory_csv_us", unit: "us", of: "servers listed", sizes: ServerSizes, prepare: inventoryParse("csv")},
		{name: "inventory_yaml_us", unit: "us", of: "servers listed", sizes: ServerSizes, prepare: inventoryParse("yaml")},
	}
}

// wholeList measures the processing of the first complete list by an empty controller.
func wholeList(n int) (operation, string, error) {
	site, err := DecisionSite(stepGatekeepers)
	if err != nil {
		return nil, "", err
	}
	all := entries(n)
	return wallTimed(func() time.Duration {
		c := control.New(site.Settings, 1)
		start := time.Now()
		c.Handle(1e6, control.List{Entries: all})
		return time.Since(start)
	}), "", nil
}

func inventoryParse(form string) func(int) (operation, string, error) {
	return func(n int) (operation, string, error) {
		text := InventoryCSV(n, func(i int) string { return fmt.Sprintf("10.%d.%d.%d:5060", i>>16, i>>8&255, i&255) })
		if form == "yaml" {
			text = inventoryYAML(n)
		}
		hosts, err := inventory.Parse("servers."+form, text)
		if err != nil || len(hosts) != n {
			return nil, "", fmt.Errorf("parsed %d of %d hosts: %w", len(hosts), n, err)
		}
		return threadTimed(func() { inventory.Parse("servers."+form, text) }), fmt.Sprintf("%d bytes", len(text)), nil
	}
}

// InventoryCSV returns an inventory of servers as CSV. The cell of each server is its index.
func InventoryCSV(servers int, address func(i int) string) []byte {
	text := []byte("name,address,cell\n")
	for i := range servers {
		text = fmt.Appendf(text, "s-%08x,%s,%d\n", i+1, address(i), i)
	}
	return text
}

func inventoryYAML(servers int) []byte {
	text := []byte("all:\n  hosts:\n")
	for i := range servers {
		text = fmt.Appendf(text, "    s-%08x:\n      address: 10.%d.%d.%d:5060\n      cell: %d\n", i+1, i>>16, i>>8&255, i&255, i)
	}
	return text
}

func sharedSteps() []step {
	return []step{
		{name: "quota_take_us", unit: "us", of: "rules", sizes: MemberSizes, prepare: quotaTake},
		{name: "quota_arrived_us", unit: "us", of: "rules", sizes: MemberSizes, prepare: quotaArrived},
		{name: "lease_reduce_us", unit: "us", of: "holders", sizes: MemberSizes, prepare: leaseReduce},
		{name: "lease_table_bytes", unit: "bytes", of: "holders", sizes: MemberSizes, count: leaseBytes},
		{name: "counting_observe_us", unit: "us", of: "servers seen", sizes: ServerSizes, prepare: countingObserve},
		{name: "counting_rates_us", unit: "us", of: "servers seen", sizes: ServerSizes, prepare: countingRates},
	}
}

// quotaMember returns a member with n rules for single numbers that are not shared with other members: the cost of matching a
// call does not depend on how a limit is shared. The limits are never reached.
func quotaMember(n int) *quota.Member {
	rules := make([]quota.Rule, n)
	for i := range rules {
		rules[i] = quota.Rule{Name: fmt.Sprintf("r%d", i), Tenant: -1, Class: -1, Number: fmt.Sprintf("%08d", i), Mode: quota.Alone,
			PerS: 1e9, Burst: 1e9}
	}
	m := quota.NewMember("g1", 1, quota.Limits{Rules: rules, Parts: 1, MayUseReserve: []bool{false, true, false}}, 1e6)
	return m
}

func quotaTake(n int) (operation, string, error) {
	m, now, i := quotaMember(n), control.Micros(2e6), 0
	return threadTimed(func() {
		now, i = now+callInterval, i+1
		claim, _, _ := m.Take(now, -1, 0, fmt.Sprintf("%08d", i*7%n))
		m.Done(claim)
	}), "one rule matches each call", nil
}

func quotaArrived(n int) (operation, string, error) {
	m, now, i := quotaMember(n), control.Micros(2e6), 0
	return threadTimed(func() {
		now, i = now+callInterval, i+1
		m.CountArrival(now, -1, 0, fmt.Sprintf("%08d", i*7%n))
	}), "one rule matches each call", nil
}

// leaseTable returns the encoded table of one pool with n holders, and a function that encodes a request of one of them.
func leaseTable(n int) (table []byte, request func(seq uint64) []byte, err error) {
	encode := func(member int, seq uint64) []byte {
		text, _ := json.Marshal(quota.Request{Member: fmt.Sprintf("gatekeeper-%04d", member), Incarnation: 1, Seq: seq, Duration: quota.LeaseDuration,
			Capacities: []quota.CapacityRequest{{Name: "all-calls", Capacity: 420000, Keep: 420000 / float64(n), Want: 191}}})
		return text
	}
	// Applies the first request of each holder directly, which gives the table of a steady state.
	t := &quota.Table{}
	for i := range n {
		var r quota.Request
		if err := json.Unmarshal(encode(i, 1), &r); err != nil {
			return nil, nil, err
		}
		if _, err := t.Apply(r, 1, 1e6); err != nil {
			return nil, nil, err
		}
	}
	table, err = json.Marshal(t)
	return table, func(seq uint64) []byte { return encode(n/2, seq) }, err
}

// leaseReduce measures one renewal as the store's state machine applies it: the whole table is decoded, changed and encoded.
func leaseReduce(n int) (operation, string, error) {
	table, request, err := leaseTable(n)
	if err != nil {
		return nil, "", err
	}
	seq, reduceErr := uint64(1), error(nil)
	op := threadTimed(func() {
		seq++
		if _, _, err := quota.Reduce(table, request(seq), 1, 1e6+withinLease(seq)); err != nil {
			reduceErr = err
		}
	})
	op(1)
	return op, "one pool", reduceErr
}

// withinLease returns a time offset within the duration of the leases, so that none expires.
func withinLease(seq uint64) control.Micros { return control.Micros(seq % 1000) }

func leaseBytes(n int) (float64, string, error) {
	table, _, err := leaseTable(n)
	return float64(len(table)), "one pool; read and written whole at each renewal", err
}

// newCounters returns counters that have seen n servers, and a function that observes one more event.
func newCounters(n int) (*counting.Counters, func()) {
	c, now, i := counting.New(counting.Options{Classes: 3}), control.Micros(1e6), 0
	observe := func() {
		now, i = now+callInterval, i+1
		c.Observe(now, counting.Event{Kind: counting.Answered, Class: i % 3, Tenant: -1, Server: uint32(i*7%n + 1)})
	}
	for range 4 * n {
		observe()
	}
	return c, observe
}

func countingObserve(n int) (operation, string, error) {
	_, observe := newCounters(n)
	return threadTimed(observe), "", nil
}

func countingRates(n int) (operation, string, error) {
	c, _ := newCounters(n)
	return threadTimed(func() { c.Rates(2e6) }), "", nil
}

func fleetSteps() []step {
	return []step{
		{name: "registers_merge_us", unit: "us", of: "origins", sizes: MemberSizes, prepare: registersMerge},
		{name: "registers_read_us", unit: "us", of: "origins", sizes: MemberSizes, prepare: registersRead},
		{name: "registers_state_us", unit: "us", of: "origins", sizes: MemberSizes, prepare: registersState},
		{name: "registers_refused", unit: "origins", of: "origins", sizes: MemberSizes, count: registersRefused},
		{name: "view_apply_us", unit: "us", of: "members", sizes: MemberSizes, prepare: viewStep(suspectAndAnswer)},
		{name: "view_hash_us", unit: "us", of: "members", sizes: MemberSizes, prepare: viewStep(func(v *fleetview.View, _ int) { v.Hash() })},
		{name: "view_members_us", unit: "us", of: "members", sizes: MemberSizes,
			prepare: viewStep(func(v *fleetview.View, _ int) { v.Members() })},
		{name: "judge_round_service_us", unit: "us", of: "members", sizes: MemberSizes, prepare: outlierRoundService},
		{name: "judge_round_told_us", unit: "us", of: "members", sizes: MemberSizes, prepare: outlierRoundReported},
		{name: "judge_round_square_us", unit: "us", of: "members and servers, all told", sizes: squareSizes, prepare: outlierRoundSquare},
	}
}

// newReplica returns a replica into which a limits register of each of n origins was merged, and the number of origins that it
// refused.
func newReplica(n int) (replica *registers.Replica, refused int) {
	replica = registers.New("g-self", 1, fleet.Topics)
	replica.Put(1e6, registers.Limits, make([]byte, registerBytes))
	for i := range n {
		if _, err := replica.Merge(1e6, register(i, 1)); err != nil {
			refused++
		}
	}
	return replica, refused
}

func register(origin int, seq uint64) registers.Register {
	return registers.Register{Topic: registers.Limits, Origin: fmt.Sprintf("gatekeeper-%04d", origin), Start: 1, Seq: seq,
		Value: make([]byte, registerBytes)}
}

func refusedNote(refused int) string {
	if refused == 0 {
		return ""
	}
	return fmt.Sprintf("%d origins refused: the bound is %d; the figure is that of the origins held", refused, maxOrigins)
}

func registersMerge(n int) (operation, string, error) {
	replica, refused := newReplica(n)
	seq, i, now := uint64(1), 0, control.Micros(1e6)
	all := make([]registers.Register, n)
	for i := range all {
		all[i] = register(i, 0)
	}
	return threadTimed(func() {
		if i%n == 0 {
			seq++
		}
		now++
		r := all[i*7%n]
		r.Seq = seq + uint64(i)
		replica.Merge(now, r)
		i++
	}), refusedNote(refused), nil
}

func registersRead(n int) (operation, string, error) {
	replica, refused := newReplica(n)
	up := func(string, uint64) bool { return true }
	return threadTimed(func() { replica.Read(1e6+1, registers.Limits, up) }), refusedNote(refused), nil
}

func registersState(n int) (operation, string, error) {
	replica, refused := newReplica(n)
	return threadTimed(func() { replica.State(1e6 + 1) }), refusedNote(refused), nil
}

func registersRefused(n int) (float64, string, error) {
	_, refused := newReplica(n)
	return float64(refused), refusedNote(refused), nil
}

func viewMember(i int, seq uint64) fleetview.Member {
	m := fleetview.Member{Name: fmt.Sprintf("gatekeeper-%04d", i), Zone: fmt.Sprintf("zone-%d", i%6), Region: fmt.Sprintf("region-%d", i%3),
		Program: "1.0", Start: 1, Seq: seq, State: fleetview.Ready, Address: fmt.Sprintf("10.0.%d.%d:7000", i>>8, i&255)}
	for s := range reportedServers {
		m.Servers = append(m.Servers, fleetview.Summary{Server: uint32(s + 1)})
	}
	return m
}

func viewStep(f func(v *fleetview.View, i int)) func(int) (operation, string, error) {
	return func(n int) (operation, string, error) {
		v := fleetview.New(viewMember(0, 1), 1e6, 60e6)
		for i := 1; i < n; i++ {
			m := viewMember(i, 1)
			v.Apply(1e6, fleetview.Event{Kind: fleetview.EventAlive, Name: m.Name, Member: m})
		}
		if got := len(v.Members()); got != n {
			return nil, "", fmt.Errorf("the view has %d members", got)
		}
		i := 0
		return threadTimed(func() {
			i++
			f(v, 1+i%(n-1))
		}), "", nil
	}
}

// suspectAndAnswer applies two events: a member is suspected and then answers a probe.
func suspectAndAnswer(v *fleetview.View, i int) {
	name := fmt.Sprintf("gatekeeper-%04d", i)
	v.Apply(2e6, fleetview.Event{Kind: fleetview.EventSuspected, Name: name})
	v.Apply(2e6, fleetview.Event{Kind: fleetview.EventProbeAnswered, Name: name})
}

// outlierRound returns an operation that runs one round of outlier detection. Each member reports on the given number of
// servers, all of them healthy.
func outlierRound(members, servers, reported int) operation {
	var all []outlier.Evidence
	var list []outlier.Server
	var up []string
	for s := range servers {
		list = append(list, outlier.Server{ID: uint32(s + 1)})
	}
	for m := range members {
		e := outlier.Evidence{Member: fmt.Sprintf("gatekeeper-%04d", m), Age: 10000}
		for s := range reported {
			e.Servers = append(e.Servers, outlier.Observation{Server: uint32((m*reported+s)%servers + 1), Successes: 30, SuccessAge: 10000, FailureAge: -1})
		}
		all, up = append(all, e), append(up, e.Member)
	}
	detector, now := outlier.New("gatekeeper-0000", 0.3), control.Micros(1e9)
	return threadTimed(func() {
		now += 100000
		detector.Update(now, all, list, up)
	})
}

func outlierRoundService(n int) (operation, string, error) {
	return outlierRound(n, serviceServers, reportedServers), fmt.Sprintf("%d servers on the list, %d told by each member", serviceServers, reportedServers), nil
}

func outlierRoundReported(n int) (operation, string, error) {
	reported := min(n, reportedServers)
	return outlierRound(n, n, reported), fmt.Sprintf("as many servers on the list as members, %d told by each member, as the program bounds it", reported), nil
}

func outlierRoundSquare(n int) (operation, string, error) {
	return outlierRound(n, n, n), "every member tells of every server, which the program does not do (24 at most)", nil
}
