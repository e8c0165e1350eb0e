// Package fleet maintains a gatekeeper's membership view of its fleet by gossip: SWIM with suspicion, refutation and
// incarnation numbers, as implemented by hashicorp/memberlist. Package control/fleetview holds the view and decides how an
// event changes it; this package delivers the events and publishes the local member's state, summaries and registers.
//
// memberlist stops contacting a member once it is dead. This package therefore tries to rejoin the members it lost and its
// seeds, one per second, so that both sides of a network partition find each other after it heals.
package fleet

import (
	"fmt"
	stdlog "log"
	"math/rand/v2"
	"net"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/fleetview"
	"beammux/control/registers"
)

// Protocol parameters. With 32 members, a member that does not answer is declared dead within 2 to 9 s, depending on how many
// others confirm the suspicion.
const (
	probeInterval         = 500 * time.Millisecond
	probeTimeout          = 250 * time.Millisecond
	suspicionMult         = 4 // minimum suspicion timeout: suspicionMult * max(1, log10(members)) * probeInterval
	suspicionMaxMult      = 3 // the timeout without any confirmation is this multiple of the minimum
	gossipInterval        = 100 * time.Millisecond
	gossipNodes           = 3
	pushPullInterval      = 10 * time.Second // between full state exchanges with one other member
	streamTimeout         = time.Second
	gossipToDeadTime      = 30 * time.Second // a dead member still receives gossip for this long, so that it can refute
	rejoinInterval        = time.Second      // between attempts to rejoin an unreachable member or seed
	unsettledTime         = 5 * time.Second  // after a view change, full states are exchanged every rejoinInterval for this long
	summaryInterval       = time.Second      // between checks whether the local summary has changed
	summaryRefresh        = 5 * time.Second  // between publications of an unchanged summary, per summaryRefreshMembers members
	summaryRefreshMembers = 8
	leaveTimeout          = 500 * time.Millisecond
	maxProgramLength      = 64
	anyPortAttempts       = 20
)

// DefaultReapAfter is how long a dead member stays in the view if Options.ReapAfter is 0.
const DefaultReapAfter = 10 * time.Minute

// Options configure a member.
type Options struct {
	Name, Zone, Region, Program string
	// Group names the gossip that this member takes part in, such as that of its service. Members of other groups, or of no
	// group, are never joined, even if a seed or an address belongs to one of them. "" is the unnamed group.
	Group         string
	Bind          string            // IP:PORT to listen on, UDP and TCP; port 0 selects a free port
	Advertise     string            // IP:PORT at which others reach this member; "" is the listen address
	Seeds         []string          // addresses of members to join; one that answers is enough
	Keys          [][]byte          // gossip encryption keys, the first one encrypts; nil disables encryption
	Via           map[string]string // address to dial for a member, by its advertised address
	ReapAfter     time.Duration     // 0 means DefaultReapAfter
	RegisterBytes float64           // maximum register bytes sent per second; 0 means unlimited
	State         fleetview.State   // initial state
	Summaries     func() []fleetview.Summary
	Log           logrus.FieldLogger
}

// Fleet is the local member of the gossip.
type Fleet struct {
	options      Options
	list         *memberlist.Memberlist
	net          *transport
	summaryQueue *memberlist.TransmitLimitedQueue
	log          logrus.FieldLogger
	startTime    time.Time
	startMicros  control.Micros
	stop         chan struct{}
	done         sync.WaitGroup
	once         sync.Once

	mu            sync.Mutex
	view          *fleetview.View
	publishedAt   time.Time // when the local summary was last published
	changes       int64
	viewChangedAt time.Time // when the view last changed

	incarnation uint64 // start time of this member, Unix ms
	registers   *memberlist.TransmitLimitedQueue
	budget      *registerBudget // bounds the register bytes sent

	registersMu  sync.Mutex // lock order: mu is never locked while registersMu is held
	registerBook *registers.Replica
	faults       map[string]*Fault
}

