package sip

import (
	"flag"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"beammux/internal/actor"
)

// The same steps each time: a verdict must not change from run to run.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}

// pipe is a flow that counts what is sent on it.
type pipe struct {
	stream bool
	mu     sync.Mutex
	sent   []*Message
}

func (p *pipe) send(data []byte, still func() bool, _ func(error)) error {
	m, _ := Parse(data)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, m)
	return nil
}
func (p *pipe) reliable() bool { return p.stream }
func (p *pipe) proto() string  { return map[bool]string{false: "UDP", true: "TCP"}[p.stream] }
func (p *pipe) remote() string { return "127.0.0.1:5060" }

func (p *pipe) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sent)
}

func (p *pipe) count(method string, status int) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.sent {
		if m.Method == method && m.Status == status {
			n++
		}
	}
	return n
}

func testRequest(method string) *Message {
	return Request(method, "sip:x@y").Set("Via", "SIP/2.0/UDP h;branch=z9hG4bK1").Set("From", "<sip:a@b>;tag=1").
		Set("To", "<sip:x@y>").Set("Call-ID", "c").Set("CSeq", "1 "+method)
}

// retransmissions gives how many copies of a request RFC 3261 has sent after a time without any response: gaps double
// from T1, up to T2 but for INVITE, until 64 T1.
func retransmissions(t Timers, invite bool, d time.Duration) int {
	n, gap := 1, t.T1
	for at := gap; at <= d && at < 64*t.T1; at += gap {
		n++
		gap *= 2
		if !invite {
			gap = min(gap, t.T2)
		}
	}
	return n
}

// Client transactions against a model: what the RFC says of responses seen so far decides what may be sent and told.
func TestClientTransactions(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			a := actor.New()
			defer a.Stop()
			do := func(f func()) { a.Post(f); synctest.Wait() }
			method := rapid.SampledFrom([]string{"INVITE", "BYE"}).Draw(r, "method")
			invite := method == "INVITE"
			p := &pipe{stream: rapid.Bool().Draw(r, "stream")}
			l := newLayer(DefaultTimers, a.After)
			req := testRequest(method)
			var finals, ends, successes int
			do(func() {
				l.request(req, p, nil, func(m *Message) {
					if m.Status >= 300 || !invite && m.Status >= 200 {
						finals++
					} else if m.Status >= 200 {
						successes++
					}
				}, func(error) { ends++ })
			})
			began := time.Now()
			var heard, final, ok bool // a response; a final one; a 2xx to INVITE
			var finalAt time.Time
			acks, twoxx := 0, 0
			for range rapid.IntRange(1, 12).Draw(r, "steps") {
				alive := !final && (time.Since(began) < 64*DefaultTimers.T1 || heard && invite)
				switch rapid.IntRange(0, 3).Draw(r, "step") {
				case 0:
					time.Sleep(time.Duration(rapid.IntRange(1, 20000).Draw(r, "ms"))*time.Millisecond + time.Microsecond)
					synctest.Wait()
				case 1:
					do(func() { l.response(Respond(req, 180, "Ringing")) })
					heard = heard || alive
				case 2:
					do(func() { l.response(Respond(req, 200, "OK")) })
					if alive && !final {
						final, ok, finalAt = true, true, time.Now()
					}
					if invite && ok && time.Since(finalAt) < 64*DefaultTimers.T1 {
						twoxx++
					}
				case 3:
					do(func() { l.response(Respond(req, 486, "Busy")) })
					if alive && !final {
						final, finalAt = true, time.Now()
						acks++
					} else if final && !ok && !p.stream && time.Since(finalAt) < 64*DefaultTimers.T1 {
						acks++
					}
				}
				if invite && p.count("ACK", 0) != acks {
					r.Fatalf("%d ACKs, want %d", p.count("ACK", 0), acks)
				}
				if invite && successes != twoxx {
					r.Fatalf("%d answers told, want %d", successes, twoxx)
				}
				want := 0
				if final && (!invite || !ok) {
					want = 1
				}
				if finals != want || ends > 1 || ends+finals > 1 {
					r.Fatalf("%d finals and %d ends told, want %d finals", finals, ends, want)
				}
				over := time.Since(began) >= 64*DefaultTimers.T1
				if (ends == 1) != (over && !final && !(heard && invite)) {
					r.Fatalf("%d ends after %v (heard %v, final %v)", ends, time.Since(began), heard, final)
				}
				if !heard && !final {
					n := retransmissions(DefaultTimers, invite, time.Since(began))
					if p.stream {
						n = 1
					}
					if got := p.count(method, 0); got != n {
						r.Fatalf("%d copies after %v, want %d", got, time.Since(began), n)
					}
				}
			}
			do(func() {})
			time.Sleep(200 * time.Second)
			synctest.Wait()
			if n := len(l.clients); n > 0 && (final || ends > 0) {
				r.Fatalf("%d transactions are left", n)
			}
		})
	})
}

// Server transactions against a model: every copy of a request is absorbed, and a request has one final response.
func TestServerTransactions(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			a := actor.New()
			defer a.Stop()
			do := func(f func()) { a.Post(f); synctest.Wait() }
			method := rapid.SampledFrom([]string{"INVITE", "BYE"}).Draw(r, "method")
			p := &pipe{stream: rapid.Bool().Draw(r, "stream")}
			l := newLayer(DefaultTimers, a.After)
			req := testRequest(method)
			fresh := 0
			var tx *serverTx
			do(func() { tx, _ = l.accept(req, p); fresh++ })
			final, acked := 0, false
			var finalAt time.Time
			for range rapid.IntRange(1, 12).Draw(r, "steps") {
				gone := final > 0 && time.Since(finalAt) >= 64*DefaultTimers.T1
				switch rapid.IntRange(0, 3).Draw(r, "step") {
				case 0:
					time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond)
					synctest.Wait()
				case 1: // a copy
					if gone || acked || final > 0 && p.stream {
						continue // it may come after the transaction's end: another request then
					}
					before := p.len()
					do(func() {
						if _, f := l.accept(req, p); f {
							fresh++
						}
					})
					absorbed := p.len() == before
					if final >= 300 && absorbed || final > 0 && method == "BYE" && absorbed {
						r.Fatalf("a copy after the final response got no answer")
					}
				case 2:
					status := rapid.SampledFrom([]int{180, 200, 486}).Draw(r, "status")
					took := false
					do(func() { took = tx.respond(Respond(req, status, "x")) })
					if took != (final == 0) {
						r.Fatalf("a response after the final one %d was taken: %v", final, took)
					}
					if final == 0 && status >= 200 {
						final, finalAt = status, time.Now()
					}
				case 3:
					if method == "INVITE" && final >= 300 {
						ack := testRequest("ACK")
						do(func() { l.accept(ack, p) })
						acked = true
					}
				}
				if fresh != 1 {
					r.Fatalf("a copy became a request of its own")
				}
				for _, status := range []int{200, 486} {
					if status != final && p.count("", status) > 0 {
						r.Fatalf("%d was sent beside %d", status, final)
					}
				}
			}
			sent := p.len()
			do(func() {})
			time.Sleep(200 * time.Second)
			synctest.Wait()
			if final > 0 && len(l.servers) > 0 {
				r.Fatalf("the transaction is left")
			}
			if (acked || p.stream) && p.len() != sent {
				r.Fatalf("repeated after the ACK")
			}
		})
	})
}
