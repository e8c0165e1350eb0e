package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against servers that are dropped, and calls that are cut, while an inventory is half-saved: it is cut short at each of its bytes
// and read at that moment.
func TestInventoryCutShortDropsNoServer(t *testing.T) {
	for _, format := range []struct{ extension, header, row string }{
		{".csv", "name,address,cell,state\n", "%s,%s,%d,up\n"},
		{".yaml", "all:\n  hosts:\n", "    %s:\n      address: %s\n      cell: %d\n"},
	} {
		t.Run(format.extension, func(t *testing.T) {
			t.Parallel()
			text := format.header
			var servers []*menuServer
			for i, name := range []string{"menu-dallas", "menu-austin", "menu-el-paso"} {
				server := startMenuServer(t, 500*time.Millisecond)
				servers = append(servers, server)
				text += fmt.Sprintf(format.row, name, server.listener.Addr(), i)
			}
			dir := t.TempDir()
			file := filepath.Join(dir, "servers"+format.extension)
			save := func(part string) { require.NoError(t, os.WriteFile(file, []byte(part), 0o600)) }
			save(text)
			for name, content := range map[string]string{"config.json": fmt.Sprintf(`{"listen":"127.0.0.1:0","settings":%s}`, oneClass),
				"deploy.json": fmt.Sprintf(`{"inventory":%q}`, file)} {
				require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
			}
			g := &gatekeeperProcess{name: "g", dir: dir}
			g.start(t)
			client := dialCaller(t, g.callersAddr)
			const minimum, maximum = 12, 96
			all := callIDs(maximum)
			var ids []string
			idle := func(server *menuServer) bool { return !slices.ContainsFunc(ids, server.holds) }
			for len(ids) < minimum || slices.ContainsFunc(servers, idle) { // calls are distributed at random
				require.Less(t, len(ids), maximum, "no call at one of the servers")
				client.establish(t, all[len(ids)])
				ids = all[:len(ids)+1]
			}
			for cut := range len(text) {
				save(text[:cut])
				g.reload(t)
			}
			save(text)
			g.reload(t)
			select {
			case m := <-client.messages:
				require.Fail(t, "a call at a server that runs was ended", "%v", m)
			case <-time.After(time.Second):
			}
			for _, id := range ids {
				for _, server := range servers {
					if server.holds(id) {
						server.release(t, id)
					}
				}
			}
			client.requireReleased(t, releaseLimit, ids...)
		})
	}
}

// holds reports whether a call was set up at the server.
func (s *menuServer) holds(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.callConn[id]
	return ok
}

// reload sends SIGHUP, and returns once the process has read its files.
func (g *gatekeeperProcess) reload(t *testing.T) {
	t.Helper()
	reloads := func() int {
		text := g.logText()
		return strings.Count(text, "reloaded event bus") + strings.Count(text, "inventory is bad")
	}
	before := reloads()
	require.NoError(t, g.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return reloads() > before }, 5*time.Second, time.Millisecond)
}