// meta is the metadata that a member publishes about itself in addition to its name and address.
type meta struct {
	Zone    string          `cbor:"1,keyasint"`
	Region  string          `cbor:"2,keyasint"`
	Program string          `cbor:"3,keyasint"`
	Start   uint64          `cbor:"4,keyasint"`
	Seq     uint64          `cbor:"5,keyasint"`
	State   fleetview.State `cbor:"6,keyasint"`
}

// summary holds a member's observations of the servers.
type summary struct {
	Name    string              `cbor:"1,keyasint"`
	Start   uint64              `cbor:"2,keyasint"`
	Seq     uint64              `cbor:"3,keyasint"`
	Servers []fleetview.Summary `cbor:"4,keyasint"`
	// Registers is set only in a summary without a name, the last one of a full state. Builds that predate registers ignore
	// such a summary.
	Registers []cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// decodeMode decodes messages of other members. Its limits bound the cost of a malicious or damaged message.
var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxNestedLevels: 8, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Open starts a member. It returns once the member listens; the seeds are joined in the background.
func Open(o Options) (*Fleet, error) {
	ip, port, ok := splitHostPort(o.Bind)
	if !ok {
		return nil, fmt.Errorf("fleet: bind %q is not IP:PORT", o.Bind)
	}
	if o.ReapAfter <= 0 {
		o.ReapAfter = DefaultReapAfter
	}
	if len(o.Program) > maxProgramLength {
		o.Program = o.Program[:maxProgramLength]
	}
	now := time.Now()
	f := &Fleet{options: o, log: o.Log, startTime: now, startMicros: control.Micros(now.UnixMicro()), stop: make(chan struct{}),
		incarnation: uint64(now.UnixMilli()), faults: map[string]*Fault{}}
	f.registerBook = registers.New(o.Name, f.incarnation, Topics)
	// With port 0 the library picks a free TCP port and then binds the same UDP port, which may be in use: retry.
	var netTransport *memberlist.NetTransport
	var err error
	for attempt := 0; attempt == 0 || err != nil && port == 0 && attempt < anyPortAttempts; attempt++ {
		netTransport, err = memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{ip.String()}, BindPort: port,
			Logger: f.logger()})
	}
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f.net = &transport{NetTransport: netTransport, host: ip, port: netTransport.GetAutoBindPort(), via: o.Via}
	if o.Advertise != "" {
		if f.net.host, f.net.port, ok = splitHostPort(o.Advertise); !ok {
			netTransport.Shutdown()
			return nil, fmt.Errorf("fleet: advertise %q is not IP:PORT", o.Advertise)
		}
	}
	f.view = fleetview.New(fleetview.Member{Name: o.Name, Zone: o.Zone, Region: o.Region, Program: o.Program,
		Start: f.incarnation, Seq: 1, State: o.State, Address: net.JoinHostPort(f.net.host.String(), fmt.Sprint(f.net.port))}, f.now(), control.Micros(o.ReapAfter.Microseconds()))
	config := memberlist.DefaultLANConfig()
	config.Name, config.Transport, config.Logger = o.Name, f.net, f.logger()
	config.Label = o.Group // sent with every packet and stream; those with another label are dropped
	config.ProbeInterval, config.ProbeTimeout, config.AwarenessMaxMultiplier = probeInterval, probeTimeout, 4
	config.SuspicionMult, config.SuspicionMaxTimeoutMult = suspicionMult, suspicionMaxMult
	config.GossipInterval, config.GossipNodes, config.GossipToTheDeadTime = gossipInterval, gossipNodes, gossipToDeadTime
	config.PushPullInterval, config.TCPTimeout = pushPullInterval, streamTimeout
	config.DeadNodeReclaimTime = time.Millisecond // a dead member may rejoin under its name at another address
	config.EnableCompression = false              // messages are small
	config.Delegate, config.Events, config.Ping, config.Conflict = (*delegate)(f), (*delegate)(f), (*delegate)(f), (*delegate)(f)
	if len(o.Keys) > 0 {
		if config.Keyring, err = memberlist.NewKeyring(o.Keys, o.Keys[0]); err != nil {
			netTransport.Shutdown()
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	f.summaryQueue = &memberlist.TransmitLimitedQueue{RetransmitMult: config.RetransmitMult, NumNodes: f.membersUp}
	f.registers = &memberlist.TransmitLimitedQueue{RetransmitMult: registerRetransmitMult, NumNodes: f.membersUp}
	f.budget = newRegisterBudget(f.registers, o.RegisterBytes)
	if f.list, err = memberlist.Create(config); err != nil {
		netTransport.Shutdown()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f.done.Go(f.rejoin)
	f.done.Go(f.publishSummaries)
	f.done.Go(f.publishRegisters)
	return f, nil
}

// now returns the Unix time in microseconds, based on the monotonic clock: a clock adjustment does not move it.
func (f *Fleet) now() control.Micros {
	return f.startMicros + control.Micros(time.Since(f.startTime).Microseconds())
}

// Addr returns the address that the gossip listens on.
func (f *Fleet) Addr() string {
	return net.JoinHostPort(f.options.Bind[:strings.LastIndexByte(f.options.Bind, ':')], fmt.Sprint(f.net.GetAutoBindPort()))
}

// apply applies an event to the view and logs the resulting changes.
func (f *Fleet) apply(e fleetview.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.view.Apply(f.now(), e) {
		f.changes++
		f.viewChangedAt = time.Now()
		log := f.log.WithFields(logrus.Fields{"member": c.Name, "health": c.Health.String(), "state": c.State.String(), "view": f.view.Version()})
		switch {
		case c.Reaped:
			log.Info("fleet: member removed from the view")
		case c.Joined:
			log.Info("fleet: member met")
		case c.Health == fleetview.Dead:
			log.Warn("fleet: member given up")
		default:
			log.Info("fleet: member changed")
		}
	}
}

// membersUp returns the number of members that are alive or suspect, including this one.
func (f *Fleet) membersUp() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Count(fleetview.Alive) + f.view.Count(fleetview.Suspect)
}

// SetState publishes the state of this member. It does not wait for other members to receive it.
func (f *Fleet) SetState(s fleetview.State) {
	f.setSelfState(s)
	f.done.Go(func() { f.list.UpdateNode(leaveTimeout) })
}

// setSelfState sets the state of this member in the local view.
func (f *Fleet) setSelfState(s fleetview.State) {
	f.mu.Lock()
	servers := f.view.Self().Servers
	f.mu.Unlock()
	f.apply(fleetview.Event{Kind: fleetview.EventLocalState, Name: f.options.Name, Member: fleetview.Member{State: s, Servers: servers}})
}

// rejoin tries to join one unreachable member or seed every rejoinInterval until Close. If there is none and the view changed
// within unsettledTime, it exchanges full states with a random member instead: gossip loses some updates when many members
// change at once, and those would otherwise arrive only with the next push/pull, up to pushPullInterval later.
func (f *Fleet) rejoin() {
	rng := rand.New(rand.NewPCG(uint64(f.startMicros), uint64(f.net.port)))
	for first := true; ; first = false {
		f.mu.Lock()
		unreachable := f.view.DeadAddresses()
		members := f.view.Members()
		unsettled := time.Since(f.viewChangedAt) < unsettledTime
		f.mu.Unlock()
		for _, seed := range f.options.Seeds {
			if !slices.ContainsFunc(members, func(m fleetview.Member) bool { return m.Address == seed && m.Health.Up() }) {
				unreachable = append(unreachable, seed)
			}
		}
		if unsettled && len(unreachable) == 0 && len(members) > 1 {
			if m := members[rng.IntN(len(members))]; m.Name != f.options.Name && m.Health.Up() {
				unreachable = append(unreachable, m.Address)
			}
		}
		wait := time.Duration(float64(rejoinInterval) * (0.75 + 0.5*rng.Float64()))
		if len(unreachable) > 0 {
			addr := unreachable[rng.IntN(len(unreachable))]
			_, err := f.list.Join([]string{addr})
			if err != nil {
				f.log.WithField("address", addr).WithError(err).Debug("fleet: joining failed, the member or seed did not answer")
			}
			if first || err != nil && len(members) == 1 { // no other member known: retry soon, but without a busy loop
				wait = rejoinInterval / 10
			}
		}
		select {
		case <-f.stop:
			return
		case <-time.After(wait):
		}
	}
}

// publishSummaries publishes this member's summaries of the servers when they change, and periodically if they do not. The
// refresh interval grows with the number of members, which bounds the rate at which each member receives summaries.
func (f *Fleet) publishSummaries() {
	tick := time.NewTicker(summaryInterval)
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-tick.C:
		}
		f.apply(fleetview.Event{Kind: fleetview.EventTick})
		if f.options.Summaries == nil {
			continue
		}
		observed := f.options.Summaries()
		f.mu.Lock()
		self := f.view.Self()
		f.mu.Unlock()
		refresh := time.Duration(max(1, f.membersUp()/summaryRefreshMembers)) * summaryRefresh
		if sameLevels(self.Servers, observed) && time.Since(f.publishedAt) < refresh {
			continue
		}
		f.publishedAt = time.Now()
		f.apply(fleetview.Event{Kind: fleetview.EventLocalState, Name: f.options.Name, Member: fleetview.Member{State: self.State, Servers: observed}})
		f.mu.Lock()
		self = f.view.Self()
		f.mu.Unlock()
		if message, err := cbor.Marshal(summary{Name: self.Name, Start: self.Start, Seq: self.ServersSeq, Servers: self.Servers}); err == nil {
			f.summaryQueue.QueueBroadcast(&summaryBroadcast{self.Name, message})
		}
	}
}

