package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"beammux/control"
	"beammux/internal/config"
	"beammux/internal/history"
	"beammux/internal/protocol/sip"
	"beammux/internal/protocol/sip/siptest"
	"beammux/internal/report"
	"beammux/internal/routing"
)

const testSettings = `{"balancers":1,"bounds":{"attempts-cap":5,"cancel":true,"dial-timeout-us":500000,
"max-retry-after-us":2000000,"retry-after":true},"classes":[{"aim-us":1500000,"deadline-us":1500000,"late-worth":0.25,
"name":"menu-view","repeat":"read_like","worth":1}],"discovery":"automatic","extra":{"here":-1,"release-guard-us":300000,
"t1-us":500000},"guarantees":{"fall-multiple":2,"fall-us":1000000,"start-capacity":0.33,"warm-within-us":15000000},
"report":{"fields":["spare","total","busy","q"],"via":"inline"}}`

func testNode(t *testing.T, deploy *config.Deploy) *Node {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	return testNodeLogging(t, deploy, log)
}

// testConfig writes a configuration and returns the path of its file.
func testConfig(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":256},"known":{"offset":0,"batch":[]},"settings":%s}`, testSettings)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func testNodeLogging(t *testing.T, deploy *config.Deploy, log *logrus.Logger) *Node {
	t.Helper()
	cfg, err := config.Load(testConfig(t))
	if err != nil {
		t.Fatal(err)
	}
	return startNode(t, cfg, deploy, log)
}

func startNode(t *testing.T, cfg *config.Config, deploy *config.Deploy, log *logrus.Logger) *Node {
	t.Helper()
	n, err := Start(t.Context(), cfg, deploy, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// applyAndWait applies an update to the list and waits until the core has it.
func (n *Node) applyAndWait(u routing.Update) {
	done := make(chan struct{})
	n.list.Apply(u, func() { close(done) })
	<-done
}

// dialJSON connects a client of the JSON front and passes each message it receives to on.
func dialJSON(t *testing.T, n *Node, on func(map[string]any)) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", n.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	go func() {
		for s := bufio.NewScanner(c); s.Scan(); {
			m := map[string]any{}
			if json.Unmarshal(s.Bytes(), &m) == nil {
				on(m)
			}
		}
	}()
	return c
}

// observer passes the events at servers and callers to rule checkers. Calls are identified by the number called. Servers and
// callers have separate checkers, since an event at one reaches the other with a delay.
type observer struct {
	t        *testing.T
	mu       sync.Mutex
	servers  *history.Checker
	callers  *history.Checker
	sent     map[string]int // attempts received by servers, by number called
	numbers  map[string]uint32
	answered chan struct{}
	attempts int
}

// Rule settings for the observer, relaxed for a busy machine.
const (
	releaseGuard = 200 * time.Millisecond // of 300 ms: a busy machine receives a CANCEL late; without the guard the gap is 50 ms or less
	drainGrace   = 250 * time.Millisecond // the checker adds 50 ms
	answerSlack  = time.Second            // the core's own limit of 15 ms is tested in its package
)

func newObserver(t *testing.T, calls int) *observer {
	o := &observer{t: t, servers: history.NewChecker(nil), callers: history.NewChecker(nil), sent: map[string]int{},
		numbers: map[string]uint32{}, answered: make(chan struct{}, 4*calls)}
	rules := &history.Rules{Classes: []history.Class{{Name: "menu-view"}}, ReleaseGuard: control.Micros(releaseGuard.Microseconds()),
		DrainGrace: control.Micros(drainGrace.Microseconds()), AnswerSlack: control.Micros(answerSlack.Microseconds())}
	for _, c := range []*history.Checker{o.servers, o.callers} {
		o.record(c, history.Event{Kind: history.Started, Rules: rules})
	}
	return o
}

func (o *observer) record(c *history.Checker, e history.Event) {
	e.At, e.Node = control.Micros(time.Now().UnixMicro()), "observed"
	c.Event(&e)
}

func (o *observer) callTaken(key string, left time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record(o.callers, history.Event{Kind: history.Received, Call: key, Span: control.Micros(left.Microseconds())})
	o.record(o.servers, history.Event{Kind: history.Received, Call: key, Span: 3600e6}) // servers see no final answer
}

