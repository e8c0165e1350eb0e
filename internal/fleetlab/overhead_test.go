package fleetlab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beammux/internal/lab"
	"beammux/internal/protocol/jsonl"
	"beammux/internal/relay"
)

// BenchmarkRelayOnACall measures the latency that the relay adds to a call through a real gatekeeper process. It alternates
// between a call whose caller and server connections go through the relay, and a call over direct connections to another
// server of the same gatekeeper.
//
//	go test -run '^$' -bench RelayOnACall -benchtime 2000x ./internal/fleetlab
func BenchmarkRelayOnACall(b *testing.B) {
	p, err := Build("../..", programFolder)
	if err != nil {
		b.Fatal(err)
	}
	dir := b.TempDir()
	n := relay.New(1)
	defer n.Close()
	links := map[string]*relay.Link{}
	for _, ends := range [][2]string{{"front", "g"}, {"g", "s"}} {
		if links[ends[1]], err = n.TCP(ends[0], ends[1], ""); err != nil {
			b.Fatal(err)
		}
	}
	var answered [2]atomic.Int64
	list := "name,address,cell\n"
	for i := range 2 {
		s, err := lab.NewServer(lab.Work{Setup: time.Microsecond, MaxQueueDelay: time.Second}, 1)
		if err != nil {
			b.Fatal(err)
		}
		defer s.Close()
		s.SetObserver(func(e lab.Observation) {
			if e.Kind == lab.ServerAnswered {
				answered[i].Add(1)
			}
		})
		addr := s.Addr()
		if i == 1 {
			n.Up("s", "", addr)
			addr = links["s"].Addr()
		}
		list += fmt.Sprintf("s-%08x,%s,%d\n", i+1, addr, i)
	}
	inventory := filepath.Join(dir, "servers.csv")
	deploy, _ := json.Marshal(map[string]string{"inventory": inventory})
	for name, text := range map[string]string{"servers.csv": list, "deploy.json": string(deploy),
		"config.json": `{"name":"g","listen":"127.0.0.1:0","settings":` + lab.Settings(1) + `}`} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
	}
	listen := make(chan string, 1)
	g, err := spawn(p, "g", dir, filepath.Join(dir, "log"), []string{"--log-format", "json", "serve", "--config", "config.json", "--deploy", "deploy.json"},
		[]string{"PROXY_ADMIN_ADDR=127.0.0.1:0"}, func(s logLine) {
			if s.Msg == "serving" {
				listen <- s.Listen
			}
		}, func(*process) {})
	if err != nil {
		b.Fatal(err)
	}
	defer g.signal(syscall.SIGKILL)
	if _, err := g.ready(b.Context()); err != nil {
		b.Fatal(err)
	}
	direct := <-listen
	n.Up("g", "", direct)
	var conns [2]net.Conn
	var lines [2]*jsonl.Reader
	for i, addr := range []string{direct, links["g"].Addr()} {
		if conns[i], err = net.Dial("tcp", addr); err != nil {
			b.Fatal(err)
		}
		defer conns[i].Close()
		conns[i].SetDeadline(time.Now().Add(time.Minute))
		lines[i] = jsonl.NewReader(bufio.NewReaderSize(conns[i], jsonl.MaxMessage))
	}
	call := func(i, id int) (took time.Duration, own bool) {
		sid, before := fmt.Sprintf("%016x", id), answered[i].Load()
		m := jsonl.Message{Type: "open", ID: sid, Text: "offer\r\n", Attrs: map[string]string{"class": "menu-view", "left": "3000", "key": "7", "extras": fmt.Sprintf("dest:%d;width:1", i)}}
		began := time.Now()
		conns[i].Write(m.Append(nil))
		for {
			got, err := lines[i].Next()
			if err != nil {
				b.Fatal(err)
			}
			if got.ID != sid {
				continue
			}
			took = time.Since(began)
			if got.Type == "ready" {
				end := jsonl.Message{Type: "close", ID: sid, Attrs: map[string]string{}, Code: 16}
				conns[i].Write(end.Append(nil))
			}
			return took, got.Type == "ready" && answered[i].Load() > before
		}
	}
	plain, added := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	pairs := 0
	for k := range b.N {
		one, ok := call(0, 2*k+1)
		two, also := call(1, 2*k+2)
		if ok && also { // each call went to its own server
			pairs++
			plain.RecordValue(max(1, one.Microseconds()))
			added.RecordValue(max(1, (two - one).Microseconds()))
		}
	}
	b.ReportMetric(float64(pairs), "pairs")
	for name, h := range map[string]*hdrhistogram.Histogram{"direct": plain, "added": added} {
		b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"-p50-us")
		b.ReportMetric(float64(h.ValueAtQuantile(99)), name+"-p99-us")
	}
}
