package store

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"beammux/control/advice"
)

// ComeBack is a control machine's answer to a session that exceeds its admission rate: the client must retry later.
type ComeBack struct {
	After time.Duration // delay from the answer to the retry
}

func (e *ComeBack) Error() string {
	return fmt.Sprintf("the control machine admits this session in %v", e.After)
}

// Advice implements advice.Error.
func (e *ComeBack) Advice() string {
	return "the client retries by itself; if this persists, raise the admission rates of the control machines or add one"
}

// ReplicaBehind is a control machine's answer to a client that holds a higher revision than the replica.
type ReplicaBehind struct {
	Have, Want uint64 // revisions of the replica and of the client
}

func (e *ReplicaBehind) Error() string {
	return fmt.Sprintf("the control machine is at revision %d, the client holds %d", e.Have, e.Want)
}

// Advice implements advice.Error.
func (e *ReplicaBehind) Advice() string {
	return "the client moves on to another control machine; if all of them are behind, the store was recreated: raise its revision above the client's (beammux store raise)"
}

// SessionsFull is a control machine's answer to a session beyond its configured limit.
type SessionsFull struct {
	Limit int // limit of open sessions
}

func (e *SessionsFull) Error() string {
	return fmt.Sprintf("the control machine holds %d sessions, its limit", e.Limit)
}

// Advice implements advice.Error.
func (e *SessionsFull) Advice() string {
	return "the client moves on to another control machine; if all of them are full, raise admission.sessions or add one"
}

// WatcherTooSlow ends a session whose client reads changes more slowly than they are committed. The client must resume.
type WatcherTooSlow struct{}

func (e *WatcherTooSlow) Error() string { return "the client read too slowly and must resume" }

// Advice implements advice.Error.
func (e *WatcherTooSlow) Advice() string {
	return "the client resumes by itself; if this repeats, check the load of its machine or raise the history's size"
}

// NotControl is returned when a session is requested from a member that is not a control machine.
type NotControl struct {
	Address string // or name of the member
}

func (e *NotControl) Error() string { return fmt.Sprintf("%s is not a control machine", e.Address) }

// Advice implements advice.Error.
func (e *NotControl) Advice() string {
	return "name control machines (beammux control serve) of this version as replicas, not gatekeepers"
}

// Refused is returned for a write that failed validation (Options.Check) and was not committed.
type Refused struct {
	Text   string // the check's error text, usually FILE:LINE:COLUMN: key: problem
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

// BadRequest is returned for a request that no member can carry out.
type BadRequest struct{ Text string }

func (e *BadRequest) Error() string { return e.Text }

// Advice implements advice.Error.
func (e *BadRequest) Advice() string {
	return "correct the request; nothing was changed, and every member would refuse it"
}

// EarlierVersion is returned when a member of an earlier version would have to take part in something that its version does
// not support.
type EarlierVersion struct {
	What   string // the unsupported feature
	Member string // name or address of the member
}

func (e *EarlierVersion) Error() string {
	return fmt.Sprintf("member %s is of an earlier version, which does not know %s", e.Member, e.What)
}

// Advice implements advice.Error.
func (e *EarlierVersion) Advice() string {
	return "upgrade all members of the group to this version first (docs/store.md, Transactions)"
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

// wireFault encodes a typed error for a client. The error's text is in result.Fault.
type wireFault struct {
	Code   string        `json:"code"`
	Advice string        `json:"advice,omitempty"`
	Have   uint64        `json:"have,omitempty"`
	Want   uint64        `json:"want,omitempty"`
	After  time.Duration `json:"after_ns,omitempty"`
	What   string        `json:"what,omitempty"`
	Member string        `json:"member,omitempty"`
}

// fail stores an error in the result: its text, and its type if it has a code.
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

// error returns the error that fail stored at the member at an address; nil if there is none.
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
	return untypedError(r.Fault)
}

// isPermanent reports whether a retry of the same request must fail in the same way.
func isPermanent(err error) bool {
	var refused *Refused
	var request *BadRequest
	var earlier *EarlierVersion
	var away *MemberAway
	return errors.As(err, &refused) || errors.As(err, &request) || errors.As(err, &earlier) || errors.As(err, &away)
}

// newRefused wraps the error of a check, with its text and advice.
func newRefused(err error) *Refused { return &Refused{err.Error(), advice.Of(err)} }

// untypedError returns the error for a fault text without a type: ErrNoLeader and ErrNotReady are recognized by their text.
func untypedError(fault string) error {
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
