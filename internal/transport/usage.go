package transport

import "time"

// Usage is what a connection is used for at one moment.
type Usage struct {
	Remote      string // address of the other side
	OpenedAt    time.Time
	LastUsed    time.Time // when it last carried a message or an answer
	Unanswered  int       // messages that wait for their answer
	Established int       // established calls that arrived on it
	Receiving   bool      // a message has begun and is not complete
}

// Usage returns what the connection is used for.
func (c *Conn) Usage() Usage {
	return Usage{Remote: c.RemoteAddr().String(), OpenedAt: c.openedAt, LastUsed: c.LastUsed(), Unanswered: int(c.holds.Load()),
		Established: int(c.calls.Load()), Receiving: c.receiving.Load()}
}

// Usages returns what the open connections are used for.
func (l *Listener) Usages() []Usage {
	conns := l.openConns()
	usages := make([]Usage, 0, len(conns))
	for _, c := range conns {
		usages = append(usages, c.Usage())
	}
	return usages
}