func (o *observer) serverNumber(server string) uint32 {
	if o.numbers[server] == 0 {
		o.numbers[server] = uint32(len(o.numbers) + 1)
	}
	return o.numbers[server]
}

func (o *observer) attemptBegan(key, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts++
	o.record(o.servers, history.Event{Kind: history.Sent, Call: key, Attempt: o.sent[key], Server: o.serverNumber(server)})
	o.sent[key]++
}

func (o *observer) attemptEnded(key string, code control.Code) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record(o.servers, history.Event{Kind: history.Ended, Call: key, Attempt: o.sent[key] - 1, Code: code})
}

func (o *observer) drained(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record(o.servers, history.Event{Kind: history.Listed, Server: o.serverNumber(server), Name: server, State: control.Draining})
}

func (o *observer) answer(key string, kind history.Kind) {
	o.mu.Lock()
	o.record(o.callers, history.Event{Kind: kind, Call: key})
	o.mu.Unlock()
	o.answered <- struct{}{}
}

// check fails the test for each rule that does not hold.
func (o *observer) check() {
	o.t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range []*history.Checker{o.servers, o.callers} {
		for _, f := range c.Findings() {
			if f.Verdict != history.Held {
				o.t.Errorf("%s: %s %s %+v", f.Rule, f.Verdict, f.Why, f.Evidence)
			}
		}
	}
}

// keyOf returns the number called.
func keyOf(m *sip.Message) string {
	user, _, _ := strings.Cut(strings.TrimPrefix(m.URI, "sip:"), "@")
	return user
}

// serverHandler simulates a menu server. The number called determines its response, so that runs are reproducible.
func (o *observer) serverHandler(name string) func(*siptest.UserAgent, siptest.ReceivedMessage) {
	var mu sync.Mutex
	seen := map[string]bool{}
	keys := map[string]string{}
	return func(p *siptest.UserAgent, e siptest.ReceivedMessage) {
		m, id := e.Msg, e.Msg.Get("Call-ID")
		switch {
		case siptest.IsMethod("INVITE")(m):
			key := keyOf(m)
			mu.Lock()
			again := seen[id]
			seen[id], keys[id] = true, key
			mu.Unlock()
			if again {
				return // ignore a retransmission
			}
			o.attemptBegan(key, name)
			e.SendBack(p.Reply(m, 100, "Trying", ""))
			var digits int
			fmt.Sscan(key, &digits)
			final := func(status int, body string, code control.Code) {
				o.attemptEnded(key, code)
				e.SendBack(p.Reply(m, status, "Final", body))
			}
			switch (digits + len(name)) % 16 {
			case 0:
				final(503, "", control.Full)
			case 1:
				final(500, "", control.Failed)
			case 2:
				final(504, "", control.Cut)
			case 3: // never answered: the attempt times out
			default:
				time.AfterFunc(time.Duration(digits%40)*time.Millisecond, func() { final(200, "for "+key, control.OK) })
			}
		case siptest.IsMethod("CANCEL")(m):
			mu.Lock()
			key := keys[id]
			mu.Unlock()
			o.attemptEnded(key, control.Cancelled)
			e.SendBack(p.Reply(m, 200, "OK", ""))
		case siptest.IsMethod("BYE")(m):
			e.SendBack(p.Reply(m, 200, "OK", ""))
		}
	}
}

