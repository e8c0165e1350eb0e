package transport

import (
	"sync"
	"time"
)

// Division of a budget between accounts.
const (
	// freeShare bounds an account: it may hold at most 1/freeShare of the bytes that no account holds. This is the dynamic threshold of
	// shared-memory switches.
	freeShare = 4
	// reservedShare is the part of the budget, 1/reservedShare, from which each account may have its guaranteed bytes.
	reservedShare = 4
)

// MemoryBudget bounds the bytes that messages of all clients occupy in the process, whichever front they arrived at. A client may hold
// a share of what is free, and a few bytes even if others hold all the rest.
type MemoryBudget struct {
	limit      int
	guaranteed int // bytes that each account may hold

	mu   sync.Mutex
	used int
}

// NewMemoryBudget returns a budget of limit bytes that guarantees an equal part to each of a number of clients.
func NewMemoryBudget(limit, clients int) *MemoryBudget {
	return &MemoryBudget{limit: limit, guaranteed: limit / reservedShare / max(clients, 1)}
}

// Limit returns the bytes of the budget.
func (b *MemoryBudget) Limit() int { return b.limit }

// Used returns the reserved bytes.
func (b *MemoryBudget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// NewAccount returns an empty account. A nil budget has nil accounts, which are not bounded.
func (b *MemoryBudget) NewAccount() *MemoryAccount {
	if b == nil {
		return nil
	}
	return &MemoryAccount{budget: b}
}

// MemoryAccount is the part of a MemoryBudget that one client holds. It is safe for concurrent use.
type MemoryAccount struct {
	budget *MemoryBudget
	used   int // guarded by the budget's mutex
}

// Reserve reserves n bytes. It returns false, and reserves nothing, if the client would hold too much.
func (a *MemoryAccount) Reserve(n int) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.limit - b.used
	unreserved := free - b.limit/reservedShare
	if (a.used+n)*freeShare > unreserved && (a.used+n > b.guaranteed || n > free) {
		return false
	}
	a.used += n
	b.used += n
	return true
}

// Release returns n reserved bytes.
func (a *MemoryAccount) Release(n int) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.used -= n
	a.budget.used -= n
}

// ReleaseAfter returns n reserved bytes once d has passed.
func (a *MemoryAccount) ReleaseAfter(n int, d time.Duration) {
	if a != nil && n > 0 {
		time.AfterFunc(d, func() { a.Release(n) })
	}
}

// Empty reports whether nothing is reserved.
func (a *MemoryAccount) Empty() bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.used == 0
}

// ClientMemory holds the budgets of clients' messages. The zero value bounds nothing.
type ClientMemory struct {
	Requests  *MemoryBudget // requests on connections, until their final answers
	Datagrams *MemoryBudget // requests in datagrams; apart, since their sources are not bounded in number
	Output    *MemoryBudget // answers that wait to be written on connections
}
