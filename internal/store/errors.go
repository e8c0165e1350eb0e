package store

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"beammux/control/advice"
)

// ComeBack is a control machine's answer to a session that it does not take now: it takes no more a second than it is set to.
type ComeBack struct {
	After time.Duration // from the answer on
}

func (e *ComeBack) Error() string {
	return fmt.Sprintf("the control machine takes this session in %v", e.After)
}

// Advice implements advice.Error.
func (e *ComeBack) Advice() string {
	return "the client comes back by itself; if this lasts, raise the admission rates of the control machines or add one"
}

// ReplicaBehind is a control machine's answer to a client that holds a higher revision than it has itself.
type ReplicaBehind struct {
	Have, Want uint64 // revisions of the replica and of the client
}

func (e *ReplicaBehind) Error() string {
	return fmt.Sprintf("the control machine is at revision %d, the client holds %d", e.Have, e.Want)
}

// Advice implements advice.Error.
func (e *ReplicaBehind) Advice() string {
	return "the client moves on to another control machine; if all of them answer so, the store was made anew: raise its revision above the client's (beammux store raise)"
}

// SessionsFull is a control machine's answer to a session beyond the most that it is set to hold.
type SessionsFull struct {
	Limit int // sessions
}

func (e *SessionsFull) Error() string {
	return fmt.Sprintf("the control machine holds %d sessions, the most that it may", e.Limit)
}

// Advice implements advice.Error.
func (e *SessionsFull) Advice() string {
	return "the client moves on to another control machine; if all of them are full, raise admission.sessions or add one"
}

// WatcherTooSlow says that a session was cut off because changes came faster than its client read them. The client resumes.
type WatcherTooSlow struct{}

func (e *WatcherTooSlow) Error() string { return "the watcher was too slow: it must resume" }

// Advice implements advice.Error.
func (e *WatcherTooSlow) Advice() string {
	return "the client resumes by itself; if this repeats, look at the load of its machine or raise the history's size"
}

// NotControl says that a member serves no sessions.
type NotControl struct {
	Address string
}

func (e *NotControl) Error() string { return fmt.Sprintf("%s is no control machine", e.Address) }

// Advice implements advice.Error.
func (e *NotControl) Advice() string {
	return "name control machines (beammux control serve) of this version as replicas, not gatekeepers"
}

// Refused says that a write does not check and was not committed.
type Refused struct {
	Text   string // FILE:LINE:COLUMN: key: what is wrong, where the check says so
	advice string
}

func (e *Refused) Error() string { return e.Text }

// Advice implements advice.Error.
func (e *Refused) Advice() string {
	if e.advice != "" {
		return e.advice
	}
	return "correct the value at the place named and write it again; nothing was changed"
}

// BadRequest says that a request can't be carried out by any member.
type BadRequest struct{ Text string }

func (e *BadRequest) Error() string { return e.Text }

// Advice implements advice.Error.
func (e *BadRequest) Advice() string {
	return "correct the request; nothing was changed and no member would take it as it is"
}

// EarlierVersion says that a member of an earlier version was asked for, or took part in, what it does not know.
type EarlierVersion struct {
	What   string // that it does not know
	Member string // its name or address
}

func (e *EarlierVersion) Error() string {
	return fmt.Sprintf("member %s is of an earlier version, which does not know %s", e.Member, e.What)
}

// Advice implements advice.Error.
func (e *EarlierVersion) Advice() string {
	return "bring all members of the group to this version first (docs/store.md, Transactions)"
}

// Codes of typed errors on the wire.
const (
	codeComeBack = "come-back"
	codeBehind   = "behind"
	codeSlow     = "slow"
	codeControl  = "not-control"
	codeRefused  = "refused"
	codeRequest  = "request"
	codeEarlier  = "earlier-version"
	codeAway     = "member-away"
	codeFull     = "full"
)

// wireFault carries a typed error to a client, beside its text.
type wireFault struct {
	Code   string        `json:"code"`
	Advice string        `json:"advice,omitempty"`
	Have   uint64        `json:"have,omitempty"`
	Want   uint64        `json:"want,omitempty"`
	After  time.Duration `json:"after_ns,omitempty"`
	What   string        `json:"what,omitempty"`
	Member string        `json:"member,omitempty"`
}

// fail puts an error into an answer.
func (r *result) fail(err error) {
	r.Fault = err.Error()
	var back *ComeBack
	var behind *ReplicaBehind
	var slow *WatcherTooSlow
	var control *NotControl
	var refused *Refused
	var request *BadRequest
	var earlier *EarlierVersion
	var away *MemberAway
	var full *SessionsFull
	switch {
	case errors.As(err, &back):
		r.Typed = &wireFault{Code: codeComeBack, After: back.After}
	case errors.As(err, &behind):
		r.Typed = &wireFault{Code: codeBehind, Have: behind.Have, Want: behind.Want}
	case errors.As(err, &slow):
		r.Typed = &wireFault{Code: codeSlow}
	case errors.As(err, &control):
		r.Typed = &wireFault{Code: codeControl}
	case errors.As(err, &refused):
		r.Typed = &wireFault{Code: codeRefused, Advice: advice.Of(err)}
	case errors.As(err, &request):
		r.Typed = &wireFault{Code: codeRequest}
	case errors.As(err, &earlier):
		r.Typed = &wireFault{Code: codeEarlier, What: earlier.What, Member: earlier.Member}
	case errors.As(err, &away):
		r.Typed = &wireFault{Code: codeAway, What: away.Cause, Member: away.Member}
	case errors.As(err, &full):
		r.Typed = &wireFault{Code: codeFull, Have: uint64(full.Limit)}
	}
}

// error is what fail put in at the member at an address; nil if nothing was.
func (r *result) error(address string) error {
	if r.Typed != nil {
		switch r.Typed.Code {
		case codeComeBack:
			return &ComeBack{r.Typed.After}
		case codeBehind:
			return &ReplicaBehind{r.Typed.Have, r.Typed.Want}
		case codeSlow:
			return &WatcherTooSlow{}
		case codeControl:
			return &NotControl{address}
		case codeRefused:
			return &Refused{r.Fault, r.Typed.Advice}
		case codeRequest:
			return &BadRequest{r.Fault}
		case codeEarlier:
			return &EarlierVersion{r.Typed.What, r.Typed.Member}
		case codeAway:
			return &MemberAway{r.Typed.Member, r.Typed.What}
		case codeFull:
			return &SessionsFull{int(r.Typed.Have)}
		}
	}
	return untyped(r.Fault)
}

// permanent reports whether another try with the same request must fail alike.
func permanent(err error) bool {
	var refused *Refused
	var request *BadRequest
	var earlier *EarlierVersion
	var away *MemberAway
	return errors.As(err, &refused) || errors.As(err, &request) || errors.As(err, &earlier) || errors.As(err, &away)
}

// newRefused makes a check's error one that says so, with its text and advice.
func newRefused(err error) *Refused { return &Refused{err.Error(), advice.Of(err)} }

// untyped is the error of an answer's text alone.
func untyped(fault string) error {
	switch {
	case fault == "":
		return nil
	case fault == ErrNoLeader.Error():
		return ErrNoLeader
	case strings.Contains(fault, ErrNotReady.Error()):
		return ErrNotReady
	}
	return errors.New(fault)
}
