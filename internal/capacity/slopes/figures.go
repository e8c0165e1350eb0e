package slopes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/config"
	"beammux/internal/node"
)

const (
	startTimeout          = 5 * time.Second
	connectTimeout        = 20 * time.Second
	extraConnectionsDelay = 300 * time.Millisecond // time for connections beyond one to each server
)

// gatekeeperConfiguration configures a gatekeeper with one class, without callers and without an event bus. Its limit of sockets
// is above that of a deployed gatekeeper, so that it does not restrict the measured number of connections.
const gatekeeperConfiguration = `{"name":"slopes","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:0",
"limits":{"cores":1.0,"memory_mb":512,"sockets":12000},"settings":{"balancers":1,
"bounds":{"attempts-cap":5,"cancel":true,"dial-timeout-us":500000,"max-retry-after-us":2000000,"retry-after":true},
"classes":[{"aim-us":1500000,"deadline-us":9000000,"late-worth":0.25,"name":"menu-view","repeat":"read_like","worth":1}],
"extra":{"here":-1,"release-guard-us":300000,"t1-us":500000},"guarantees":{"fall-multiple":2,"fall-us":1000000,
"start-capacity":0.33,"warm-within-us":15000000},"report":{"fields":["busy","q"]}}}`

// measureFigures starts gatekeepers that know some servers and have no callers. It measures their connections and heap, the
// response of /api/telemetry, and the size of the log of a start.
func measureFigures(r *run) error {
	for _, servers := range []int{34, 100, 400, 1100, 2200} {
		for range r.Repetitions {
			if err := r.measureGatekeeper(servers); err != nil {
				return fmt.Errorf("%d servers: %w", servers, err)
			}
		}
		r.progress("figures: %d servers", servers)
	}
	return nil
}

// measureGatekeeper measures one gatekeeper with a number of servers.
func (r *run) measureGatekeeper(servers int) error {
	server, err := newSilentServer()
	if err != nil {
		return err
	}
	defer server.close()
	heapBefore := heapInUse()
	logs := &countingWriter{}
	n, err := r.startGatekeeper(logs)
	if err != nil {
		return err
	}
	defer n.Close()
	if err := n.ImportInventory("servers.csv", serverList(servers, server.address())); err != nil {
		return err
	}
	if err := r.waitUntil(connectTimeout, pollInterval, "every server has a connection",
		func() bool { return server.count() >= servers }); err != nil {
		return err
	}
	if err := r.sleep(extraConnectionsDelay); err != nil {
		return err
	}
	text, elapsed, err := scrape(r.ctx, n.OperatorsAddr())
	if err != nil {
		return err
	}
	if want := fmt.Sprintf("proxy_targets %d\n", servers); !strings.Contains(text, want) {
		return fmt.Errorf("telemetry has no line %q", strings.TrimSpace(want))
	}
	const sizeLabel = "servers known"
	r.add("telemetry.bytes", "B", sizeLabel, float64(servers), float64(len(text)))
	r.add("telemetry.time", "us", sizeLabel, float64(servers), float64(elapsed.Microseconds()))
	r.add("log.start_bytes", "B", sizeLabel, float64(servers), float64(logs.count.Load()))
	r.add("servers.connections", "connections", sizeLabel, float64(servers), float64(server.count()))
	r.add("servers.heap", "B", sizeLabel, float64(servers), float64(max(0, heapInUse()-heapBefore)))
	return nil
}

// startGatekeeper starts a gatekeeper that writes its log to logs.
func (r *run) startGatekeeper(logs io.Writer) (*node.Node, error) {
	file := filepath.Join(r.dir, "gatekeeper.json")
	if err := os.WriteFile(file, []byte(gatekeeperConfiguration), 0o600); err != nil {
		return nil, err
	}
	cfg, err := config.Load(file)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(logs)
	ctx, cancel := context.WithTimeout(r.ctx, startTimeout)
	defer cancel()
	return node.Start(ctx, cfg, &config.Deploy{}, log)
}

// heapInUse returns the bytes of allocated heap objects after a garbage collection.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// serverList returns an inventory in CSV whose servers all have the same address.
func serverList(servers int, address string) []byte {
	var list bytes.Buffer
	list.WriteString("name,address,cell\n")
	for i := range servers {
		fmt.Fprintf(&list, "s-%08x,%s,%d\n", i+1, address, i)
	}
	return list.Bytes()
}

// silentServer accepts connections and neither reads nor writes on them.
type silentServer struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func newSilentServer() (*silentServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &silentServer{listener: l}
	go s.serve()
	return s, nil
}

func (s *silentServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
	}
}

func (s *silentServer) address() string { return s.listener.Addr().String() }

func (s *silentServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *silentServer) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

// scrape reads the telemetry as a metrics collector does.
func scrape(ctx context.Context, address string) (text string, elapsed time.Duration, err error) {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/telemetry", nil)
	if err != nil {
		return "", 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), time.Since(started), err
}

// countingWriter counts the bytes written to it and discards them.
type countingWriter struct{ count atomic.Int64 }

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	w.count.Add(int64(len(p)))
	return len(p), nil
}
