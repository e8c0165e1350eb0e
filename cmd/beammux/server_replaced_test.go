package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/lab"
	"beammux/internal/relay"
)

// never is a time that does not come in a test.
const never = time.Hour

// vanish makes the server's machine vanish: its connections stay open and silent.
func (s *menuServer) vanish() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vanished = true
}

// replacementFixture is a gatekeeper process with an event bus, and one address at which one server after another runs.
type replacementFixture struct {
	network *relay.Network
	bus     *lab.Bus
	toAddr  string // address of the servers
	caller  *caller
}

const firstServer = "s-000000a1"

func startReplacementFixture(t *testing.T, first *menuServer) *replacementFixture {
	t.Helper()
	f := &replacementFixture{network: relay.New(1), bus: lab.NewBus([]lab.Host{{Name: firstServer, State: "up"}})}
	t.Cleanup(f.network.Close)
	t.Cleanup(f.bus.Close)
	link, err := f.network.TCP(gatekeeperName, serverName, "")
	require.NoError(t, err)
	f.toAddr = link.Addr()
	f.network.Up(serverName, "", first.listener.Addr().String())
	dial := func(string) string { return f.toAddr }
	busAddr, err := f.bus.Listen(dial)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","bus":%q,"known":%s,"settings":%s}`, busAddr, f.bus.Known(dial), oneClass)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	cmd := newProgram("serve", "--log-format", "json")
	cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file)
	f.caller = dialCaller(t, startUntilLogged(t, cmd, "serving"))
	t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGKILL)
		cmd.Wait()
	})
	return f
}

// loseServer makes the machine of the server at the address vanish.
func (f *replacementFixture) loseServer(server *menuServer) {
	f.network.SetMode(gatekeeperName, serverName, relay.Lost)
	server.vanish()
}

// startServer starts another server at the address.
func (f *replacementFixture) startServer(server *menuServer) {
	f.network.Up(serverName, "", server.listener.Addr().String())
	f.network.SetMode(gatekeeperName, serverName, relay.Open)
}

// Guards against calls left standing at a server that vanished while another one, which has taken its address, answers there: they must
// be released within 8 s of the loss, at any time of the other one's start and with any list.
func TestCallsOfAServerReplacedAtItsAddress(t *testing.T) {
	for _, c := range []struct {
		name                    string
		starts, listed, removed time.Duration // of the other server; of the first one's removal. All after the loss
	}{
		{"listed soon after its start", 4 * time.Second, 5 * time.Second, never},
		{"listed before it runs", 4 * time.Second, 2 * time.Second, never},
		{"at once", 200 * time.Millisecond, time.Second, never},
		{"late", 5500 * time.Millisecond, 6 * time.Second, never},
		{"after the loss was noticed", 7 * time.Second, 7500 * time.Millisecond, never},
		{"loss listed early", 4 * time.Second, 5 * time.Second, time.Second},
		{"never listed, at once", 200 * time.Millisecond, never, never},
		{"never listed, soon", 1500 * time.Millisecond, never, never},
		{"never listed", 4 * time.Second, never, never},
		{"never listed, late", 5800 * time.Millisecond, never, never},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first, second := startMenuServer(t, 500*time.Millisecond), startMenuServer(t, 500*time.Millisecond)
			f := startReplacementFixture(t, first)
			ids := callIDs(3)
			for _, id := range ids {
				f.caller.establish(t, id)
			}
			time.Sleep(2 * time.Second)
			f.loseServer(first)
			lost := time.Now()
			time.AfterFunc(c.starts, func() { f.startServer(second) })
			time.AfterFunc(c.listed, func() {
				f.bus.Change(lab.Host{Name: "s-000000b2", State: "up", Since: lost.Add(c.starts)})
			})
			time.AfterFunc(c.removed, func() { f.bus.Change(lab.Host{Name: firstServer, State: "removed"}) })
			f.caller.requireReleased(t, time.Until(lost.Add(endLimit)), ids...)
		})
	}
}

// Guards against the same where one server after another vanishes and is replaced, while only the last is listed.
func TestCallsOfServersReplacedOneAfterAnother(t *testing.T) {
	t.Parallel()
	server := startMenuServer(t, 500*time.Millisecond)
	f := startReplacementFixture(t, server)
	for i, id := range callIDs(3) {
		f.caller.establish(t, id)
		time.Sleep(2 * time.Second)
		f.loseServer(server)
		lost := time.Now()
		time.Sleep(3 * time.Second)
		server = startMenuServer(t, 500*time.Millisecond)
		f.startServer(server)
		if i == 2 {
			f.bus.Change(lab.Host{Name: "s-000000b2", State: "up", Since: time.Now()})
		}
		f.caller.requireReleased(t, time.Until(lost.Add(endLimit)), id)
	}
}

// Guards against a call that is cut although it is established at the server that has taken the address: it was set up there before the list
// named that server. Its release by the server must reach the caller.
func TestCallSetUpBeforeItsServerIsListed(t *testing.T) {
	t.Parallel()
	first, second := startMenuServer(t, 500*time.Millisecond), startMenuServer(t, 500*time.Millisecond)
	f := startReplacementFixture(t, first)
	ids := callIDs(20)
	f.caller.establish(t, ids[0])
	time.Sleep(2 * time.Second)
	f.loseServer(first)
	time.Sleep(2 * time.Second)
	started := time.Now()
	f.startServer(second)
	require.Eventually(t, func() bool { return second.acceptedConns() > 0 }, 3*time.Second, 10*time.Millisecond)
	established := f.caller.establishOneOf(t, ids[1:])
	f.bus.Change(lab.Host{Name: "s-000000b2", State: "up", Since: started})
	f.caller.requireReleased(t, endLimit, ids[0])
	select {
	case m := <-f.caller.messages:
		require.Fail(t, "the call at the server that runs was ended", "%v", m)
	case <-time.After(6 * time.Second):
	}
	second.release(t, established)
	f.caller.requireReleased(t, releaseLimit, established)
}

// Guards against calls that are cut at a server which runs and holds them, after it has been out of reach for some seconds.
func TestCallsOutliveAShortSilence(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence func(f *callFixture, silent bool)
	}{
		{"network cut", func(f *callFixture, silent bool) {
			f.network.Cut([]string{gatekeeperName}, []string{serverName}, silent)
			f.network.Cut([]string{serverName}, []string{gatekeeperName}, silent)
		}},
		{"one-way cut", func(f *callFixture, silent bool) {
			f.network.Cut([]string{serverName}, []string{gatekeeperName}, silent)
		}},
		{"connections reset", func(f *callFixture, _ bool) { f.network.Reset(gatekeeperName, serverName, 0) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startCallFixture(t, 500*time.Millisecond)
			client := dialCaller(t, f.addr)
			ids := callIDs(3)
			for _, id := range ids {
				client.establish(t, id)
			}
			time.Sleep(3 * time.Second)
			for range 2 {
				c.silence(f, true)
				time.Sleep(3 * time.Second)
				c.silence(f, false)
				select {
				case m := <-client.messages:
					require.Fail(t, "a call at a server that runs was ended", "%v", m)
				case <-time.After(8 * time.Second):
				}
			}
			for _, id := range ids {
				f.server.release(t, id)
			}
			client.requireReleased(t, releaseLimit, ids...)
		})
	}
}
