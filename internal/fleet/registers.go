package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/advice"
	"beammux/control/fleetview"
	"beammux/control/registers"
)

// Topics lists the register topics that members publish, with their limits. A register with its overhead must fit into one
// gossip datagram (1,400 bytes including encryption).
var Topics = map[registers.Topic]registers.Spec{
	registers.Rates:    {MaxBytes: 512, MinInterval: 1e6, RefreshInterval: 2e6, MaxAge: 6e6},
	registers.Evidence: {MaxBytes: 1024, MinInterval: 100e3, RefreshInterval: 500e3, MaxAge: 3e6},
	registers.Numbers:  {MaxBytes: 1024, MinInterval: 100e3, RefreshInterval: 1e6, MaxAge: 4e6},
	registers.Callers:  {MaxBytes: 1024, MinInterval: 200e3, RefreshInterval: 1e6, MaxAge: 4e6},
	registers.Limits:   {MaxBytes: 1024, MinInterval: 150e3, RefreshInterval: 250e3, MaxAge: 2e6},
}

const (
	registerInterval       = 50 * time.Millisecond // between checks for local registers that are due
	registerRetransmitMult = 2                     // each member sends a register registerRetransmitMult * log10(members+1) times
	maxFaults              = 16                    // number of fault kinds kept for operators
)

// register is the wire format of a register: a CBOR array, so that builds that predate registers fail to decode it as a
// summary and drop it. The order of the fields is part of the format.
type register struct {
	_      struct{} `cbor:",toarray"`
	Topic  registers.Topic
	Origin string
	Start  uint64
	Seq    uint64
	Age    float64 // microseconds; a float64 always has the same encoded length
	Value  []byte
}

// Unreadable reports that a received register could not be decoded. Only that register was dropped.
type Unreadable struct {
	Bytes int // size of the encoded register
	Err   error
}

// Error implements error.
func (e *Unreadable) Error() string {
	return fmt.Sprintf("fleet: a register of %d bytes can't be decoded: %v", e.Bytes, e.Err)
}

// Unwrap returns the decoding error.
func (e *Unreadable) Unwrap() error { return e.Err }

// Advice implements advice.Error.
func (e *Unreadable) Advice() string {
	return "check whether a gatekeeper of another version or another program takes part in this gossip (beammux fleet members, column program)"
}

// Fault counts the errors of one kind in the gossip, as reported to operators.
type Fault struct {
	Kind     string `json:"kind"`
	Count    int64  `json:"count"`
	Last     string `json:"last"`  // message of the last error
	LoggedAt int64  `json:"at_us"` // when an error of this kind was last logged, Unix microseconds
	Advice   string `json:"advice"`
}

// registerBroadcast is a queued register; a later register of the same topic and origin replaces it.
type registerBroadcast struct {
	f *Fleet
	registers.Register
	ageTime control.Micros // time at which Register.Age was determined
}

// Invalidates implements memberlist.Broadcast.
func (b *registerBroadcast) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*registerBroadcast)
	return ok && other.Topic == b.Topic && other.Origin == b.Origin
}

// Message implements memberlist.Broadcast. It is called immediately before sending and encodes the age at that time, not the
// age when the register was queued.
func (b *registerBroadcast) Message() []byte {
	r := b.Register
	r.Age += b.f.now() - b.ageTime
	return encodeRegister(r)
}

// Finished implements memberlist.Broadcast.
func (b *registerBroadcast) Finished() {}

// encodeRegister returns the wire format of a register.
func encodeRegister(r registers.Register) []byte {
	encoded, err := cbor.Marshal(register{Topic: r.Topic, Origin: r.Origin, Start: r.Start, Seq: r.Seq, Age: float64(r.Age), Value: r.Value})
	if err != nil { // impossible: the fields are numbers, a string and bytes
		panic(err)
	}
	return encoded
}

// Publish sets this member's value for a topic. A changed value is sent at the rate that the topic's Spec allows. Publish
// retains the slice.
func (f *Fleet) Publish(t registers.Topic, value []byte) error {
	f.registersMu.Lock()
	err := f.registerBook.Put(f.now(), t, value)
	f.registersMu.Unlock()
	if err != nil {
		f.recordFault(err)
	}
	return err
}

