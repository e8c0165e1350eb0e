package quota

import "fmt"

// StaleEpochError reports that a request came from a store leader of an earlier term. No lease was granted.
type StaleEpochError struct{ Epoch, Table uint64 }

func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("quota: request has epoch %d, but the lease table has epoch %d", e.Epoch, e.Table)
}

// Advice implements advice.Error.
func (e *StaleEpochError) Advice() string {
	return "no action needed: the store changed its leader, and the gatekeeper repeats the request"
}

// Unreadable reports that a lease table or a request can't be decoded or encoded.
type Unreadable struct {
	Document string
	Err      error
}

func (e *Unreadable) Error() string {
	return fmt.Sprintf("quota: cannot read the %s: %v", e.Document, e.Err)
}

func (e *Unreadable) Unwrap() error { return e.Err }

// Advice implements advice.Error.
func (e *Unreadable) Advice() string {
	return "if it is the table, inspect it with 'beammux store get' and delete it; the leases end and are granted again. If it is a request, members run different versions: upgrade all"
}

// TooManyMembersError reports that more gatekeepers are up than Limits.Parts allows.
type TooManyMembersError struct{ Up, Parts int }

func (e *TooManyMembersError) Error() string {
	return fmt.Sprintf("quota: %d gatekeepers are up, but the limits are divided among %d", e.Up, e.Parts)
}

// Advice implements advice.Error.
func (e *TooManyMembersError) Advice() string {
	return "raise fleet.limits.parts at all gatekeepers to the greatest number that run, and send SIGHUP; until then no calls are admitted without a lease"
}

// LeaseExpiredError reports that this gatekeeper could not renew its leases for ForMs milliseconds.
type LeaseExpiredError struct {
	ForMs int64
	Err   error
}

func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("quota: leases not renewed for %d ms: %v", e.ForMs, e.Err)
}

func (e *LeaseExpiredError) Unwrap() error { return e.Err }

// Advice implements advice.Error.
func (e *LeaseExpiredError) Advice() string {
	return "leased limits admit calls by their floor only: see whether the store has a leader (beammux store status) and whether this machine reaches it"
}