// sameLevels reports whether two lists hold the same servers at the same levels.
func sameLevels(a, b []fleetview.Summary) bool {
	return slices.EqualFunc(a, b, func(a, b fleetview.Summary) bool { return a.Server == b.Server && a.Level == b.Level })
}

// UpNames returns the sorted names of the members that are up in the local view, including this one.
func (f *Fleet) UpNames() (names []string) {
	f.mu.Lock()
	f.view.ForEachUp(func(m *fleetview.Member) { names = append(names, m.Name) })
	f.mu.Unlock()
	slices.Sort(names)
	return names
}

// Leave announces that this member leaves, and stops the gossip.
func (f *Fleet) Leave() {
	f.setSelfState(fleetview.Leaving)
	f.list.UpdateNode(leaveTimeout) // before Leave: the published state lets others distinguish leaving from dying
	f.list.Leave(leaveTimeout)
	f.Close()
}

// Close stops the gossip immediately, without an announcement. It may be called more than once.
func (f *Fleet) Close() {
	f.once.Do(func() {
		close(f.stop)
		f.list.Shutdown()
		f.done.Wait()
	})
}

// Status is the local view as reported to operators.
type Status struct {
	Name    string             `json:"name"`
	View    uint64             `json:"view"` // number of changes of the local view
	Hash    string             `json:"hash"` // equal on two members that agree on which members are up, at which address and in which state
	Members []fleetview.Member `json:"members"`
	Packets int64              `json:"packets_sent"`
	Streams int64              `json:"streams_opened"`
	Bytes   int64              `json:"bytes_sent"`

	Registers         []RegisterStatus `json:"registers"`
	NewerRegisters    int64            `json:"registers_news"`      // received registers accepted as newer, since the start
	NotNewerRegisters int64            `json:"registers_not_newer"` // received registers dropped as duplicate or outdated
	Faults            []Fault          `json:"faults"`
}

