// Package admin lets staff watch a running gatekeeper: a socket that brings its events from now on, after what is known at
// the time. It is read-only; what a watcher sends is not read.
package admin

import (
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

const (
	watchersMost = 8
	queueMost    = 4096            // events that wait for one watcher; over it they are dropped, and it is told
	writeWithin  = 5 * time.Second // a watcher that takes nothing for so long is left
)

// Hub hands events to a recorder and to watchers. It implements routing.Recorder.
type Hub struct {
	Node    string
	Records routing.Recorder       // may be nil
	Known   func() []history.Event // what is known now, for a new watcher

	mu       sync.Mutex
	watchers map[*watcher]bool
	ln       net.Listener
}

type watcher struct {
	conn    net.Conn
	queue   []history.Event
	dropped int64
	wake    chan struct{}
}

// Record implements routing.Recorder. It never blocks.
func (h *Hub) Record(e history.Event) {
	if h.Records != nil {
		h.Records.Record(e)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for w := range h.watchers {
		if len(w.queue) >= queueMost {
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

const unixPrefix = "unix:" // of the address of a socket in the file system

// ParseAddress tells network and address of an admin address: unix:PATH, or HOST:PORT on loopback.
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

// Listen opens the socket and serves watchers until Close.
func (h *Hub) Listen(addr string) error {
	network, address, err := ParseAddress(addr)
	if err != nil {
		return err
	}
	if network == "unix" { // one left by a process that was killed
		if c, err := net.Dial(network, address); err == nil {
			c.Close()
			return fmt.Errorf("%s: another process listens there", address)
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

// Addr is where the hub listens.
func (h *Hub) Addr() string { return h.ln.Addr().String() }

// Close ends the socket and all watchers.
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

func (h *Hub) serve(c net.Conn) {
	defer c.Close()
	w := &watcher{conn: c, wake: make(chan struct{}, 1)}
	h.mu.Lock()
	if len(h.watchers) >= watchersMost {
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
	gone := make(chan struct{})
	go func() { // a watcher that leaves is noticed also while nothing happens
		var b [64]byte
		for {
			if _, err := c.Read(b[:]); err != nil {
				close(gone)
				return
			}
		}
	}()
	c.SetWriteDeadline(time.Now().Add(writeWithin))
	out, err := record.NewStreamWriter(c, h.Node)
	if err != nil || out.Write(h.Known()) != nil {
		return
	}
	for {
		select {
		case <-w.wake:
		case <-gone:
			return
		}
		h.mu.Lock()
		batch := w.queue
		w.queue = nil
		h.mu.Unlock()
		c.SetWriteDeadline(time.Now().Add(writeWithin))
		if out.Write(batch) != nil {
			return
		}
	}
}
