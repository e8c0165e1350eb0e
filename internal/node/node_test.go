package node

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"beammux/control"
	"beammux/internal/config"
	"beammux/internal/protocol/sip"
	"beammux/internal/protocol/sip/siptest"
	"beammux/internal/routing"
	"beammux/internal/store"
)

// answerAfter answers set-ups after a delay.
func answerAfter(after time.Duration) func(*siptest.UserAgent, siptest.ReceivedMessage) {
	return func(p *siptest.UserAgent, e siptest.ReceivedMessage) {
		if siptest.IsMethod("INVITE")(e.Msg) {
			time.AfterFunc(after, func() { e.SendBack(p.Reply(e.Msg, 200, "OK", "for "+keyOf(e.Msg))) })
		}
	}
}

// sendSetup writes a set-up.
func sendSetup(c net.Conn, sid, key string, leftMs int) {
	fmt.Fprintf(c, `{"msg":"open","sid":%q,"attrs":{"class":"menu-view","left":%d,"key":%q}}`+"\n", sid, leftMs, key)
}

// Guards against calls lost at a planned restart: during the drain after SIGTERM, new connections are still accepted, and all
// accepted calls are answered before the process ends.
func TestDrainAnswersAcceptedCalls(t *testing.T) {
	n := testNode(t, &config.Deploy{})
	server := siptest.New(t, answerAfter(900*time.Millisecond))
	n.applyAndWait(routing.Update{Complete: true, Hosts: []routing.Host{{Name: "a", Addr: server.Addr("TCP"), State: control.Ready}}})
	answers := make(chan string, 9)
	on := func(m map[string]any) { answers <- fmt.Sprint(m["sid"], " ", m["msg"], " ", m["code"]) }
	c := dialJSON(t, n, on)
	sendSetup(c, "0000000000000001", "1", 3000)
	server.Wait("INVITE", siptest.IsMethod("INVITE"))
	drained := make(chan struct{})
	go func() { n.Drain(); close(drained) }()
	late := dialJSON(t, n, on) // after SIGTERM a connection is accepted, but its probe may fail
	fmt.Fprintln(late, `{"msg":"probe","sid":"0000000000000002","attrs":{},"code":0}`)
	sendSetup(late, "0000000000000003", "3", 3000)
	got := map[string]bool{}
	for range 3 {
		select {
		case a := <-answers:
			got[a] = true
		case <-time.After(10 * time.Second):
			t.Fatalf("answers so far: %v", got)
		}
	}
	<-drained
	if !got["0000000000000001 ready <nil>"] || !got["0000000000000002 probed 0"] && !got["0000000000000002 probed 1"] {
		t.Errorf("answers %v", got)
	}
	if _, err := net.Dial("tcp", n.listener.Addr().String()); err == nil {
		t.Error("still listening")
	}
}