// Status returns the current view, registers and faults.
func (f *Fleet) Status() Status {
	f.mu.Lock()
	st := Status{Name: f.options.Name, View: f.view.Version(), Hash: fmt.Sprintf("%016x", f.view.Hash()), Members: f.view.Members(),
		Packets: f.net.packets.Load(), Streams: f.net.streams.Load(), Bytes: f.net.bytes.Load()}
	f.mu.Unlock()
	st.Registers = f.registerStatus()
	st.NewerRegisters, st.NotNewerRegisters = f.RegisterCounts()
	f.registersMu.Lock()
	for _, fault := range f.faults {
		st.Faults = append(st.Faults, *fault)
	}
	f.registersMu.Unlock()
	slices.SortFunc(st.Faults, func(a, b Fault) int { return strings.Compare(a.Kind, b.Kind) })
	return st
}

// Count returns the number of members with health h, and how often the view has changed.
func (f *Fleet) Count(h fleetview.Health) (members int, changes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Count(h), f.changes
}

// summaryBroadcast is a queued summary of a member; a later summary of the same member replaces it.
type summaryBroadcast struct {
	name    string
	message []byte
}

// Invalidates implements memberlist.Broadcast.
func (b *summaryBroadcast) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*summaryBroadcast)
	return ok && other.name == b.name
}

