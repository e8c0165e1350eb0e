package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"beammux/control"
)

const good = `{"name":"n3","listen":"127.0.0.1:5060","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"bus":"127.0.0.1:4222","known":{"offset":3,"batch":[{"offset":3,"topology":{"seq":1,"whole":true,"hosts":[{"host":"s-1",
"dial":"127.0.0.1:9","health":"up"}]}}]},"news":{},"settings":{"balancers":6,"classes":[{"name":"menu-view","repeat":"read_like"}]}}`

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestLoad(t *testing.T) {
	c, err := Load(write(t, good))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.MemoryMB != 192 || c.Sockets != 1024 || c.Cores != 1 ||
		c.LastOffset != 3 || c.Site.Gatekeepers != 6 || c.Site.ClassNames[0] != "menu-view" {
		t.Errorf("%+v", c)
	}
	if h := c.KnownEvents[0].Update.Hosts[0]; h.Name != "s-1" || h.State != control.Ready {
		t.Errorf("%+v", h)
	}
}

// A fault is one line that names the file and the key.
func TestFaults(t *testing.T) {
	for _, row := range []struct{ from, to, want string }{
		{good, "{", "c.json: not JSON"},
		{`"listen":"127.0.0.1:5060",`, "", "c.json: key listen: missing"},
		{"8c1f", "xyz!", "c.json: key seed: not 16 hex digits"},
		{`"settings":{`, `"settings":3,"x":{`, "c.json: key settings: not a JSON object"},
		{`"balancers":6`, `"balancers":"6"`, "c.json: key settings: key balancers has a wrong type"},
		{"read_like", "often", `c.json: key settings: key classes[0].repeat is not known: "often"`},
		{`"health":"up"`, `"health":"ill"`, `c.json: key known.batch[0]: topology.hosts[0]: key health is not known: "ill"`},
	} {
		_, err := Load(write(t, strings.Replace(good, row.from, row.to, 1)))
		if err == nil || !strings.Contains(err.Error(), row.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v, want %s", err, row.want)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a file that is not there was read")
	}
}

func TestDeploy(t *testing.T) {
	d, err := LoadDeploy(write(t, `{"sip":{"udp":"127.0.0.1:1"},"store":{"node":"a","listen":"127.0.0.1:2",
"peers":[{"node":"a","address":"127.0.0.1:2"}]},"inventory":"x.csv"}`), &control.Site{})
	if err != nil || d.SIPUDP != "127.0.0.1:1" || d.SIPTCP != "" || len(d.StorePeers) != 1 || d.Inventory != "x.csv" {
		t.Errorf("%+v, %v", d, err)
	}
	if d, err := LoadDeploy("no-such-file", &control.Site{}); err != nil || *d.off() != *(&Deploy{}).off() {
		t.Errorf("%+v, %v", d, err)
	}
	for text, want := range map[string]string{
		"[]": "c.json:1:1: is an array, must be an object", `{"sip":{"udp":1}}`: "c.json:1:9: sip.udp: is a number, must be a string",
		`{"store":{"listen":"x:2","peers":[{"node":"a"}]}}`:  "c.json:1:35: store.peers[0]: node or address is missing",
		`{"store":{"peers":[{"node":"a","address":"x:1"}]}}`: "c.json:1:2: store.listen: missing beside peers",
	} {
		if _, err := LoadDeploy(write(t, text), &control.Site{}); err == nil || !strings.HasSuffix(err.Error(), want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}

// The deploy file that ships keeps the second front and the store's sockets off.
func TestShippedDeployFileIsOff(t *testing.T) {
	d, err := LoadDeploy("../../deploy/beammux.json", &control.Site{})
	if err != nil || *d.off() != (switches{}) {
		t.Errorf("%+v, %v", d, err)
	}
}

type switches struct{ udp, tcp, store, inventory string }

func (d *Deploy) off() *switches { return &switches{d.SIPUDP, d.SIPTCP, d.StoreListen, d.Inventory} }