// Clients continue to send on every open connection during a planned restart. Each set-up gets one final answer, except those
// that cross the close of their connection, which clients send again.
func TestClientsSendDuringDrain(t *testing.T) {
	n := testNode(t, &config.Deploy{})
	server := siptest.New(t, answerAfter(20*time.Millisecond))
	n.applyAndWait(routing.Update{Complete: true, Hosts: []routing.Host{{Name: "a", Addr: server.Addr("TCP"), State: control.Ready}}})
	const conns, pace, sendFor, crossing = 4, 25 * time.Millisecond, 600 * time.Millisecond, 50 * time.Millisecond
	var mu sync.Mutex
	sent, answers := map[string]time.Time{}, map[string]int{}
	var term time.Time
	var clients sync.WaitGroup
	afterTerm := 0
	for i := range conns {
		conn, err := net.Dial("tcp", n.listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		closed := make(chan struct{})
		clients.Go(func() {
			defer close(closed)
			for s := bufio.NewScanner(conn); s.Scan(); {
				var m struct{ Msg, Sid string }
				if json.Unmarshal(s.Bytes(), &m) == nil && (m.Msg == "ready" || m.Msg == "close") {
					mu.Lock()
					if answers[m.Sid]++; m.Msg == "close" && answers[m.Sid] == 2 {
						answers[m.Sid] = 1 // the release of an established call
					}
					mu.Unlock()
				}
			}
			mu.Lock() // set-ups written just before the close crossed it
			for id, at := range sent {
				if strings.HasPrefix(id, fmt.Sprintf("%08d", i)) && answers[id] == 0 && time.Since(at) < crossing {
					delete(sent, id)
				}
			}
			mu.Unlock()
		})
		clients.Go(func() {
			for seq := 0; ; seq++ {
				select {
				case <-closed:
					return
				case <-time.After(pace):
				}
				id := fmt.Sprintf("%08d%08d", i, seq)
				mu.Lock()
				if !term.IsZero() && time.Since(term) > sendFor {
					mu.Unlock()
					return
				}
				if !term.IsZero() {
					afterTerm++
				}
				sent[id] = time.Now()
				mu.Unlock()
				sendSetup(conn, id, "5", 3000)
			}
		})
	}
	time.AfterFunc(300*time.Millisecond, func() { // SIGTERM
		mu.Lock()
		term = time.Now()
		mu.Unlock()
		n.Drain()
	})
	clients.Wait()
	for id := range sent {
		if answers[id] != 1 {
			t.Errorf("%s: %d answers", id, answers[id])
		}
	}
	require.Greater(t, len(sent), conns*10)
	require.Greater(t, afterTerm, 0, "no set-up was sent after SIGTERM")
}

// A restarted gatekeeper restores its dialogs from the store and forwards the server's BYE to the caller.
func TestDialogsSurviveRestart(t *testing.T) {
	first := testNode(t, &config.Deploy{SIPUDP: "127.0.0.1:0"})
	server := siptest.New(t, func(p *siptest.UserAgent, e siptest.ReceivedMessage) {
		if siptest.IsMethod("INVITE")(e.Msg) {
			e.SendBack(p.Reply(e.Msg, 200, "OK", ""))
		}
	})
	first.applyAndWait(routing.Update{Complete: true, Hosts: []routing.Host{{Name: "a", Addr: server.URI("UDP"), State: control.Ready}}})
	caller := siptest.New(t, nil)
	m := caller.Invite("UDP", "abc", "1", "").Set("X-Cos", "menu-view")
	send := caller.Send("UDP", first.agent.Addr("UDP"), m)
	send(siptest.InDialog(m, caller.Wait("answer", siptest.Status(200, "INVITE")).Msg, "ACK", 1))
	in := server.Wait("INVITE", siptest.IsMethod("INVITE"))
	server.Wait("ACK", siptest.IsMethod("ACK"))

	records := make(chan store.Record, 9)
	first.store.Watch(dialogKey, func(r store.Record) { records <- r })
	for _, r := range first.store.List(dialogKey) {
		records <- r
	}
	second := testNode(t, &config.Deploy{SIPUDP: "127.0.0.1:0"})
	for seen := map[string]bool{}; len(seen) < 2; { // both sides of the call, as the store group would deliver them
		select {
		case r := <-records:
			if !seen[r.Key] {
				seen[r.Key] = true
				if err := second.agent.Restore(r.Value); err != nil {
					t.Fatal(err)
				}
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("received only the records %v", seen)
		}
	}
	first.agent.Close()
	bye := siptest.ServerBye(in.Msg, server.Reply(in.Msg, 200, "OK", ""), 16)
	server.Send("UDP", second.agent.Addr("UDP"), bye)
	server.Wait("200 to BYE", siptest.Status(200, "BYE"))
	caller.Wait("BYE", siptest.IsMethod("BYE"))
}

// Guards against a SIP server's release that is confirmed and dropped after a restart: its call's caller speaks JSON lines, and so has no
// dialog of its own.
func TestSIPServersReleaseReachesAJSONCallerAfterARestart(t *testing.T) {
	const id, other = "0000000000000001", "0000000000000002"
	server := siptest.New(t, answerAfter(0))
	update := routing.Update{Complete: true, Hosts: []routing.Host{{Name: "a", Addr: server.URI("UDP"), State: control.Ready}}}
	establish := func(n *Node, id string) chan string {
		messages := make(chan string, 9)
		client := dialJSON(t, n, func(m map[string]any) { messages <- fmt.Sprint(m["msg"], " ", m["sid"]) })
		sendSetup(client, id, "1", 2000)
		require.Equal(t, "ready "+id, <-messages)
		return messages
	}
	first := testNode(t, &config.Deploy{SIPUDP: "127.0.0.1:0"})
	first.applyAndWait(update)
	establish(first, id)
	invite := server.Wait("INVITE", siptest.IsMethod("INVITE"))
	require.Eventually(t, func() bool { return len(first.store.List(dialogKey)) == 1 }, 5*time.Second, 10*time.Millisecond)
	second := testNode(t, &config.Deploy{SIPUDP: "127.0.0.1:0"})
	second.applyAndWait(update)
	require.NoError(t, second.agent.Restore(first.store.List(dialogKey)[0].Value))
	first.agent.Close()
	messages := establish(second, other)
	bye := siptest.ServerBye(invite.Msg, server.Reply(invite.Msg, 200, "OK", ""), 16)
	server.Send("UDP", second.agent.Addr("UDP"), bye)
	select {
	case m := <-messages:
		require.Equal(t, "close "+id, m)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the caller has no release")
	}
}

// An inventory imported into the store replaces the list; an invalid one leaves it unchanged.
func TestImportedInventory(t *testing.T) {
	n := testNode(t, &config.Deploy{SIPUDP: "127.0.0.1:0"})
	server := siptest.New(t, answerAfter(0))
	for _, text := range []string{".csv\nname,address\na," + server.Addr("TCP") + "\n", ".csv\nname,address\na,nowhere\n"} {
		if _, err := n.store.Put(t.Context(), InventoryKey, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	n.applyAndWait(routing.Update{Source: fromBus})
	answers := make(chan map[string]any, 1)
	c := dialJSON(t, n, func(m map[string]any) { answers <- m })
	sendSetup(c, "0000000000000001", "1", 2000)
	if m := <-answers; m["msg"] != "ready" {
		t.Errorf("%v", m)
	}
}

// A reload with an invalid inventory keeps the last valid one. One without servers, which may be half-saved, keeps them for a while.
func TestReloadKeepsLastValidInventory(t *testing.T) {
	server := siptest.New(t, answerAfter(0))
	dir := t.TempDir()
	inv, deploy, cfg := filepath.Join(dir, "servers.csv"), filepath.Join(dir, "deploy.json"), filepath.Join(dir, "config.json")
	write := func(file, text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path, _ := json.Marshal(inv)
	write(deploy, `{"inventory":`+string(path)+`}`)
	write(cfg, `{"listen":"127.0.0.1:0","settings":`+testSettings+`}`)
	write(inv, "name,address\na,"+server.Addr("TCP")+"\n")
	n := testNode(t, &config.Deploy{Inventory: inv})
	for i, text := range []string{"name,address\na,bad\n", "", "name\n"} {
		write(inv, text)
		n.Reload(cfg, deploy)
		n.applyAndWait(routing.Update{Source: fromBus})
		answers := make(chan map[string]any, 1)
		c := dialJSON(t, n, func(m map[string]any) { answers <- m })
		sid := fmt.Sprintf("%016x", i+1)
		sendSetup(c, sid, "1", 2000)
		if m := <-answers; m["msg"] != "ready" {
			t.Errorf("after %q: %v", text, m)
		}
	}
	write(inv, "name,address\n")
	n.removalDelay = time.Second
	n.Reload(cfg, deploy)
	n.applyAndWait(routing.Update{Source: fromBus})
	answers := make(chan map[string]any, 1)
	c := dialJSON(t, n, func(m map[string]any) { answers <- m })
	sendSetup(c, "00000000000000fe", "1", 2000)
	if m := <-answers; m["msg"] != "ready" {
		t.Errorf("a call soon after a reload with an empty inventory: %v", m)
	}
	time.Sleep(n.removalDelay + 100*time.Millisecond)
	n.applyAndWait(routing.Update{Source: fromBus})
	for m := range answers { // the end of the first call, and the answer to the second
		if m["sid"] == "00000000000000ff" {
			require.True(t, m["msg"] == "close" && m["code"] == 34.0, "a call after the delay: %v", m)
			break
		}
		sendSetup(c, "00000000000000ff", "1", 2000)
	}
}

// A reload applies new limits of calls to later calls, and an invalid file changes nothing: bus, inventory and limits stay.
// Each reload logs one line, or one line per fault.
func TestReloadOfLimits(t *testing.T) {
	refuse := func(p *siptest.UserAgent, e siptest.ReceivedMessage) {
		if siptest.IsMethod("INVITE")(e.Msg) {
			e.SendBack(p.Reply(e.Msg, 503, "No", "").Set("X-Diagnosis", "atb"))
		}
	}
	servers := []*siptest.UserAgent{siptest.New(t, refuse), siptest.New(t, refuse), siptest.New(t, refuse)}
	dir := t.TempDir()
	inv, deploy, cfg := filepath.Join(dir, "servers.csv"), filepath.Join(dir, "deploy.json"), filepath.Join(dir, "config.json")
	write := func(file, text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	list := "name,address,cell\n"
	for i, p := range servers {
		list += fmt.Sprintf("s-%d,%s,%d\n", i, p.Addr("TCP"), i)
	}
	write(inv, list)
	write(cfg, `{"listen":"127.0.0.1:0","settings":`+testSettings+`}`)
	path, _ := json.Marshal(inv)
	text := func(calls string) string { return `{"inventory":` + string(path) + `,"calls":` + calls + `}` }
	write(deploy, text(`{"defaults":{"attempts":2}}`))
	log, lines := logtest.NewNullLogger()
	c, err := config.Load(cfg)
	if err != nil {
		t.Fatal(err)
	}
	d, err := config.LoadDeploy(deploy, c.Site)
	if err != nil {
		t.Fatal(err)
	}
	n := startNode(t, c, d, log)
	answers := make(chan map[string]any, 1)
	conn := dialJSON(t, n, func(m map[string]any) { answers <- m })
	attempts := func(sid string) (sent int) {
		t.Helper()
		sendSetup(conn, sid, sid, 1500)
		if m := <-answers; m["msg"] != "close" || m["code"] != 34.0 {
			t.Errorf("%v", m)
		}
		for _, p := range servers {
			sent += p.Count(func(m *sip.Message) bool { return siptest.IsMethod("INVITE")(m) && keyOf(m) == sid })
		}
		return sent
	}
	for i, step := range []struct {
		calls string
		want  int
		log   string
	}{
		{``, 2, ""},
		{`{"defaults":{"attempts":1}}`, 1, "reloaded event bus, inventory and limits of calls"},
		{`{"defaults":{"attempts":9,"retry_wait_ms":0}}`, 1, "reload: deploy file is bad, last good one kept"},
		{`{"defaults":{"attempts":3`, 1, "reload: deploy file is bad, last good one kept"},
		{`{"defaults":{"attempts":3}}`, 3, "reloaded event bus, inventory and limits of calls"},
	} {
		if step.calls != "" {
			write(deploy, text(step.calls))
			n.Reload(cfg, deploy)
			if last := lines.LastEntry(); !strings.Contains(last.Message, step.log) {
				t.Errorf("step %d: logged %q, want %q", i, last.Message, step.log)
			}
		}
		if got := attempts(fmt.Sprintf("%016x", i+1)); got != step.want {
			t.Errorf("step %d: %d attempts, want %d", i, got, step.want)
		}
	}
	faults, versions := 0, map[any]bool{}
	for _, e := range lines.AllEntries() {
		if e.Message == "reload: deploy file is bad, last good one kept" {
			faults++
		}
		if v, ok := e.Data["calls"]; ok {
			versions[v] = true
		}
	}
	if faults != 3 || len(versions) != 3 {
		t.Errorf("%d faults logged, want 2 and 1; versions in force %v, want three", faults, versions)
	}
}

// Guards against a gatekeeper that stays connected to an event bus that was moved: a reload connects to the address in the new
// configuration, and an unreadable file changes nothing.
func TestReloadMovesToNewBus(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	n := testNode(t, &config.Deploy{})
	connected := make(chan string, 9)
	listen := func(name string) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { c.Close() })
				connected <- name
			}
		}()
		return l.Addr().String()
	}
	for i, step := range []struct{ text, want string }{
		{`{"listen":"127.0.0.1:0","bus":"` + listen("a") + `","settings":` + testSettings + `}`, "a"},
		{`{"listen":"127.0.0.1:0","bus":"` + listen("never") + `","settings":`, ""},
		{`{"listen":"127.0.0.1:0","bus":"` + listen("b") + `","settings":` + testSettings + `}`, "b"},
	} {
		if err := os.WriteFile(file, []byte(step.text), 0o600); err != nil {
			t.Fatal(err)
		}
		n.Reload(file, filepath.Join(t.TempDir(), "absent.json"))
		if step.want == "" {
			continue
		}
		select {
		case got := <-connected:
			if got != step.want {
				t.Fatalf("step %d: connected to bus %s, want %s", i, got, step.want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("step %d: no connection to bus %s", i, step.want)
		}
	}
}

// Guards against dialling SIP servers before the SIP socket is open. Whether that fails depends on timing, so the test checks
// the order by which of two errors ends the start: a missing inventory is found when servers are loaded, an address that this
// machine does not have when the sockets are opened.
func TestSIPSocketOpensBeforeServersAreDialled(t *testing.T) {
	server := siptest.New(t, answerAfter(0))
	inv := filepath.Join(t.TempDir(), "servers.csv")
	log, lines := logtest.NewNullLogger()
	cfg, err := config.Load(testConfig(t))
	if err != nil {
		t.Fatal(err)
	}
	const foreignAddress = "192.0.2.1:5060" // RFC 5737
	if _, err = Start(t.Context(), cfg, &config.Deploy{SIPUDP: foreignAddress, Inventory: inv}, log); !errors.Is(err, syscall.EADDRNOTAVAIL) {
		t.Errorf("start ended with %v, want the address that can't be bound before the inventory is read", err)
	}
	text := fmt.Sprintf("name,address,transport\ns-00000001,%s,udp\n", server.Addr("UDP"))
	if err := os.WriteFile(inv, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n := testNodeLogging(t, &config.Deploy{SIPUDP: "127.0.0.1:0", Inventory: inv}, log)
	answers := make(chan map[string]any, 1)
	c := dialJSON(t, n, func(m map[string]any) { answers <- m })
	sendSetup(c, "0000000000000001", "1", 2000)
	if m := <-answers; m["msg"] != "ready" {
		t.Errorf("%v", m)
	}
	for _, e := range lines.AllEntries() {
		if e.Message == "no connection to server" {
			t.Errorf("%s: %v", e.Message, e.Data)
		}
	}
}

// While the SIP front is disabled, a call to a SIP server is refused and not lost.
func TestSIPServerWithoutSIPFront(t *testing.T) {
	n := testNode(t, &config.Deploy{})
	n.applyAndWait(routing.Update{Hosts: []routing.Host{{Name: "a", Addr: "sip:127.0.0.1:9;transport=udp", State: control.Ready}}})
	answers := make(chan map[string]any, 1)
	c := dialJSON(t, n, func(m map[string]any) { answers <- m })
	sendSetup(c, "0000000000000001", "1", 1000)
	if m := <-answers; m["msg"] != "close" || !strings.Contains(fmt.Sprint(m["attrs"]), "wait") {
		t.Errorf("%v", m)
	}
}
