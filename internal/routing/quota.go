package routing

import (
	"beammux/control"
	"beammux/internal/history"
)

// Quotas gives what bounds a call, nil where nothing does. It is called by the core's actor for each call that comes.
type Quotas interface{ For(s *Setup) Quota }

// Quota bounds one call. Done is called once, when a call that was let in is over.
type Quota interface {
	control.Quota
	Done()
}

// SetQuotas names what bounds calls. It is called before any call comes.
func (c *Core) SetQuotas(q Quotas) { c.quotas = q }

// admission asks a call's quota, and keeps what it lets in on record.
type admission struct {
	core     *Core
	call     *call
	admitted bool
}

// Take implements control.Quota.
func (a *admission) Take(now control.Micros) (ok bool, wait control.Micros) {
	if ok, wait = a.call.quota.Take(now); ok {
		a.admitted = true
		a.core.note(history.Event{Kind: history.Admitted, Call: a.call.ID, Class: a.call.Class})
	}
	return ok, wait
}
