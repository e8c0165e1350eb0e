package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host describes a menu server in the events of the bus. State is up, draining or removed.
type Host struct {
	Name, State string
	Cell        int
	Zone        string
	Since       time.Time // start time of a server that was added late; zero if it started long ago
}

// Bus is a stand-in for the event bus (PROTOCOL, the event bus). It serves numbered events as server-sent events. Each
// gatekeeper has its own listener, because each reaches the servers at different addresses.
type Bus struct {
	mu         sync.Mutex
	hosts      []Host // current list
	lastOffset int64
	changed    chan struct{} // closed and replaced on each change
	changes    []busChange
	servers    []*http.Server
	done       chan struct{}
}

type busChange struct {
	offset int64
	hosts  []Host
}

// NewBus returns a bus whose first event contains hosts.
func NewBus(hosts []Host) *Bus {
	b := &Bus{changed: make(chan struct{}), done: make(chan struct{})}
	b.Change(hosts...)
	return b
}

// Change publishes an event with the changed hosts and updates the list.
func (b *Bus) Change(hosts ...Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastOffset++
	b.changes = append(b.changes, busChange{b.lastOffset, hosts})
	for _, h := range hosts {
		known := false
		for i := range b.hosts {
			if b.hosts[i].Name == h.Name {
				b.hosts[i], known = h, true
			}
		}
		if !known {
			b.hosts = append(b.hosts, h)
		}
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

type busHost struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Block  int    `json:"block"`
	Health string `json:"health"`
	Born   int64  `json:"born_ms"`
}

type busEvent struct {
	Offset   int64 `json:"offset"`
	Topology struct {
		Whole bool      `json:"whole"`
		Hosts []busHost `json:"hosts"`
	} `json:"topology"`
}

func event(offset int64, whole bool, hosts []Host, dial func(host string) string) (e busEvent) {
	e.Offset, e.Topology.Whole = offset, whole
	for _, h := range hosts {
		born := int64(0)
		if !h.Since.IsZero() {
			born = h.Since.UnixMilli()
		}
		e.Topology.Hosts = append(e.Topology.Hosts, busHost{h.Name, dial(h.Name), h.Zone, h.Cell, h.State, born})
	}
	return e
}

// Known returns the value of `known` for the configuration of a gatekeeper that starts now.
func (b *Bus) Known(dial func(host string) string) json.RawMessage {
	b.mu.Lock()
	defer b.mu.Unlock()
	text, err := json.Marshal(map[string]any{"offset": b.lastOffset, "batch": []busEvent{event(b.lastOffset, true, b.hosts, dial)}})
	if err != nil { // cannot happen: the value contains only strings and numbers
		panic(err)
	}
	return text
}

// Listen starts an HTTP listener of the bus for one gatekeeper and returns its address. dial returns the address at which
// that gatekeeper reaches a host.
func (b *Bus) Listen(dial func(host string) string) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /bus/read", func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, dial) })
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second}
	b.mu.Lock()
	b.servers = append(b.servers, s)
	b.mu.Unlock()
	go s.Serve(ln)
	return ln.Addr().String(), nil
}

func (b *Bus) serve(w http.ResponseWriter, r *http.Request, dial func(string) string) {
	lastOffset, _ := strconv.ParseInt(r.Header.Get("Last-Event-ID"), 10, 64)
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		b.mu.Lock()
		changed := b.changed
		var events []busEvent
		if lastOffset == 0 {
			events = append(events, event(b.lastOffset, true, b.hosts, dial))
		} else {
			for _, c := range b.changes {
				if c.offset > lastOffset {
					events = append(events, event(c.offset, false, c.hosts, dial))
				}
			}
		}
		b.mu.Unlock()
		for _, e := range events {
			text, _ := json.Marshal(e)
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", e.Offset, text)
			lastOffset = e.Offset
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-tick.C:
			fmt.Fprint(w, ": alive\n")
		case <-r.Context().Done():
			return
		case <-b.done:
			return
		}
	}
}

// Close shuts down all listeners of the bus and ends the open event streams.
func (b *Bus) Close() {
	close(b.done)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		s.Close()
	}
}
