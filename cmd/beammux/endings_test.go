package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/porttest"
)

const oneClass = `{"classes":[{"name":"menu-view","repeat":"read_like","aim-us":1500000,"deadline-us":9000000,"worth":1}],
"bounds":{"attempts-cap":5,"cancel":true,"retry-after":true,"max-retry-after-us":2000000}}`

// bus listens as an event bus that accepts connections and sends nothing. It sends to accepted on each connection.
func bus(t *testing.T) (addr string, accepted chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	accepted = make(chan struct{}, 99)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			accepted <- struct{}{}
		}
	}()
	return l.Addr().String(), accepted
}

// receiveWithin waits for a value from a channel and fails the test after a time.
func receiveWithin(t *testing.T, event string, received <-chan struct{}, timeout time.Duration) {
	t.Helper()
	select {
	case <-received:
	case <-time.After(timeout):
		t.Fatalf("%s: not within %v", event, timeout)
	}
}

// SIGHUP during a drain, also twice in a row, moves the connection to the new event bus immediately, since further attempts of
// open calls depend on the server list. A call whose server never answers keeps the drain going.
func TestSIGHUPDuringDrain(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	invites := make(chan struct{}, 99)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				for in := bufio.NewScanner(c); in.Scan(); {
					if strings.HasPrefix(in.Text(), "INVITE") {
						invites <- struct{}{}
					}
				}
			}()
		}
	}()
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(bus string) {
		known := fmt.Sprintf(`{"offset":1,"batch":[{"offset":1,"topology":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"block":0,"health":"up","share":1,"born_ms":0}]}}]}`, server.Addr())
		text := fmt.Sprintf(`{"listen":"127.0.0.1:0","bus":%q,"known":%s,"settings":%s}`, bus, known, oneClass)
		require.NoError(t, os.WriteFile(file+".new", []byte(text), 0o600))
		require.NoError(t, os.Rename(file+".new", file))
	}
	old, first := bus(t)
	write(old)
	cmd := newProgram("serve", "--log-format", "json")
	cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file)
	addr := startUntilLogged(t, cmd, "serving")
	receiveWithin(t, "the first bus", first, 10*time.Second)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprintln(c, `{"msg":"open","sid":"0000000000000001","attrs":{"class":"menu-view","left":5000,"key":"1"}}`)
	receiveWithin(t, "the set-up", invites, 10*time.Second)
	cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond) // until the drain has begun
	for range 2 {
		next, accepted := bus(t)
		write(next)
		cmd.Process.Signal(syscall.SIGHUP)
		receiveWithin(t, "the bus of the new configuration", accepted, time.Second)
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if !strings.Contains(line, `"close"`) || !strings.Contains(line, "0000000000000001") {
		t.Errorf("the open call got %q, %v instead of its final answer", line, err)
	}
	require.NoError(t, cmd.Wait())
}

// At least nine in ten restarted processes must be ready within 10 s, also while discovery is down. Here ten processes in turn
// are killed with a set-up open, and probed as clients do.
func TestReadyWithDiscoveryDown(t *testing.T) {
	bus := porttest.Reserve(t)
	listen := porttest.Reserve(t)
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, `{"listen":%q,"bus":%q,"settings":%s}`, listen, bus, oneClass), 0o600))
	const starts, limit = 10, 10 * time.Second
	readyInTime, slowest := 0, time.Duration(0)
	for range starts {
		cmd := newProgram("serve")
		cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file)
		began := time.Now()
		startProgram(t, cmd)
		var line string
		for line == "" && time.Since(began) < limit {
			c, err := net.DialTimeout("tcp", listen, time.Second)
			if err != nil {
				continue
			}
			c.SetDeadline(time.Now().Add(time.Second))
			io.WriteString(c, `{"msg":"probe","sid":"0000000000000001","attrs":{},"code":0}`+"\n")
			line, _ = bufio.NewReader(c).ReadString('\n')
			io.WriteString(c, `{"msg":"open","sid":"0000000000000002","attrs":{"class":"menu-view","left":5000,"key":"1"}}`+"\n")
			defer c.Close()
		}
		if strings.Contains(line, `"code":1`) {
			readyInTime++
		}
		slowest = max(slowest, time.Since(began))
		cmd.Process.Kill()
		cmd.Wait()
	}
	t.Logf("%d of %d ready in time, the last after %v", readyInTime, starts, slowest)
	if readyInTime < starts*9/10 {
		t.Errorf("%d of %d ready within %v", readyInTime, starts, limit)
	}
}

// The page of the standing test names tests that there are.
func TestStandingNamesTests(t *testing.T) {
	page, err := os.ReadFile("../../docs/standing.md")
	require.NoError(t, err)
	var sources strings.Builder
	for _, root := range []string{"../../cmd", "../../control", "../../internal"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, "_test.go") {
				text, err := os.ReadFile(path)
				sources.Write(text)
				return err
			}
			return err
		}))
	}
	names := regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(string(page), -1)
	require.Greater(t, len(names), 50)
	for _, name := range names {
		if !strings.Contains(sources.String(), "\nfunc "+name+"(") {
			t.Errorf("docs/standing.md names %s, which there is not", name)
		}
	}
}
