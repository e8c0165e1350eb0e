// Package ops serves the operators' HTTP/1.1 endpoints, one request per connection. A 2xx status means yes, a 4xx or 5xx status
// means no.
//
//	GET  /api/ready      yes while this process accepts clients
//	GET  /api/telemetry  the metrics, in the Prometheus text format
//	POST /api/evacuate   stop accepting clients and close idle connections
//	POST /api/rejoin     accept clients again
//	GET  /api/fleet      this member's view of the fleet, JSON; 404 if the fleet is disabled
//
// A control machine serves only the first two.
//
// The server is a net/http server with all timeouts set: a client that sends nothing or half a request holds one goroutine and
// one descriptor until its deadline, and never blocks another client. Over a limit the oldest connection is closed. Rejected: a
// parser of our own over net/textproto. HTTP/1.1 has more special cases (continuation, chunked bodies, pipelining) than a few
// lines handle correctly, and net/http answers those with status 400.
package ops

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/transport"
)

// Timeouts and bounds of the server.
const (
	readTimeout    = 800 * time.Millisecond // for reading a whole request; then the connection is closed
	writeTimeout   = time.Second
	maxHeaderBytes = 8 << 10
	MaxOpenConns   = 32 // maximum of open connections, each a descriptor; a further one closes the oldest
)

// Process serves the operators' requests that any process answers. Its methods do not block.
type Process interface {
	// Ready reports whether the process accepts clients.
	Ready() bool
	// WriteMetrics writes the metrics in the Prometheus text format.
	WriteMetrics(w io.Writer)
}

// Gatekeeper serves the operators' requests to a gatekeeper. Its methods do not block.
type Gatekeeper interface {
	Process
	// Evacuate stops accepting clients.
	Evacuate()
	// Rejoin accepts clients again unless the process is shutting down.
	Rejoin()
	// Fleet returns the status of the fleet for encoding as JSON, and reports whether the fleet is enabled.
	Fleet() (view any, on bool)
}

// Server is the HTTP server on the operators' address of one process.
type Server struct {
	ln   net.Listener
	http *http.Server
}

// SplitAddress splits an operators' address, HOST:PORT with a numeric port, and validates the port.
func SplitAddress(addr string) (host, port string, err error) {
	host, port, err = net.SplitHostPort(addr)
	if err == nil {
		if n, e := strconv.Atoi(port); e != nil || n < 0 || n > 65535 {
			err = errors.New("port " + strconv.Quote(port) + " is not a number from 0 to 65535")
		}
	}
	return host, port, err
}

// Listen binds the address and serves the requests to a gatekeeper on it until Close. scheduler, which may be nil, shares the processor
// between the operators' connections and the clients.
func Listen(addr string, g Gatekeeper, scheduler *transport.Scheduler, log logrus.FieldLogger) (*Server, error) {
	return listen(addr, Handler(g), scheduler, log)
}

// ListenProcess is like Listen for a process that is not a gatekeeper: it serves only readiness and metrics.
func ListenProcess(addr string, p Process, log logrus.FieldLogger) (*Server, error) {
	return listen(addr, processHandler(p), nil, log)
}

func listen(addr string, handler http.Handler, scheduler *transport.Scheduler, log logrus.FieldLogger) (*Server, error) {
	if _, _, err := SplitAddress(addr); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{ln: &limitListener{Listener: ln, scheduler: scheduler}}
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(io.Discard, "", 0)} // aborted requests are frequent and not worth logging
	s.http.SetKeepAlivesEnabled(false)
	go func() {
		if err := s.http.Serve(s.ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).Error("operators' address stopped")
		}
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close stops the server. Open requests have 100 ms to complete.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}

// processHandler returns the handler of the requests that any process answers.
func processHandler(p Process) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, _ *http.Request) {
		if p.Ready() {
			writeText(w, http.StatusOK, "ready\n")
		} else {
			writeText(w, http.StatusServiceUnavailable, "not ready\n")
		}
	})
	mux.HandleFunc("GET /api/telemetry", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		p.WriteMetrics(w)
	})
	return mux
}

// Handler returns the handler of the requests to a gatekeeper.
func Handler(g Gatekeeper) http.Handler {
	mux := processHandler(g)
	mux.HandleFunc("GET /api/fleet", func(w http.ResponseWriter, _ *http.Request) {
		view, on := g.Fleet()
		if !on {
			writeText(w, http.StatusNotFound, "the fleet is off\n")
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(view)
	})
	mux.HandleFunc("POST /api/evacuate", func(w http.ResponseWriter, _ *http.Request) {
		g.Evacuate()
		writeText(w, http.StatusOK, "evacuating\n")
	})
	mux.HandleFunc("POST /api/rejoin", func(w http.ResponseWriter, _ *http.Request) {
		if g.Rejoin(); !g.Ready() { // shutting down, or not started yet
			writeText(w, http.StatusConflict, "not ready\n")
			return
		}
		writeText(w, http.StatusOK, "rejoined\n")
	})
	return mux
}

// writeText writes a plain text response.
func writeText(w http.ResponseWriter, code int, body string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	io.WriteString(w, body)
}

// limitListener is a listener that keeps at most MaxOpenConns connections open, so that many silent clients use a bounded
// number of descriptors. Over the limit it closes the oldest connection: a proper request is answered within milliseconds, so
// the oldest connection belongs to a client that sends nothing or half a request. Accept never waits for a connection to
// close. It accepts one connection, which carries one request, in each of its turns.
type limitListener struct {
	net.Listener
	scheduler *transport.Scheduler
	mu        sync.Mutex
	open      []*limitedConn // oldest first
}

// Accept implements net.Listener.
func (b *limitListener) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &limitedConn{Conn: c, listener: b}
	b.scheduler.Do(func() { b.add(conn) })
	return conn, nil
}

// add adds an open connection, and closes the oldest one over the limit.
func (b *limitListener) add(conn *limitedConn) {
	var oldest *limitedConn
	b.mu.Lock()
	if len(b.open) >= MaxOpenConns {
		oldest = b.open[0]
		b.open = b.open[1:]
	}
	b.open = append(b.open, conn)
	b.mu.Unlock()
	if oldest != nil {
		oldest.Conn.Close()
	}
}

// remove removes a closed connection from the open ones.
func (b *limitListener) remove(conn *limitedConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.open, conn); i >= 0 {
		b.open = slices.Delete(b.open, i, i+1)
	}
}

// limitedConn is a connection that removes itself from its listener when it is closed.
type limitedConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.remove(c) })
	return c.Conn.Close()
}
