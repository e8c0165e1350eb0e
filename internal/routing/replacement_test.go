package routing

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beammux/control"
)

// listed returns the names of the servers on the list, sorted.
func (h *harness) listed() []string {
	synctest.Wait()
	return slices.Sorted(maps.Keys(h.list.hosts))
}

// Guards against a server that stays listed at an address which the list has given to another one, whatever the order of the updates: its
// process has ended, also if the list still names it.
func TestLaterServerTakesTheAddress(t *testing.T) {
	a := Host{Name: "s-a", Addr: "x", State: control.Ready}
	b := Host{Name: "s-b", Addr: "x", State: control.Ready, Since: 5000}
	gone := func(h Host) Host { h.State = control.Gone; return h }
	again := Host{Name: "s-a", Addr: "x", State: control.Ready, Since: 9000}
	elsewhere := Host{Name: "s-a", Addr: "y", State: control.Ready}
	for _, c := range []struct {
		name    string
		updates [][]Host
		want    []string
	}{
		{"one update", [][]Host{{a, b}}, []string{"s-b"}},
		{"one update, the other way round", [][]Host{{b, a}}, []string{"s-b"}},
		{"one after the other", [][]Host{{a}, {b}}, []string{"s-b"}},
		{"the first named late", [][]Host{{b}, {a}}, []string{"s-b"}},
		{"the first named again", [][]Host{{a}, {b}, {a}, {b}, {a, b}}, []string{"s-b"}},
		{"the first removed", [][]Host{{a}, {b}, {gone(a)}}, []string{"s-b"}},
		{"the second removed, and the first named again", [][]Host{{a}, {b}, {gone(b)}, {a}}, nil},
		{"the first started again", [][]Host{{a}, {b}, {again}}, []string{"s-a"}},
		{"the first moved", [][]Host{{a}, {b}, {elsewhere}}, []string{"s-a", "s-b"}},
		{"moved in the same update", [][]Host{{a}, {b, elsewhere}}, []string{"s-a", "s-b"}},
		{"no start known", [][]Host{{a}, {{Name: "s-c", Addr: "x", State: control.Ready}}, {a}}, []string{"s-c"}},
		{"no start known, in one update", [][]Host{{a, {Name: "s-c", Addr: "x", State: control.Ready}}, {a, {Name: "s-c", Addr: "x", State: control.Ready}}},
			[]string{"s-a", "s-c"}},
		{"no start known, in one update, then a later start", [][]Host{{a, {Name: "s-c", Addr: "x", State: control.Ready}}, {b}}, []string{"s-b"}},
		{"no start known, removed", [][]Host{{a}, {{Name: "s-c", Addr: "x", State: control.Ready}}, {{Name: "s-c", State: control.Gone}}}, []string{"s-a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				defer h.stop()
				h.servers["x"], h.servers["y"] = newFakeServer(), newFakeServer()
				for _, hosts := range c.updates {
					h.list.Apply(Update{Hosts: hosts}, nil)
					synctest.Wait()
				}
				require.Equal(t, c.want, h.listed())
			})
		})
	}
}

// Guards against a list that depends on the order of its entries: of the servers that a complete list names at one address, the one that
// started last is listed.
func TestCompleteListWithSharedAddresses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type draw struct{ addr, since int }
		hosts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) draw {
			return draw{rapid.IntRange(0, 2).Draw(t, "address"), rapid.IntRange(1, 1000).Draw(t, "since")}
		}), 1, 8).Draw(rt, "hosts")
		synctest.Test(t, func(t *testing.T) {
			h := newHarness()
			defer h.stop()
			update := Update{Complete: true}
			last := map[string]Host{}
			for i, d := range hosts {
				host := Host{Name: string(rune('a' + i)), Addr: string(rune('x' + d.addr)), State: control.Ready, Since: control.Micros(d.since*10 + i)}
				h.servers[host.Addr] = newFakeServer()
				update.Hosts = append(update.Hosts, host)
				if host.Since >= last[host.Addr].Since {
					last[host.Addr] = host
				}
			}
			for range 2 {
				h.list.Apply(update, nil)
				var want []string
				for _, host := range last {
					want = append(want, host.Name)
				}
				slices.Sort(want)
				require.Equal(t, want, h.listed())
			}
		})
	})
}

// Guards against set-ups and releases that wait for a server and are lost, or reach the wrong call, when another one takes its address:
// set-ups go elsewhere, and a call that the new process may hold is released there.
func TestQueuedWhenAnotherServerTakesTheAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		first := h.servers["a"]
		established := h.call("1", 3*time.Second)
		first.answer("1", "body")
		synctest.Wait()
		inFlight := h.call("2", 3*time.Second)
		first.dialGate = make(chan struct{}) // its machine has vanished
		defer close(first.dialGate)
		first.reset()
		h.core.Hangup("1", CauseNormal, nil, nil) // its release waits for a connection
		queued := h.call("3", 3*time.Second)
		second := newFakeServer()
		h.servers["a"] = second
		h.list.Apply(Update{Hosts: []Host{{Name: "s-b", Addr: "a", State: control.Ready}}}, nil)
		h.sleep(time.Second)
		require.Zero(t, established.releases, "its caller has hung up")
		require.Equal(t, 1, second.releasesReceived["2"], "the set-up was sent, and its answer may have been lost")
		calls := map[string]*caller{"2": inFlight, "3": queued}
		for id := range calls {
			require.Contains(t, second.inFlight, id)
			second.answer(id, "body")
		}
		h.sleep(time.Second)
		for id, c := range calls {
			require.True(t, c.established, "call %s", id)
			require.Zero(t, c.releases, "call %s", id)
		}
		require.Empty(t, second.duplicates)
	})
}

// Guards against calls of the old process that stay open, and calls of the new one that are ended, where both were set up through the
// connections of the server that was listed first.
func TestCallsOnBothSidesOfAReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		server := h.servers["a"]
		old := h.call("1", 3*time.Second)
		server.answer("1", "")
		synctest.Wait()
		h.sleep(time.Second)
		started := control.Micros(time.Now().UnixMicro())
		h.sleep(100 * time.Millisecond)
		server.reset()
		synctest.Wait()
		current := h.call("2", 3*time.Second)
		server.answer("2", "")
		synctest.Wait()
		h.list.Apply(Update{Hosts: []Host{{Name: "s-b", Addr: "a", State: control.Ready, Since: started}}}, nil)
		h.sleep(time.Second)
		require.Equal(t, 1, old.releases)
		require.Zero(t, current.releases)
		server.events.Released("2", CauseNormal, nil)
		synctest.Wait()
		require.Equal(t, 1, current.releases)
	})
}

// Guards against calls that outlive the server which has taken the address, when that one is lost in turn.
func TestCallsOfTheReplacementEndWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		server := h.servers["a"]
		started := control.Micros(time.Now().UnixMicro())
		h.sleep(100 * time.Millisecond)
		server.reset()
		synctest.Wait()
		c := h.call("1", 3*time.Second)
		server.answer("1", "")
		synctest.Wait()
		h.list.Apply(Update{Hosts: []Host{{Name: "s-b", Addr: "a", State: control.Ready, Since: started}}}, nil)
		h.sleep(time.Second)
		require.Zero(t, c.releases)
		h.list.Apply(Update{Hosts: []Host{{Name: "s-c", Addr: "a", State: control.Ready, Since: started + 500_000}}}, nil)
		h.sleep(time.Second)
		require.Equal(t, 1, c.releases)
	})
}
