package sip

import (
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/actor"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

// Core is the part of the routing core that the front needs.
type Core interface {
	Open(routing.Setup, routing.Caller)
	Withdraw(id string, caller routing.Caller, done func(inTime bool))
	Hangup(id string, cause int, caller routing.Caller, done func(known bool))
	// CountMalformed counts a set-up that was refused before the core saw it: class is its place in the settings, or -1.
	CountMalformed(class int)
}

// Dialogs keeps records of established calls, for the next start. Its methods must not block.
type Dialogs interface {
	Put(key string, value []byte)
	Delete(key string)
}

// Options say how an Agent works.
type Options struct {
	Classes      []string         // names, in the order of the settings
	Deadlines    []control.Micros // and how long a caller of each waits
	DefaultClass string           // of a caller that names none
	Reports      []string         // names of a report's values
	Timers       Timers
	DialTimeout  time.Duration
	Budget       *transport.Budget
	Dialogs      Dialogs // may be nil
	// OnFirstMessage, if not nil, is called once for each caller's TCP connection, with its address and whether it brought a whole message
	// first: false for one that can't be read, and for none in time. From any goroutine.
	OnFirstMessage func(address string, wellFormed bool)
	// IsBlocked, if not nil, tells whether TCP connections from a caller's address are closed at once.
	IsBlocked func(address string) bool
	Log       logrus.FieldLogger
}

// Agent is a back-to-back user agent: SIP callers on one side, the core's connections to SIP servers on the other. All of
// it, transactions and dialogs included, belongs to one actor.
type Agent struct {
	*actor.Actor
	Options
	core        Core
	layer       *layer
	udp         net.PacketConn
	tcp         *transport.Listener
	conns       map[string]*transport.Conn // TCP, by remote address
	calls       map[*serverTx]*uasCall     // set-ups of callers that have no final answer
	dialogs     map[string]*dialog         // by key
	byID        map[string]*dialog         // by the core's id and side
	serverConns map[string]*serverConn     // by the server's address
	draining    bool
	closing     bool // set-ups are refused: the process ends
	once        sync.Once
}

// NewAgent makes an agent that listens nowhere yet.
func NewAgent(core Core, o Options) *Agent {
	if o.Timers == (Timers{}) {
		o.Timers = DefaultTimers
	}
	a := &Agent{Actor: actor.New(), Options: o, core: core, conns: map[string]*transport.Conn{},
		calls: map[*serverTx]*uasCall{}, dialogs: map[string]*dialog{}, byID: map[string]*dialog{},
		serverConns: map[string]*serverConn{}}
	a.layer = newLayer(o.Timers, a.After)
	return a
}

// Listen opens the front's sockets; an empty address leaves one out. It is called once, before any server is dialled:
// connections over UDP use the same socket. Nothing is read before Serve.
func (a *Agent) Listen(udp, tcp string) error {
	if udp != "" {
		pc, err := net.ListenPacket("udp", udp)
		if err != nil {
			return err
		}
		a.udp = pc
	}
	if tcp != "" {
		l, err := transport.Listen(tcp, a.Budget)
		if err != nil {
			if a.udp != nil {
				a.udp.Close()
			}
			return err
		}
		l.IsBlocked = a.IsBlocked
		a.tcp = l
	}
	return nil
}

// Serve starts to take what comes, once the servers are known.
func (a *Agent) Serve() {
	if a.udp != nil {
		go a.readUDP(a.udp)
	}
	if a.tcp != nil {
		go a.tcp.Serve(a.serveTCP)
	}
}

// Addr gives the address on which the agent listens for a transport, or "".
func (a *Agent) Addr(proto string) string {
	switch {
	case proto == "UDP" && a.udp != nil:
		return a.udp.LocalAddr().String()
	case proto == "TCP" && a.tcp != nil:
		return a.tcp.Addr().String()
	}
	return ""
}

// Drain fails the tests that are asked for from now on. Set-ups are still taken: whether one is refused is decided by
// the module alone.
func (a *Agent) Drain() { a.Post(func() { a.draining = true }) }

// TurnAway refuses the set-ups that come from now on: the process ends once what came before is answered.
func (a *Agent) TurnAway() { a.Post(func() { a.closing = true }) }

// Close ends the agent's sockets, once it has sent what was posted before.
func (a *Agent) Close() { a.once.Do(a.close) }

func (a *Agent) close() {
	sent := make(chan struct{})
	a.Post(func() { close(sent) })
	<-sent
	if a.tcp != nil {
		a.tcp.Close()
		a.tcp.Finish(a.Timers.T1)
	}
	if a.udp != nil {
		a.udp.Close()
	}
	a.Stop()
}
