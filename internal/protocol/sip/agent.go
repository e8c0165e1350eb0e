package sip

import (
	"context"
	"errors"
	"hash/maphash"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/actor"
	"beammux/internal/loglimit"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

// Core is the part of the routing core that an Agent uses. routing.Core implements it.
type Core interface {
	// Open starts a call.
	Open(routing.Setup, routing.Caller)
	// Withdraw gives up a call on behalf of its caller. inTime reports whether it had no final answer yet.
	Withdraw(id string, caller routing.Caller, done func(inTime bool))
	// Hangup ends a call from the caller's side. known reports whether the core knew the call. caller and done may be nil.
	Hangup(id string, cause int, caller routing.Caller, done func(known bool))
	// Abort ends a call that has no final answer yet. Its caller receives one.
	Abort(id string, caller routing.Caller)
	// ReleaseOrphan passes on a server's release of a call that was established before this process started, to its caller.
	ReleaseOrphan(id string, cause int)
	// CountMalformed counts a set-up that the agent refused without passing it to the core. class is the index of its class in the
	// settings, or -1 if the class is unknown.
	CountMalformed(class int)
	// CountRefused counts a set-up that the agent refused because of an overload without passing it to the core.
	CountRefused(class int)
}

// Dialogs persists records of established dialogs, so that they can be restored after a restart. Its methods must not block.
type Dialogs interface {
	// Put stores a record, and replaces an earlier one with the same key.
	Put(key string, value []byte)
	// Delete removes a record.
	Delete(key string)
}

// Options configure an Agent.
type Options struct {
	Classes      []string         // class names, in the order of the settings
	Deadlines    []control.Micros // how long a caller of each class waits for the final answer, in the same order
	DefaultClass string           // class of a set-up without an X-Cos header
	Reports      []string         // names of the values in a load report, in the order of the settings
	Timers       Timers
	DialTimeout  time.Duration
	Budget       *transport.Budget
	Memory       transport.ClientMemory
	Scheduler    *transport.Scheduler // shares the processor between the clients; nil: messages are processed at once
	Dialogs      Dialogs              // may be nil
	// OnFirstMessage, if not nil, is called once for each caller's TCP connection, with the caller's address. wellFormed reports
	// whether the first message was complete and valid; it is false if the message could not be parsed or did not arrive in
	// time. OnFirstMessage may be called from any goroutine.
	OnFirstMessage func(address string, wellFormed bool)
	// IsBlocked, if not nil, reports whether new TCP connections from a caller's address are closed immediately.
	IsBlocked func(address string) bool
	// LookupHost returns the addresses of a host name; nil for that of net.DefaultResolver.
	LookupHost func(ctx context.Context, host string) ([]string, error)
	Log        logrus.FieldLogger
}

// Agent is a back-to-back user agent (RFC 3261, 6): it serves SIP callers on one side and provides the core's connections to
// SIP servers on the other. All of its state, including transactions and dialogs, is owned by one actor.
type Agent struct {
	*actor.Actor
	Options
	core             Core
	transactionLayer *transactionLayer
	udp              *udpSocket // nil if disabled
	sources          *datagramSources
	tcp              *transport.Listener
	tcpConns         map[string]*transport.Conn     // open TCP connections, by remote address
	pendingCalls     map[*serverTx]*uasCall         // set-ups without a final answer
	dialogs          map[string]*dialog             // by dialog.key
	pendingRequests  map[string]bool                // requestKey of pendingCalls
	dialogsByID      map[string]*dialog             // by dialog.storeKey: the core's call id and the side
	dialogsByAttempt map[routing.AttemptRef]*dialog // those with servers that this process has opened
	tagSeed          maphash.Seed                   // of the tags of stateless responses
	badInput         *loglimit.Limiter              // log of bad messages
	serverConns      map[string]*serverConn         // by transport and server address
	draining         bool
	refusing         bool // new set-ups are refused, because the process is about to exit
	refusingOnConns  bool // new set-ups on TCP connections are refused, so that these can be closed
	closeOnce        sync.Once
}

// NewAgent returns an agent that does not listen yet; see Listen and Serve. Zero Timers are replaced by DefaultTimers.
func NewAgent(core Core, options Options) *Agent {
	if options.Timers == (Timers{}) {
		options.Timers = DefaultTimers
	}
	if options.LookupHost == nil {
		options.LookupHost = net.DefaultResolver.LookupHost
	}
	a := &Agent{Actor: actor.New(), Options: options, core: core, tcpConns: map[string]*transport.Conn{},
		pendingCalls: map[*serverTx]*uasCall{}, pendingRequests: map[string]bool{}, dialogs: map[string]*dialog{},
		dialogsByID: map[string]*dialog{}, dialogsByAttempt: map[routing.AttemptRef]*dialog{}, tagSeed: maphash.MakeSeed(),
		badInput: loglimit.New(options.Log), serverConns: map[string]*serverConn{}}
	a.sources = newDatagramSources(options.Memory.Datagrams, a.handleDatagram)
	a.transactionLayer = newTransactionLayer(options.Timers, a.After)
	return a
}

// Listen opens the sockets for callers. An empty address disables that transport. It must be called once, before any server is
// dialed, because traffic to servers over UDP uses the same socket. Nothing is read before Serve. If another process has the address for
// UDP, the agent serves without it until BindUDP succeeds.
func (a *Agent) Listen(udp, tcp string) error {
	if udp != "" {
		a.udp = &udpSocket{addr: udp}
		if err := a.udp.bind(); err != nil && !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	if tcp != "" {
		listener, err := transport.Listen(tcp, a.Budget)
		if err != nil {
			if a.udp != nil {
				a.udp.close()
			}
			return err
		}
		listener.IsBlocked, listener.Memory = a.IsBlocked, a.Memory
		a.tcp = listener
	}
	return nil
}

// BindUDP binds the address for UDP if Listen found it in use by another process. It may be called any number of times.
func (a *Agent) BindUDP() error {
	if a.udp == nil {
		return nil
	}
	return a.udp.bind()
}

// Serve starts reading from the sockets. It is called once the server list is known.
func (a *Agent) Serve() {
	if a.udp != nil {
		a.udp.serve(a.readUDP)
	}
	if a.tcp != nil {
		go a.tcp.Serve(a.serveTCP)
	}
}

// Addr returns the address on which the agent listens for the transport "UDP" or "TCP", or "" if it does not.
func (a *Agent) Addr(proto string) string {
	switch {
	case proto == "UDP" && a.udp != nil && a.udp.bound() != nil:
		return a.udp.bound().LocalAddr().String()
	case proto == "TCP" && a.tcp != nil:
		return a.tcp.Addr().String()
	}
	return ""
}

// Close closes the agent's sockets and stops its actor after all work posted before has been sent.
func (a *Agent) Close() { a.CloseWithin(a.Timers.T1) }

// CloseWithin is Close with a limit on the time for clients to close their connections too.
func (a *Agent) CloseWithin(limit time.Duration) { a.closeOnce.Do(func() { a.close(limit) }) }

func (a *Agent) close(limit time.Duration) {
	flushed := make(chan struct{})
	a.Post(func() { close(flushed) })
	<-flushed
	if a.tcp != nil {
		a.tcp.Close()
		a.tcp.Finish(limit)
	}
	if a.udp != nil {
		a.udp.close()
	}
	a.Stop()
}