// Every rule holds for SIP callers over UDP and TCP and JSON callers on one core, in front of platform and SIP servers. Guards
// against one front enforcing weaker rules than the other.
func TestRulesHoldForMixedCallers(t *testing.T) {
	records := t.TempDir()
	n := testNode(t, &config.Deploy{SIPUDP: "127.0.0.1:0", SIPTCP: "127.0.0.1:0", DefaultClass: "menu-view",
		Records: &config.Records{Dir: records}})
	const calls, left = 120, 1500 * time.Millisecond
	obs := newObserver(t, calls)
	var hosts []routing.Host
	for i, kind := range []string{"platform", "UDP", "TCP", "drained"} {
		p := siptest.New(t, obs.serverHandler(kind))
		addr := p.Addr("TCP")
		switch kind {
		case "UDP", "TCP":
			addr = p.URI(kind)
		case "drained":
			addr = p.URI("UDP")
		}
		hosts = append(hosts, routing.Host{Name: kind, Addr: addr, Cell: i, State: control.Ready})
	}
	n.applyAndWait(routing.Update{Complete: true, Hosts: hosts})

	ids := sync.Map{} // JSON ids to numbers
	jsonConn := dialJSON(t, n, func(m map[string]any) {
		key, _ := ids.Load(m["sid"])
		switch m["msg"] {
		case "ready":
			if m["text"] != "for "+key.(string) {
				t.Errorf("call %v was answered with %v", key, m["text"])
			}
			obs.answer(key.(string), history.Established)
		case "close":
			obs.answer(key.(string), history.Refused)
		}
	})
	var acked sync.Map
	caller := siptest.New(t, func(p *siptest.UserAgent, e siptest.ReceivedMessage) {
		_, method, _ := e.Msg.CSeq()
		if method != "INVITE" || e.Msg.Status < 200 {
			return
		}
		key := strings.TrimPrefix(e.Msg.Get("Call-ID"), "call")
		proto := "UDP"
		if strings.Contains(e.Msg.Get("Via"), "/TCP") {
			proto = "TCP"
		}
		invite := p.Invite(proto, "call"+key, key, "")
		ack := siptest.InDialog(invite, e.Msg, "ACK", 1)
		if e.Msg.Status >= 300 { // it belongs to the INVITE's transaction
			ack.URI = invite.URI
			ack.Set("Via", invite.Get("Via"))
		}
		e.SendBack(ack)
		if _, again := acked.LoadOrStore(key, true); again {
			return // a retransmission
		}
		if e.Msg.Status < 300 && string(e.Msg.Body) != "for "+key {
			t.Errorf("call %s was answered with %q", key, e.Msg.Body)
		}
		kind := history.Established
		if e.Msg.Status >= 300 {
			kind = history.Refused
		}
		obs.answer(key, kind)
	})
	rng := rand.New(rand.NewPCG(1, 2))
	pace := time.NewTicker(15 * time.Millisecond) // the core would refuse nearly all calls if they arrived at once
	defer pace.Stop()
	for i := range calls {
		<-pace.C
		key := fmt.Sprint(1000 + i)
		obs.callTaken(key, left)
		switch rng.IntN(3) {
		case 0:
			sid := fmt.Sprintf("%016x", 1000+i)
			ids.Store(sid, key)
			fmt.Fprintf(jsonConn, `{"msg":"open","sid":%q,"attrs":{"class":"menu-view","left":%d,"key":%q,"extras":"dest:%d;width:1"}}`+"\n",
				sid, left.Milliseconds(), key, i%4)
		case 1:
			m := caller.Invite("UDP", "call"+key, key, "").Set("X-Dest", fmt.Sprint(i%4))
			send := caller.Send("UDP", n.agent.Addr("UDP"), m)
			send(m) // a retransmission is no second attempt
		case 2:
			caller.Send("TCP", n.agent.Addr("TCP"), caller.Invite("TCP", "call"+key, key, "").Set("X-Dest", fmt.Sprint(i%4)))
		}
		if i == calls/2 {
			hosts[3].State = control.Draining
			n.applyAndWait(routing.Update{Hosts: hosts[3:]})
			obs.drained("drained")
		}
	}
	limit := time.After(20 * time.Second)
	for i := range calls {
		select {
		case <-obs.answered:
		case <-limit:
			t.Fatalf("%d of %d calls answered", i, calls)
		}
	}
	t.Logf("%d attempts for %d calls", obs.attempts, calls)
	if obs.attempts < calls/4 {
		t.Errorf("only %d attempts for %d calls: too few to test the rules", obs.attempts, calls)
	}
	obs.check()
	n.Close()
	own, err := report.Build(report.Options{Dirs: []string{records}}) // check the gatekeeper's own records too
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range own.Findings {
		if f.Verdict != history.Held {
			t.Errorf("in the gatekeeper's records: %s: %s %s %+v", f.Rule, f.Verdict, f.Why, f.Evidence)
		}
	}
	if got := own.Fleet.Totals[0].Offered; got != calls {
		t.Errorf("%d calls in the records, want %d", got, calls)
	}
}