// Read returns the valid registers of a topic, one per origin: this member's own, and those of members that are up which are
// not older than Spec.Stale of the topic.
func (f *Fleet) Read(t registers.Topic) []registers.Register {
	starts := map[string]uint64{}
	f.mu.Lock()
	f.view.ForEachUp(func(m *fleetview.Member) { starts[m.Name] = m.Start })
	f.mu.Unlock()
	f.registersMu.Lock()
	defer f.registersMu.Unlock()
	return f.registerBook.Read(f.now(), t, func(origin string, start uint64) bool { return starts[origin] == start })
}

// UpCount returns the number of members that are up in the local view, including this one.
func (f *Fleet) UpCount() int { return f.membersUp() }

// Start returns this member's incarnation, its start time in Unix milliseconds, which its registers carry as Start.
func (f *Fleet) Start() uint64 { return f.incarnation }

// publishRegisters queues local registers that are due, until Close.
func (f *Fleet) publishRegisters() {
	tick := time.NewTicker(registerInterval)
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-tick.C:
		}
		members := f.membersUp()
		f.registersMu.Lock()
		due := f.registerBook.Due(f.now(), members)
		f.registerBook.Prune(f.now())
		f.registersMu.Unlock()
		for _, r := range due {
			f.broadcastRegister(r)
		}
	}
}

// broadcastRegister queues a register for sending to other members.
func (f *Fleet) broadcastRegister(r registers.Register) {
	f.registers.QueueBroadcast(&registerBroadcast{f, r, f.now()})
}

// receiveRegister merges a received register, and forwards it if it is newer than the stored one.
func (f *Fleet) receiveRegister(encoded []byte) {
	var r register
	if err := decodeMode.Unmarshal(encoded, &r); err != nil {
		f.recordFault(&Unreadable{len(encoded), err})
		return
	}
	received := registers.Register{Topic: r.Topic, Origin: r.Origin, Start: r.Start, Seq: r.Seq, Age: control.Micros(max(-1, min(r.Age, 1e15))), Value: r.Value}
	f.registersMu.Lock()
	isNewer, err := f.registerBook.Merge(f.now(), received)
	f.registersMu.Unlock()
	switch {
	case err != nil:
		f.recordFault(err)
	case isNewer:
		f.broadcastRegister(received)
	}
}

// recordFault counts an error by its kind. It logs the first error of each kind, and then at most one per faultLogInterval.
func (f *Fleet) recordFault(err error) {
	kind := errorKind(err)
	f.registersMu.Lock()
	fault := f.faults[kind]
	if fault == nil && len(f.faults) < maxFaults {
		fault = &Fault{Kind: kind}
		f.faults[kind] = fault
	}
	if fault == nil {
		f.registersMu.Unlock()
		return
	}
	fault.Count++
	logNow := fault.Count == 1 || int64(f.now())-fault.LoggedAt > int64(faultLogInterval/time.Microsecond)
	fault.Last, fault.Advice = err.Error(), advice.Of(err)
	if logNow {
		fault.LoggedAt = int64(f.now())
	}
	f.registersMu.Unlock()
	if logNow {
		f.log.WithError(err).WithFields(logrus.Fields{"kind": kind, "advice": fault.Advice}).Warn("fleet: register dropped")
	}
}

// faultLogInterval is the minimum time between two log lines about faults of the same kind.
const faultLogInterval = 10 * time.Second

// errorKind returns the type name of the error in the chain that has an Advice method, or "error" if there is none.
func errorKind(err error) string {
	var advised advice.Error
	if errors.As(err, &advised) {
		return fmt.Sprintf("%T", advised)[1:]
	}
	return "error"
}

// RegisterStatus describes one register, as reported to operators.
type RegisterStatus struct {
	Topic  registers.Topic `json:"topic"`
	Origin string          `json:"origin"`
	Start  uint64          `json:"start_ms"`
	Seq    uint64          `json:"seq"`
	Age    control.Micros  `json:"age_us"`
	Bytes  int             `json:"bytes"`
}

// registerStatus returns the valid registers of all topics, in the order of the topics.
func (f *Fleet) registerStatus() (statuses []RegisterStatus) {
	for t := registers.Topic(1); t != 0; t++ {
		if _, ok := Topics[t]; !ok {
			continue
		}
		for _, r := range f.Read(t) {
			statuses = append(statuses, RegisterStatus{r.Topic, r.Origin, r.Start, r.Seq, r.Age, len(r.Value)})
		}
	}
	return statuses
}

// RegisterCounts returns how many received registers were newer than the stored ones, and how many were duplicates or outdated.
func (f *Fleet) RegisterCounts() (newer, notNewer int64) {
	f.registersMu.Lock()
	defer f.registersMu.Unlock()
	return f.registerBook.Counts()
}
