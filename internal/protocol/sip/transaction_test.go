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

// TestMain fixes the seed of the random steps, so that results do not change from run to run.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}

// recordingFlow is a flow that records the messages sent on it.
type recordingFlow struct {
	stream bool
	mu     sync.Mutex
	sent   []*Message
}

func (p *recordingFlow) send(data []byte, stillWanted func() bool, _ func(error)) error {
	m, _ := Parse(data)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, m)
	return nil
}
func (p *recordingFlow) reliable() bool { return p.stream }
func (p *recordingFlow) proto() string  { return map[bool]string{false: "UDP", true: "TCP"}[p.stream] }
func (p *recordingFlow) remote() string { return "127.0.0.1:5060" }

func (p *recordingFlow) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sent)
}

func (p *recordingFlow) count(method string, status int) (n int) {
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

// expectedCopies returns how many copies of a request have been sent after d without any response (RFC 3261, 17.1): intervals
// double from T1, up to T2 except for INVITE, until 64 T1.
func expectedCopies(t Timers, invite bool, d time.Duration) int {
	n, interval := 1, t.T1
	for elapsed := interval; elapsed <= d && elapsed < 64*t.T1; elapsed += interval {
		n++
		interval *= 2
		if !invite {
			interval = min(interval, t.T2)
		}
	}
	return n
}

// Checks client transactions against a model of RFC 3261: the responses so far decide what may be sent and reported.
func TestClientTransactions(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			a := actor.New()
			defer a.Stop()
			do := func(f func()) { a.Post(f); synctest.Wait() }
			method := rapid.SampledFrom([]string{"INVITE", "BYE"}).Draw(r, "method")
			invite := method == "INVITE"
			p := &recordingFlow{stream: rapid.Bool().Draw(r, "stream")}
			l := newTransactionLayer(DefaultTimers, a.After)
			req := testRequest(method)
			var finals, failures, successes int
			do(func() {
				l.request(req, p, nil, func(m *Message) {
					if m.Status >= 300 || !invite && m.Status >= 200 {
						finals++
					} else if m.Status >= 200 {
						successes++
					}
				}, func(error) { failures++ })
			})
			began := time.Now()
			var responded, final, success bool // a response; a final one; a 2xx to INVITE
			var finalAt time.Time
			wantACKs, wantSuccesses := 0, 0
			for range rapid.IntRange(1, 12).Draw(r, "steps") {
				active := !final && (time.Since(began) < 64*DefaultTimers.T1 || responded && invite)
				switch rapid.IntRange(0, 3).Draw(r, "step") {
				case 0:
					time.Sleep(time.Duration(rapid.IntRange(1, 20000).Draw(r, "ms"))*time.Millisecond + time.Microsecond)
					synctest.Wait()
				case 1:
					do(func() { l.deliverResponse(Respond(req, 180, "Ringing")) })
					responded = responded || active
				case 2:
					do(func() { l.deliverResponse(Respond(req, 200, "OK")) })
					if active && !final {
						final, success, finalAt = true, true, time.Now()
					}
					if invite && success && time.Since(finalAt) < 64*DefaultTimers.T1 {
						wantSuccesses++
					}
				case 3:
					do(func() { l.deliverResponse(Respond(req, 486, "Busy")) })
					if active && !final {
						final, finalAt = true, time.Now()
						wantACKs++
					} else if final && !success && !p.stream && time.Since(finalAt) < 64*DefaultTimers.T1 {
						wantACKs++
					}
				}
				if invite && p.count("ACK", 0) != wantACKs {
					r.Fatalf("%d ACKs, want %d", p.count("ACK", 0), wantACKs)
				}
				if invite && successes != wantSuccesses {
					r.Fatalf("%d answers reported, want %d", successes, wantSuccesses)
				}
				want := 0
				if final && (!invite || !success) {
					want = 1
				}
				if finals != want || failures > 1 || failures+finals > 1 {
					r.Fatalf("%d final responses and %d failures reported, want %d final responses", finals, failures, want)
				}
				timedOut := time.Since(began) >= 64*DefaultTimers.T1
				if (failures == 1) != (timedOut && !final && !(responded && invite)) {
					r.Fatalf("%d failures after %v (responded %v, final %v)", failures, time.Since(began), responded, final)
				}
				if !responded && !final {
					n := expectedCopies(DefaultTimers, invite, time.Since(began))
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
			if n := len(l.clients); n > 0 && (final || failures > 0) {
				r.Fatalf("%d transactions remain", n)
			}
		})
	})
}

// Checks server transactions against a model: every copy of a request is absorbed, and a request has one final response.
func TestServerTransactions(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			a := actor.New()
			defer a.Stop()
			do := func(f func()) { a.Post(f); synctest.Wait() }
			method := rapid.SampledFrom([]string{"INVITE", "BYE"}).Draw(r, "method")
			p := &recordingFlow{stream: rapid.Bool().Draw(r, "stream")}
			l := newTransactionLayer(DefaultTimers, a.After)
			req := testRequest(method)
			newRequests := 0
			var tx *serverTx
			do(func() { tx, _ = l.accept(req, p); newRequests++ })
			final, acked := 0, false
			var finalAt time.Time
			for range rapid.IntRange(1, 12).Draw(r, "steps") {
				expired := final > 0 && time.Since(finalAt) >= 64*DefaultTimers.T1
				switch rapid.IntRange(0, 3).Draw(r, "step") {
				case 0:
					time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond)
					synctest.Wait()
				case 1: // a retransmission
					if expired || acked || final > 0 && p.stream {
						continue // it may arrive after the end of the transaction, as a new request
					}
					before := p.len()
					do(func() {
						if _, f := l.accept(req, p); f {
							newRequests++
						}
					})
					absorbed := p.len() == before
					if final >= 300 && absorbed || final > 0 && method == "BYE" && absorbed {
						r.Fatalf("a copy after the final response got no answer")
					}
				case 2:
					status := rapid.SampledFrom([]int{180, 200, 486}).Draw(r, "status")
					sentNow := false
					do(func() { sentNow = tx.respond(Respond(req, status, "x")) })
					if sentNow != (final == 0) {
						r.Fatalf("respond after final status %d returned %v", final, sentNow)
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
				if newRequests != 1 {
					r.Fatalf("a copy started a transaction of its own")
				}
				for _, status := range []int{200, 486} {
					if status != final && p.count("", status) > 0 {
						r.Fatalf("%d was sent besides %d", status, final)
					}
				}
			}
			sent := p.len()
			do(func() {})
			time.Sleep(200 * time.Second)
			synctest.Wait()
			if final > 0 && len(l.servers) > 0 {
				r.Fatalf("the transaction remains")
			}
			if (acked || p.stream) && p.len() != sent {
				r.Fatalf("a response was retransmitted after the ACK")
			}
		})
	})
}
