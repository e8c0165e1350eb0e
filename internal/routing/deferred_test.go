package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/control"
)

const testRemovalDelay = 30 * time.Second

// applyInventory applies a list that may be incomplete.
func (h *harness) applyInventory(hosts ...Host) {
	h.list.Apply(Update{Source: "inventory", Complete: true, Hosts: hosts, RemovalDelay: testRemovalDelay}, nil)
	synctest.Wait()
}

// listedAddresses returns the addresses of the servers of the inventory by name.
func (h *harness) listedAddresses() map[string]string {
	addresses := map[string]string{}
	h.list.Post(func() {
		for name, host := range h.list.hosts {
			addresses[name] = host.Addr
		}
	})
	synctest.Wait()
	return addresses
}

// Guards against servers that are dropped, with their calls, while the file that names them is half-saved, and against servers that stay
// for good once it is saved without them.
func TestServersThatAnInventoryNoLongerNamesAreRemovedLater(t *testing.T) {
	up := func(name, addr string) Host { return Host{Name: name, Addr: addr, State: control.Ready} }
	a, b, c, all := up("a", "a"), up("b", "b"), up("c", "c"), map[string]string{"a": "a", "b": "b", "c": "c"}
	for _, test := range []struct {
		name          string
		next          []Host
		soon, delayed map[string]string // listed at once, and once the delay has passed
	}{
		{"cut after the first", []Host{a}, all, map[string]string{"a": "a"}},
		{"no server left", nil, all, map[string]string{}},
		{"cut in the address of the last", []Host{a, b, up("c", "d")}, all, map[string]string{"a": "a", "b": "b", "c": "d"}},
		{"cut after the last's port", []Host{a, up("b", "d")}, all, map[string]string{"a": "a", "b": "d"}},
		{"moved, and the list is whole", []Host{up("a", "d"), b, c}, map[string]string{"a": "d", "b": "b", "c": "c"},
			map[string]string{"a": "d", "b": "b", "c": "c"}},
		{"named as removed", []Host{a, b, {Name: "c", Addr: "c", State: control.Gone}}, map[string]string{"a": "a", "b": "b"},
			map[string]string{"a": "a", "b": "b"}},
		{"under another name", []Host{a, b, up("d", "c")}, map[string]string{"a": "a", "b": "b", "d": "c"},
			map[string]string{"a": "a", "b": "b", "d": "c"}},
	} {
		for _, saved := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				defer h.stop()
				for _, name := range []string{"a", "b", "c", "d"} {
					h.servers[name] = newFakeServer()
				}
				h.applyInventory(a, b, c)
				h.sleep(time.Second)
				h.applyInventory(test.next...)
				h.sleep(testRemovalDelay / 2)
				require.Equal(t, test.soon, h.listedAddresses(), test.name)
				if saved {
					h.applyInventory(a, b, c)
					h.sleep(2 * testRemovalDelay)
					require.Equal(t, all, h.listedAddresses(), "%s, saved whole", test.name)
					return
				}
				h.applyInventory(test.next...) // read again as it is: the delay is not put off
				h.sleep(testRemovalDelay/2 + time.Second)
				require.Equal(t, test.delayed, h.listedAddresses(), test.name)
			})
		}
	}
}
