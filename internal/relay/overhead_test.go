package relay

import (
	"net"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkOverhead measures the latency that a link adds to the round trip of a message of a set-up's size. Round trips over a
// direct connection alternate with those over the link. BenchmarkRelayOnACall in fleetlab measures the overhead on a whole call.
//
//	go test -run '^$' -bench Overhead -benchtime 20000x ./internal/relay
func BenchmarkOverhead(b *testing.B) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 400)
				for {
					n, err := c.Read(buf)
					if err != nil {
						return
					}
					c.Write(buf[:n])
				}
			}()
		}
	}()
	n := New(1)
	defer n.Close()
	l, err := n.TCP("a", "b", "")
	if err != nil {
		b.Fatal(err)
	}
	n.Up("b", "", ln.Addr().String())
	var conns [2]net.Conn
	for i, addr := range []string{ln.Addr().String(), l.Addr()} {
		if conns[i], err = net.Dial("tcp4", addr); err != nil {
			b.Fatal(err)
		}
		defer conns[i].Close()
	}
	var took [2]*hdrhistogram.Histogram
	for i := range took {
		took[i] = hdrhistogram.New(1, 10_000_000, 3)
	}
	added := hdrhistogram.New(1, 10_000_000, 3)
	buf := make([]byte, 400)
	for range b.N {
		var pair [2]time.Duration
		for i, c := range conns {
			began := time.Now()
			c.Write(buf)
			for got := 0; got < len(buf); {
				read, err := c.Read(buf[got:])
				if err != nil {
					b.Fatal(err)
				}
				got += read
			}
			pair[i] = time.Since(began)
			took[i].RecordValue(max(1, pair[i].Nanoseconds()/100))
		}
		added.RecordValue(max(1, (pair[1]-pair[0]).Nanoseconds()/100))
	}
	for name, h := range map[string]*hdrhistogram.Histogram{"direct": took[0], "relayed": took[1], "added": added} {
		b.ReportMetric(float64(h.ValueAtQuantile(50))/10, name+"-p50-us")
		b.ReportMetric(float64(h.ValueAtQuantile(99))/10, name+"-p99-us")
	}
}