// Name implements memberlist.NamedBroadcast.
func (b *summaryBroadcast) Name() string { return b.name }

// Message implements memberlist.Broadcast.
func (b *summaryBroadcast) Message() []byte { return b.message }

// Finished implements memberlist.Broadcast.
func (b *summaryBroadcast) Finished() {}

// delegate implements the callbacks of memberlist. They run with locks of memberlist held, and lock only mu and registersMu.
type delegate Fleet

func (d *delegate) fleet() *Fleet { return (*Fleet)(d) }

// NodeMeta implements memberlist.Delegate.
func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.view.Self()
	encoded, err := cbor.Marshal(meta{m.Zone, m.Region, m.Program, m.Start, m.Seq, m.State})
	if err != nil || len(encoded) > limit { // not expected: the length of names is checked when the configuration is read
		return nil
	}
	return encoded
}

// NotifyMsg implements memberlist.Delegate.
func (d *delegate) NotifyMsg(message []byte) {
	if len(message) > 0 && message[0]>>5 == arrayType {
		d.fleet().receiveRegister(message)
		return
	}
	var s summary
	if decodeMode.Unmarshal(message, &s) == nil {
		d.receiveSummary(s)
	}
}

// arrayType is the CBOR major type of arrays (RFC 8949). Registers are encoded as arrays, summaries as maps.
const arrayType = 4

// receiveSummary applies a summary to the view, or receives the registers that it carries.
func (d *delegate) receiveSummary(s summary) {
	if s.Name == "" {
		for _, encoded := range s.Registers {
			d.fleet().receiveRegister(encoded)
		}
		return
	}
	d.fleet().apply(fleetview.Event{Kind: fleetview.EventSummaries, Name: s.Name,
		Member: fleetview.Member{Start: s.Start, ServersSeq: s.Seq, Servers: s.Servers}})
}

// GetBroadcasts implements memberlist.Delegate.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	messages := d.summaryQueue.GetBroadcasts(overhead, limit)
	for _, message := range messages {
		limit -= overhead + len(message)
	}
	return append(messages, d.budget.nextBroadcasts(time.Now(), overhead, limit)...)
}

