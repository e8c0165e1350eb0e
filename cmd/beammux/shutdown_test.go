package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/protocol/jsonl"
)

// Terms of the protocol for a planned restart.
const (
	countedDeadline = 3 * time.Second        // a longer deadline counts as this
	killAfter       = 700 * time.Millisecond // from SIGTERM to SIGKILL, and the longest deadline more
	crossing        = 50 * time.Millisecond  // a set-up that crosses the close of its connection is sent again
)

// sentSetup is a set-up of a shutdownClient.
type sentSetup struct {
	sentAt, answeredAt time.Time
	answers            int
}

// shutdownClient sends a set-up every few milliseconds on one connection until that ends.
type shutdownClient struct {
	mu      sync.Mutex
	setups  map[string]*sentSetup
	endedAt time.Time
}

func startShutdownClient(t *testing.T, addr string, number int, left time.Duration) (*shutdownClient, *sync.WaitGroup) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	c := &shutdownClient{setups: map[string]*sentSetup{}}
	var ended sync.WaitGroup
	ended.Go(func() {
		defer conn.Close()
		for in := jsonl.NewReader(bufio.NewReader(conn)); ; {
			m, err := in.Next()
			c.mu.Lock()
			if err != nil {
				c.endedAt = time.Now()
				c.mu.Unlock()
				return
			}
			if s := c.setups[m.ID]; s != nil && (m.Type == "ready" || m.Type == "close") {
				s.answers++
				s.answeredAt = time.Now()
			}
			c.mu.Unlock()
		}
	})
	ended.Go(func() {
		for i := 0; ; i++ {
			id := fmt.Sprintf("%08x%08x", number, i)
			c.mu.Lock()
			over := !c.endedAt.IsZero()
			c.setups[id] = &sentSetup{sentAt: time.Now()}
			c.mu.Unlock()
			if over {
				return
			}
			_, err := fmt.Fprintf(conn, `{"msg":"open","sid":%q,"attrs":{"class":"menu-view","left":%d,"key":"1"}}`+"\n", id, left.Milliseconds())
			if err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	return c, &ended
}

// unanswered returns the set-ups that are lost: without an answer although their connection stayed open for longer than a crossing.
func (c *shutdownClient) unanswered(stop time.Time) (lost []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.setups {
		if s.answers == 0 && c.endedAt.Sub(s.sentAt) > crossing || s.answers > 1 {
			lost = append(lost, fmt.Sprintf("%s sent %v after SIGTERM: %d answers, connection ended %v later", id,
				s.sentAt.Sub(stop).Round(time.Millisecond), s.answers, c.endedAt.Sub(s.sentAt).Round(time.Millisecond)))
		}
	}
	return lost
}

// Guards against set-ups left unanswered by a shutdown: with a server that hangs throughout, clients that go on sending on open
// connections until the end, and SIGKILL as early as the protocol allows.
func TestShutdownWhileClientsKeepSending(t *testing.T) {
	for _, deadline := range []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond, 9 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			server, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and answers nothing
			require.NoError(t, err)
			defer server.Close()
			known := fmt.Sprintf(`{"offset":1,"batch":[{"offset":1,"topology":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"block":0,"health":"up","share":1,"born_ms":0}]}}]}`, server.Addr())
			settings := fmt.Sprintf(`{"classes":[{"name":"menu-view","repeat":"read_like","aim-us":%d,"deadline-us":%d,"worth":1}],
				"bounds":{"attempts-cap":5,"cancel":true,"retry-after":true,"max-retry-after-us":2000000}}`, deadline.Microseconds()/2, deadline.Microseconds())
			file := filepath.Join(t.TempDir(), "config.json")
			require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, `{"listen":"127.0.0.1:0","known":%s,"settings":%s}`, known, settings), 0o600))
			cmd := newProgram("serve", "--log-format", "json")
			cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file)
			addr := startUntilLogged(t, cmd, "serving")
			var clients []*shutdownClient
			var ended []*sync.WaitGroup
			for i := range 4 {
				c, done := startShutdownClient(t, addr, i, deadline)
				clients, ended = append(clients, c), append(ended, done)
			}
			time.Sleep(300 * time.Millisecond)
			stop := time.Now()
			require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
			kill := time.AfterFunc(min(deadline, countedDeadline)+killAfter, func() { cmd.Process.Kill() })
			defer kill.Stop()
			require.NoError(t, cmd.Wait(), "it was killed before it had ended")
			t.Logf("ended %v after SIGTERM", time.Since(stop).Round(time.Millisecond))
			for i, c := range clients {
				ended[i].Wait()
				lost := c.unanswered(stop)
				require.Empty(t, lost, "%d of %d set-ups are lost", len(lost), len(c.setups))
			}
		})
	}
}

// Guards against a process that is killed in its shutdown because a set-up from before SIGTERM still has time left: its caller must have a
// final answer, and the process must have ended, as early as the protocol allows SIGKILL.
func TestShutdownEndsSetupsFromBeforeIt(t *testing.T) {
	g := startEvacuatedGatekeeper(t, time.Hour)
	for _, sentBefore := range []time.Duration{400 * time.Millisecond, 30 * time.Millisecond} {
		c := dialKeptClient(t, g.callersAddr, int(sentBefore))
		defer func() {
			require.Equal(t, 1, c.answered(), "the set-up sent %v before SIGTERM", sentBefore)
		}()
		c.send(9*time.Second, 1, 0)
		time.Sleep(sentBefore)
	}
	stop := time.Now()
	require.NoError(t, g.cmd.Process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(countedDeadline+killAfter, func() { g.cmd.Process.Kill() })
	defer kill.Stop()
	require.NoError(t, g.cmd.Wait(), "it was killed before it had ended")
	t.Logf("ended %v after SIGTERM", time.Since(stop).Round(time.Millisecond))
}
