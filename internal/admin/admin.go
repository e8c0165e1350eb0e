// Package admin lets operators watch a running gatekeeper. Its console socket streams the events of the gatekeeper, starting
// with a snapshot of its state. The stream is read-only: input from a watcher is discarded.
package admin

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"beammux/internal/history"
	"beammux/internal/record"
	"beammux/internal/routing"
)

// Bounds of watchers.
const (
	maxWatchers     = 8
	maxQueuedEvents = 4096            // queued events per watcher; further ones are dropped and counted in a Dropped event
	writeTimeout    = 5 * time.Second // a watcher that accepts no data for this long is disconnected
)

// Hub forwards events to a recorder and to all watchers. It implements routing.Recorder.
type Hub struct {
	Node     string                 // name of the gatekeeper
	Records  routing.Recorder       // receives every event; may be nil
	Snapshot func() []history.Event // returns the snapshot for a new watcher

	mu       sync.Mutex
	watchers map[*watcher]bool
	ln       net.Listener
}

// watcher is one connection with its queue of events.
type watcher struct {
	conn    net.Conn
	queue   []history.Event
	dropped int64
	wake    chan struct{}
}

// Record implements routing.Recorder. It never blocks: events for a watcher with a full queue are dropped.
func (h *Hub) Record(e history.Event) {
	if h.Records != nil {
		h.Records.Record(e)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for w := range h.watchers {
		if len(w.queue) >= maxQueuedEvents {
			w.dropped++
			continue
		}
		if w.dropped > 0 {
			w.queue = append(w.queue, history.Event{At: e.At, Kind: history.Dropped, N: w.dropped})
			w.dropped = 0
		}
		w.queue = append(w.queue, e)
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// unixPrefix marks the address of a Unix domain socket.
const unixPrefix = "unix:"

// ParseAddress parses a console address, unix:PATH or HOST:PORT with a loopback host, into the network and address of package
// net.
func ParseAddress(addr string) (network, address string, err error) {
	if path, ok := strings.CutPrefix(addr, unixPrefix); ok {
		if path == "" {
			return "", "", fmt.Errorf("no path after %s", unixPrefix)
		}
		return "unix", path, nil
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return "", "", err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return "", "", fmt.Errorf("%q is no loopback address", host)
	}
	return "tcp", addr, nil
}

// ErrInUse is the error of Listen if another process serves at the address.
var ErrInUse = errors.New("another process listens there")

// Listen opens the socket and serves watchers until Close.
func (h *Hub) Listen(addr string) error {
	network, address, err := ParseAddress(addr)
	if err != nil {
		return err
	}
	if network == "unix" { // remove a socket file that a killed process left
		if c, err := net.Dial(network, address); err == nil {
			c.Close()
			return fmt.Errorf("%s: %w", address, ErrInUse)
		}
		os.Remove(address)
	}
	ln, err := net.Listen(network, address)
	if err != nil {
		return err
	}
	if network == "unix" {
		if err := os.Chmod(address, 0o600); err != nil {
			ln.Close()
			return err
		}
	}
	h.mu.Lock()
	h.ln, h.watchers = ln, map[*watcher]bool{}
	h.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return nil
}

// Addr returns the address that the hub listens on.
func (h *Hub) Addr() string { return h.ln.Addr().String() }

// Close closes the listener and the connections of all watchers.
func (h *Hub) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ln != nil {
		h.ln.Close()
	}
	for w := range h.watchers {
		w.conn.Close()
	}
}

// serve sends the snapshot and then the queued events to one watcher until it disconnects.
func (h *Hub) serve(c net.Conn) {
	defer c.Close()
	w := &watcher{conn: c, wake: make(chan struct{}, 1)}
	h.mu.Lock()
	if len(h.watchers) >= maxWatchers {
		h.mu.Unlock()
		return
	}
	h.watchers[w] = true
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.watchers, w)
		h.mu.Unlock()
	}()
	disconnected := make(chan struct{})
	go func() { // detects a disconnected watcher also while there are no events
		var b [64]byte
		for {
			if _, err := c.Read(b[:]); err != nil {
				close(disconnected)
				return
			}
		}
	}()
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	stream, err := record.NewStreamWriter(c, h.Node)
	if err != nil || stream.Write(h.Snapshot()) != nil {
		return
	}
	for {
		select {
		case <-w.wake:
		case <-disconnected:
			return
		}
		h.mu.Lock()
		batch := w.queue
		w.queue = nil
		h.mu.Unlock()
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if stream.Write(batch) != nil {
			return
		}
	}
}
