package quota

import "fmt"

// Stale says that a request to a table came by a leader that leads no more. Nothing was granted.
type StaleEpochError struct{ Epoch, Table uint64 }

func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("quota: a request of epoch %d at a table of epoch %d", e.Epoch, e.Table)
}

// Advice implements advice.Error.
func (e *StaleEpochError) Advice() string {
	return "nothing to do: the store changed its leader and the gatekeeper asks again"
}

// Unreadable says that a table or a request can't be read.
type Unreadable struct {
	Document string
	Err      error
}

func (e *Unreadable) Error() string {
	return fmt.Sprintf("quota: the %s can't be read: %v", e.Document, e.Err)
}

func (e *Unreadable) Unwrap() error { return e.Err }

// Advice implements advice.Error.
func (e *Unreadable) Advice() string {
	return "if it is the table: look at it by 'beammux store get', and delete it; leases end and are granted anew. If it is a request: members of two versions ask, upgrade all"
}

// TooMany says that more gatekeepers are up than the limits count with.
type TooManyMembersError struct{ Up, Parts int }

func (e *TooManyMembersError) Error() string {
	return fmt.Sprintf("quota: %d gatekeepers are up, and the limits are dealt for %d", e.Up, e.Parts)
}

// Advice implements advice.Error.
func (e *TooManyMembersError) Advice() string {
	return "raise fleet.limits.parts to the gatekeepers that run at most, everywhere, and send SIGHUP; until then floors are not spent"
}

// NoLease says that this gatekeeper could not renew its leases for so long.
type LeaseExpiredError struct {
	ForMs int64
	Err   error
}

func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("quota: no lease could be renewed for %d ms: %v", e.ForMs, e.Err)
}

func (e *LeaseExpiredError) Unwrap() error { return e.Err }

// Advice implements advice.Error.
func (e *LeaseExpiredError) Advice() string {
	return "calls under leased limits go by the floor alone: see whether the store has a leader (beammux store status) and whether this machine reaches it"
}
