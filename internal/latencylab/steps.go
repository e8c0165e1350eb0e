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
	squareSizes = []int{16, 34, 100, 400, 1100} // members that each tell of as many servers: grows with the square
)

// Figures of the fleet that the steps are measured for.
const (
	stepGatekeepers = 2200
	serviceServers  = 34 // 2,200 servers over 65 services
	toldServers     = 24 // that one member tells of at most (package ejection)
	registerBytes   = 1000
	mostOrigins     = 1024 // that a book of registers takes, for the note beside larger sizes
)

// Steps measures the pure steps of the program at growing sizes.
type Steps struct {
	Repeats  int           // values of each point
	Span     time.Duration // of each value
	Only     string        // part of the names to measure; "": all
	Progress func(string)  // progress; may be nil
}

// step is one series to measure. prepare builds the state for a size; its note goes to the point.
type step struct {
	name, unit, of string
	sizes          []int
	prepare        func(n int) (op operation, note string, err error)
	count          func(n int) (value float64, note string, err error) // in place of prepare: a figure that is no time
}

// Run measures all steps. It ends early, with what it has, when the context does.
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
			return timed(func() time.Duration { return f(d) }), "", nil
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

// wholeList measures the first whole list that an empty controller takes.
func wholeList(n int) (operation, string, error) {
	site, err := DecisionSite(stepGatekeepers)
	if err != nil {
		return nil, "", err
	}
	all := entries(n)
	return timed(func() time.Duration {
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
			return nil, "", fmt.Errorf("%d of %d hosts read: %w", len(hosts), n, err)
		}
		return each(func() { inventory.Parse("servers."+form, text) }), fmt.Sprintf("%d bytes", len(text)), nil
	}
}

// InventoryCSV writes a list of servers, the cell of each its place.
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

// quotaMember makes a member with n rules for single numbers, all alone: what a call pays for matching does not hang on how a
// limit is shared. The bounds are never reached.
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
	return each(func() {
		now, i = now+decisionGap, i+1
		claim, _, _ := m.Take(now, -1, 0, fmt.Sprintf("%08d", i*7%n))
		m.Done(claim)
	}), "one rule matches each call", nil
}

func quotaArrived(n int) (operation, string, error) {
	m, now, i := quotaMember(n), control.Micros(2e6), 0
	return each(func() {
		now, i = now+decisionGap, i+1
		m.CountArrival(now, -1, 0, fmt.Sprintf("%08d", i*7%n))
	}), "one rule matches each call", nil
}

// leaseTable makes the table of one pool with n holders, and a request of one of them.
func leaseTable(n int) (table []byte, request func(seq uint64) []byte, err error) {
	ask := func(member int, seq uint64) []byte {
		text, _ := json.Marshal(quota.Request{Member: fmt.Sprintf("gatekeeper-%04d", member), Incarnation: 1, Seq: seq, Duration: quota.LeaseDuration,
			Capacities: []quota.CapacityRequest{{Name: "all-calls", Capacity: 420000, Keep: 420000 / float64(n), Want: 191}}})
		return text
	}
	// Built in one process, as the table would be at rest; each request is carried out once.
	t := &quota.Table{}
	for i := range n {
		var r quota.Request
		if err := json.Unmarshal(ask(i, 1), &r); err != nil {
			return nil, nil, err
		}
		if _, err := t.Apply(r, 1, 1e6); err != nil {
			return nil, nil, err
		}
	}
	table, err = json.Marshal(t)
	return table, func(seq uint64) []byte { return ask(n/2, seq) }, err
}

// leaseReduce measures one renewal as the store's machine carries it out: the whole table is read, changed and written.
func leaseReduce(n int) (operation, string, error) {
	table, request, err := leaseTable(n)
	if err != nil {
		return nil, "", err
	}
	seq, fault := uint64(1), error(nil)
	op := each(func() {
		seq++
		if _, _, err := quota.Reduce(table, request(seq), 1, 1e6+seqMicros(seq)); err != nil {
			fault = err
		}
	})
	op(1)
	return op, "one pool", fault
}

// seqMicros lets time pass within the term of the leases, so that none ends.
func seqMicros(seq uint64) control.Micros { return control.Micros(seq % 1000) }

func leaseBytes(n int) (float64, string, error) {
	table, _, err := leaseTable(n)
	return float64(len(table)), "one pool; read and written whole at each renewal", err
}

// counters makes counters that have seen n servers.
func counters(n int) (*counting.Counters, func()) {
	c, now, i := counting.New(counting.Options{Classes: 3}), control.Micros(1e6), 0
	see := func() {
		now, i = now+decisionGap, i+1
		c.Observe(now, counting.Event{Kind: counting.Answered, Class: i % 3, Tenant: -1, Server: uint32(i*7%n + 1)})
	}
	for range 4 * n {
		see()
	}
	return c, see
}

func countingObserve(n int) (operation, string, error) {
	_, see := counters(n)
	return each(see), "", nil
}

func countingRates(n int) (operation, string, error) {
	c, _ := counters(n)
	return each(func() { c.Rates(2e6) }), "", nil
}

