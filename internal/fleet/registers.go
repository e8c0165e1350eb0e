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

// Topics are what members publish to each other, with its bounds. A register and what goes around it must fit into a datagram of
// the gossip (1,400 bytes with encryption).
var Topics = map[registers.Topic]registers.Spec{
	registers.Rates:    {MaxBytes: 512, MinInterval: 1e6, RefreshInterval: 2e6, MaxAge: 6e6},
	registers.Evidence: {MaxBytes: 1024, MinInterval: 100e3, RefreshInterval: 500e3, MaxAge: 3e6},
	registers.Numbers:  {MaxBytes: 1024, MinInterval: 100e3, RefreshInterval: 1e6, MaxAge: 4e6},
	registers.Callers:  {MaxBytes: 1024, MinInterval: 200e3, RefreshInterval: 1e6, MaxAge: 4e6},
	registers.Limits:   {MaxBytes: 1024, MinInterval: 150e3, RefreshInterval: 250e3, MaxAge: 2e6},
}

const (
	registerInterval       = 50 * time.Millisecond // between checks for own registers that are due
	registerRetransmitMult = 2                     // a register is retransmitted by each member so many times log10(members+1)
	maxFaults              = 16                    // kinds of faults that are kept for operators
)

// register is a register on the wire: an array, which members of builds before registers can't read as a summary and drop.
type register struct {
	_      struct{} `cbor:",toarray"`
	Topic  registers.Topic
	Origin string
	Start  uint64
	Seq    uint64
	Age    float64 // us; as a float64 it always has the same length
	Value  []byte
}

// Unreadable says that a message of the gossip could not be read. It was dropped, alone.
type Unreadable struct {
	Bytes int
	Err   error
}

func (e *Unreadable) Error() string {
	return fmt.Sprintf("fleet: a register of %d bytes can't be read: %v", e.Bytes, e.Err)
}

func (e *Unreadable) Unwrap() error { return e.Err }

// Advice implements advice.Error.
func (e *Unreadable) Advice() string {
	return "look whether a gatekeeper of another version or another program gossips here (beammux fleet members, column program)"
}

// Fault is a kind of error that the gossip met with, as operators read it.
type Fault struct {
	Kind   string `json:"kind"`
	Count  int64  `json:"count"`
	Last   string `json:"last"`
	At     int64  `json:"at_us"`
	Advice string `json:"advice"`
}

// registerBroadcast is a queued register; a later one of its origin replaces it.
type registerBroadcast struct {
	f *Fleet
	registers.Register
	at control.Micros // when its Age was so
}

func (b *registerBroadcast) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*registerBroadcast)
	return ok && other.Topic == b.Topic && other.Origin == b.Origin
}

// Message is asked for when it is about to be sent: the age is that of now, not of when it was queued.
func (b *registerBroadcast) Message() []byte {
	r := b.Register
	r.Age += b.f.now() - b.at
	return encode(r)
}
func (b *registerBroadcast) Finished() {}

func encode(r registers.Register) []byte {
	text, err := cbor.Marshal(register{Topic: r.Topic, Origin: r.Origin, Start: r.Start, Seq: r.Seq, Age: float64(r.Age), Value: r.Value})
	if err != nil { // numbers, a string and bytes
		panic(err)
	}
	return text
}

// Publish sets this member's value under a topic. It is sent when it has changed, at the topic's pace. The slice is kept.
func (f *Fleet) Publish(t registers.Topic, value []byte) error {
	f.registersMu.Lock()
	err := f.registerBook.Put(f.now(), t, value)
	f.registersMu.Unlock()
	if err != nil {
		f.recordFault(err)
	}
	return err
}

// Read returns what counts under a topic now, by origin: this member's own value, and those published by members that are up
// and not older than the topic's Stale.
func (f *Fleet) Read(t registers.Topic) []registers.Register {
	starts := map[string]uint64{}
	f.mu.Lock()
	f.view.ForEachUp(func(m *fleetview.Member) { starts[m.Name] = m.Start })
	f.mu.Unlock()
	f.registersMu.Lock()
	defer f.registersMu.Unlock()
	return f.registerBook.Read(f.now(), t, func(origin string, start uint64) bool { return starts[origin] == start })
}

// UpCount returns how many members are up in this one's view, itself included.
func (f *Fleet) UpCount() int { return f.membersUp() }

// Start is this member's incarnation, as its registers carry it.
func (f *Fleet) Start() uint64 { return f.incarnation }

// publishRegisters hands due registers to the gossip until Close.
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

func (f *Fleet) broadcastRegister(r registers.Register) {
	f.registers.QueueBroadcast(&registerBroadcast{f, r, f.now()})
}

// receiveRegister merges a received register, and passes it on if it is new.
func (f *Fleet) receiveRegister(text []byte) {
	var r register
	if err := decoding.Unmarshal(text, &r); err != nil {
		f.recordFault(&Unreadable{len(text), err})
		return
	}
	one := registers.Register{Topic: r.Topic, Origin: r.Origin, Start: r.Start, Seq: r.Seq, Age: control.Micros(max(-1, min(r.Age, 1e15))), Value: r.Value}
	f.registersMu.Lock()
	news, err := f.registerBook.Merge(f.now(), one)
	f.registersMu.Unlock()
	switch {
	case err != nil:
		f.recordFault(err)
	case news:
		f.broadcastRegister(one)
	}
}

// recordFault counts an error by its kind, and logs the first of each kind and then at most one each faultLogInterval.
func (f *Fleet) recordFault(err error) {
	kind := kindOf(err)
	f.registersMu.Lock()
	v := f.faults[kind]
	if v == nil && len(f.faults) < maxFaults {
		v = &Fault{Kind: kind}
		f.faults[kind] = v
	}
	if v == nil {
		f.registersMu.Unlock()
		return
	}
	v.Count++
	logNow := v.Count == 1 || int64(f.now())-v.At > int64(faultLogInterval/time.Microsecond)
	v.Last, v.Advice = err.Error(), advice.Of(err)
	if logNow {
		v.At = int64(f.now())
	}
	f.registersMu.Unlock()
	if logNow {
		f.log.WithError(err).WithFields(logrus.Fields{"kind": kind, "advice": v.Advice}).Warn("fleet: message dropped")
	}
}

const faultLogInterval = 10 * time.Second

// kindOf names an error by its type.
func kindOf(err error) string {
	var a advice.Error
	if errors.As(err, &a) {
		return fmt.Sprintf("%T", a)[1:]
	}
	return "error"
}

// RegisterStatus is one register as operators read it.
type RegisterStatus struct {
	Topic  registers.Topic `json:"topic"`
	Origin string          `json:"origin"`
	Start  uint64          `json:"start_ms"`
	Seq    uint64          `json:"seq"`
	Age    control.Micros  `json:"age_us"`
	Bytes  int             `json:"bytes"`
}

func (f *Fleet) registerStatus() (all []RegisterStatus) {
	for t := registers.Topic(1); t != 0; t++ {
		if _, ok := Topics[t]; !ok {
			continue
		}
		for _, r := range f.Read(t) {
			all = append(all, RegisterStatus{r.Topic, r.Origin, r.Start, r.Seq, r.Age, len(r.Value)})
		}
	}
	return all
}

// RegisterCounts returns how many received registers were new, and how many were duplicates or late.
func (f *Fleet) RegisterCounts() (news, old int64) {
	f.registersMu.Lock()
	defer f.registersMu.Unlock()
	return f.registerBook.Counts()
}