// LocalState implements memberlist.Delegate. The state holds the summaries of all members that are up, and all registers.
func (d *delegate) LocalState(bool) []byte {
	var summaries []summary
	d.mu.Lock()
	for _, m := range d.view.Members() {
		if m.Health.Up() && m.ServersSeq > 0 {
			summaries = append(summaries, summary{Name: m.Name, Start: m.Start, Seq: m.ServersSeq, Servers: m.Servers})
		}
	}
	d.mu.Unlock()
	d.registersMu.Lock()
	current := d.registerBook.State(d.fleet().now())
	d.registersMu.Unlock()
	if len(current) > 0 {
		var s summary
		for _, r := range current {
			s.Registers = append(s.Registers, encodeRegister(r))
		}
		summaries = append(summaries, s)
	}
	encoded, err := cbor.Marshal(summaries)
	if err != nil {
		return nil
	}
	return encoded
}

// MergeRemoteState implements memberlist.Delegate.
func (d *delegate) MergeRemoteState(encoded []byte, _ bool) {
	var summaries []summary
	if decodeMode.Unmarshal(encoded, &summaries) != nil {
		return
	}
	for _, s := range summaries {
		d.receiveSummary(s)
	}
}

// memberSeen applies the metadata of a member that joined or was updated.
func (d *delegate) memberSeen(n *memberlist.Node) {
	var m meta
	if err := decodeMode.Unmarshal(n.Meta, &m); err != nil {
		d.log.WithField("member", n.Name).Warn("fleet: member ignored, its metadata can't be decoded; is it a gatekeeper of this version?")
		return
	}
	d.fleet().apply(fleetview.Event{Kind: fleetview.EventAlive, Name: n.Name, Member: fleetview.Member{Zone: m.Zone, Region: m.Region,
		Program: m.Program, Start: m.Start, Seq: m.Seq, State: m.State, Address: n.Address()}})
}

// NotifyJoin implements memberlist.EventDelegate.
func (d *delegate) NotifyJoin(n *memberlist.Node) { d.memberSeen(n) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.memberSeen(n) }

// NotifyLeave implements memberlist.EventDelegate. memberlist calls it for members that died and for members that left; a
// member that leaves publishes the state Leaving first.
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	kind := fleetview.EventDead
	var m meta
	if decodeMode.Unmarshal(n.Meta, &m) == nil && m.State == fleetview.Leaving {
		kind = fleetview.EventLeft
	}
	d.fleet().apply(fleetview.Event{Kind: kind, Name: n.Name})
}

// NotifyConflict implements memberlist.ConflictDelegate.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.log.WithFields(logrus.Fields{"member": existing.Name, "address": existing.Address(), "other": other.Address()}).
		Error("fleet: two members use the same name; the later one is ignored until the first one is dead")
}

// AckPayload implements memberlist.PingDelegate.
func (d *delegate) AckPayload() []byte { return nil }

// NotifyPingComplete implements memberlist.PingDelegate.
func (d *delegate) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	d.fleet().apply(fleetview.Event{Kind: fleetview.EventProbeAnswered, Name: n.Name})
}

// suspectLine matches the log line that memberlist writes when a probe was not answered. memberlist (v0.7.0, state.go,
// probeNode) reports suspicion in no other way. TestMembers fails if the line changes.
var suspectLine = regexp.MustCompile(`Suspect (\S+) has failed, no acks received`)

// logger returns a logger for memberlist that forwards its lines to this package's log.
func (f *Fleet) logger() *stdlog.Logger { return stdlog.New(memberlistLog{f}, "", 0) }

// memberlistLog receives the log lines of memberlist and derives suspicions from them.
type memberlistLog struct{ f *Fleet }

// Write implements io.Writer. memberlist writes one line per call.
func (l memberlistLog) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p))
	if m := suspectLine.FindStringSubmatch(text); m != nil {
		l.f.apply(fleetview.Event{Kind: fleetview.EventSuspected, Name: m[1]})
	}
	switch level, message, _ := strings.Cut(text, " "); level {
	case "[ERR]", "[WARN]":
		l.f.log.Info("fleet: " + message)
	default:
		l.f.log.Debug("fleet: " + message)
	}
	return len(p), nil
}