func fleetSteps() []step {
	return []step{
		{name: "registers_merge_us", unit: "us", of: "origins", sizes: MemberSizes, prepare: registersMerge},
		{name: "registers_read_us", unit: "us", of: "origins", sizes: MemberSizes, prepare: registersRead},
		{name: "registers_state_us", unit: "us", of: "origins", sizes: MemberSizes, prepare: registersState},
		{name: "registers_refused", unit: "origins", of: "origins", sizes: MemberSizes, count: registersRefused},
		{name: "view_apply_us", unit: "us", of: "members", sizes: MemberSizes, prepare: viewStep(applyOne)},
		{name: "view_hash_us", unit: "us", of: "members", sizes: MemberSizes, prepare: viewStep(func(v *fleetview.View, _ int) { v.Hash() })},
		{name: "view_members_us", unit: "us", of: "members", sizes: MemberSizes,
			prepare: viewStep(func(v *fleetview.View, _ int) { v.Members() })},
		{name: "judge_round_service_us", unit: "us", of: "members", sizes: MemberSizes, prepare: judgeService},
		{name: "judge_round_told_us", unit: "us", of: "members", sizes: MemberSizes, prepare: judgeTold},
		{name: "judge_round_square_us", unit: "us", of: "members and servers, all told", sizes: squareSizes, prepare: judgeSquare},
	}
}

// book makes a book that has heard a limits register of each of n origins, and counts the origins that it refused.
func book(n int) (b *registers.Replica, refused int) {
	b = registers.New("g-self", 1, fleet.Topics)
	b.Put(1e6, registers.Limits, make([]byte, registerBytes))
	for i := range n {
		if _, err := b.Merge(1e6, register(i, 1)); err != nil {
			refused++
		}
	}
	return b, refused
}

func register(origin int, seq uint64) registers.Register {
	return registers.Register{Topic: registers.Limits, Origin: fmt.Sprintf("gatekeeper-%04d", origin), Start: 1, Seq: seq,
		Value: make([]byte, registerBytes)}
}

func refusedNote(refused int) string {
	if refused == 0 {
		return ""
	}
	return fmt.Sprintf("%d origins refused: the bound is %d; the figure is that of the origins held", refused, mostOrigins)
}

func registersMerge(n int) (operation, string, error) {
	b, refused := book(n)
	seq, i, now := uint64(1), 0, control.Micros(1e6)
	all := make([]registers.Register, n)
	for i := range all {
		all[i] = register(i, 0)
	}
	return each(func() {
		if i%n == 0 {
			seq++
		}
		now++
		r := all[i*7%n]
		r.Seq = seq + uint64(i)
		b.Merge(now, r)
		i++
	}), refusedNote(refused), nil
}

func registersRead(n int) (operation, string, error) {
	b, refused := book(n)
	up := func(string, uint64) bool { return true }
	return each(func() { b.Read(1e6+1, registers.Limits, up) }), refusedNote(refused), nil
}

func registersState(n int) (operation, string, error) {
	b, refused := book(n)
	return each(func() { b.State(1e6 + 1) }), refusedNote(refused), nil
}

func registersRefused(n int) (float64, string, error) {
	_, refused := book(n)
	return float64(refused), refusedNote(refused), nil
}

func viewMember(i int, seq uint64) fleetview.Member {
	m := fleetview.Member{Name: fmt.Sprintf("gatekeeper-%04d", i), Zone: fmt.Sprintf("zone-%d", i%6), Region: fmt.Sprintf("region-%d", i%3),
		Program: "1.0", Start: 1, Seq: seq, State: fleetview.Ready, Address: fmt.Sprintf("10.0.%d.%d:7000", i>>8, i&255)}
	for s := range toldServers {
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
		return each(func() {
			i++
			f(v, 1+i%(n-1))
		}), "", nil
	}
}

// applyOne lets a member be suspected and answer again: two events.
func applyOne(v *fleetview.View, i int) {
	name := fmt.Sprintf("gatekeeper-%04d", i)
	v.Apply(2e6, fleetview.Event{Kind: fleetview.EventSuspected, Name: name})
	v.Apply(2e6, fleetview.Event{Kind: fleetview.EventProbeAnswered, Name: name})
}

// judge makes a round of a bench: members that each tell of some servers on a list of servers, all well.
func judge(members, servers, told int) operation {
	var all []outlier.Evidence
	var list []outlier.Server
	var up []string
	for s := range servers {
		list = append(list, outlier.Server{ID: uint32(s + 1)})
	}
	for m := range members {
		e := outlier.Evidence{Member: fmt.Sprintf("gatekeeper-%04d", m), Age: 10000}
		for s := range told {
			e.Servers = append(e.Servers, outlier.Observation{Server: uint32((m*told+s)%servers + 1), Successes: 30, SuccessAge: 10000, FailureAge: -1})
		}
		all, up = append(all, e), append(up, e.Member)
	}
	b, now := outlier.New("gatekeeper-0000", 0.3), control.Micros(1e9)
	return each(func() {
		now += 100000
		b.Update(now, all, list, up)
	})
}

func judgeService(n int) (operation, string, error) {
	return judge(n, serviceServers, toldServers), fmt.Sprintf("%d servers on the list, %d told by each member", serviceServers, toldServers), nil
}

func judgeTold(n int) (operation, string, error) {
	told := min(n, toldServers)
	return judge(n, n, told), fmt.Sprintf("as many servers on the list as members, %d told by each member, as the program bounds it", told), nil
}

func judgeSquare(n int) (operation, string, error) {
	return judge(n, n, n), "every member tells of every server, which the program does not do (24 at most)", nil
}
