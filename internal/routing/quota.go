package routing

import (
	"beammux/control"
	"beammux/internal/history"
)

// Quotas returns the quota that applies to a call, nil if there is none. It is called by the core's actor for each new call.
type Quotas interface{ For(s *Setup) Quota }

// Quota admits or refuses one call. Done is called once, when an admitted call has ended.
type Quota interface {
	control.Quota
	Done()
}

// SetQuotas sets the source of quotas. It must be called before any call arrives.
func (c *Core) SetQuotas(q Quotas) { c.quotas = q }

// admission wraps the quota of a call and records its admission.
type admission struct {
	core      *Core
	callState *callState
	admitted  bool
}

// Take implements control.Quota.
func (a *admission) Take(now control.Micros) (ok bool, wait control.Micros) {
	if ok, wait = a.callState.quota.Take(now); ok {
		a.admitted = true
		a.core.note(history.Event{Kind: history.Admitted, Call: a.callState.ID, Class: a.callState.Class})
	}
	return ok, wait
}
