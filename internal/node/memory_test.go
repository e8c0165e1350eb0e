package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"beammux/control"
	"beammux/control/warm"
	"beammux/internal/config"
	"beammux/internal/protocol/sip/siptest"
)

// A restarted gatekeeper knows its overloaded server from the first call, which it refuses immediately; without a memory it
// sends the call. A memory that is damaged, old or from other settings is ignored.
func TestStartsWarm(t *testing.T) {
	server := siptest.New(t, answerAfter(0))
	dir := t.TempDir()
	inv := filepath.Join(dir, "servers.csv")
	if err := os.WriteFile(inv, []byte("name,address\ns-00000007,"+server.Addr("TCP")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(testConfig(t))
	if err != nil {
		t.Fatal(err)
	}
	memory := func(age time.Duration, settings string) *warm.SavedState {
		return &warm.SavedState{Settings: settings, Learned: control.Learned{At: control.Micros(time.Now().Add(-age).UnixMicro()), BaseDelay: 20000,
			Servers: []control.LearnedServer{{Server: 7, Wait: 3e6, Spare: -1}}}}
	}
	for name, row := range map[string]struct {
		write func(string) error
		want  string
		log   string
	}{
		"none":     {func(string) error { return nil }, "ready", ""},
		"fresh":    {func(f string) error { return writeMemory(f, memory(time.Second, settingsHash(cfg.Site))) }, "close", "started warm"},
		"old":      {func(f string) error { return writeMemory(f, memory(time.Minute, settingsHash(cfg.Site))) }, "ready", "started warm"},
		"days old": {func(f string) error { return writeMemory(f, memory(72*time.Hour, settingsHash(cfg.Site))) }, "ready", "started without the memory"},
		"settings": {func(f string) error { return writeMemory(f, memory(time.Second, "others")) }, "ready", "started without the memory"},
		"damaged": {func(f string) error {
			if err := writeMemory(f, memory(time.Second, settingsHash(cfg.Site))); err != nil {
				return err
			}
			text, err := os.ReadFile(f)
			if err != nil {
				return err
			}
			return os.WriteFile(f, text[:len(text)-3], 0o600)
		}, "ready", "memory can't be read: started without it"},
	} {
		store := filepath.Join(dir, strings.ReplaceAll(name, " ", "-"))
		os.MkdirAll(store, 0o700)
		if err := row.write(filepath.Join(store, memoryFile)); err != nil {
			t.Fatal(err)
		}
		log, lines := logtest.NewNullLogger()
		n := startNode(t, cfg, &config.Deploy{Inventory: inv, StoreDir: store}, log)
		answers := make(chan map[string]any, 1)
		c := dialJSON(t, n, func(m map[string]any) { answers <- m })
		sendSetup(c, "0000000000000001", "1", 2000)
		if m := <-answers; m["msg"] != row.want {
			t.Errorf("%s: the first call was answered with %v, want %s", name, m["msg"], row.want)
		}
		logged := ""
		for _, e := range lines.AllEntries() {
			if strings.Contains(e.Message, "memory") || strings.Contains(e.Message, "warm") {
				logged = e.Message
			}
		}
		if logged != row.log {
			t.Errorf("%s: %q is logged, want %q", name, logged, row.log)
		}
	}
}

// What is learned from calls is written to the memory file in the form that the next start reads.
func TestMemoryIsWritten(t *testing.T) {
	dir := t.TempDir()
	server := siptest.New(t, answerAfter(20*time.Millisecond))
	inv := filepath.Join(dir, "servers.csv")
	if err := os.WriteFile(inv, []byte("name,address\ns-00000007,"+server.Addr("TCP")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	n := testNode(t, &config.Deploy{Inventory: inv, StoreDir: dir})
	answers := make(chan map[string]any, 99)
	c := dialJSON(t, n, func(m map[string]any) { answers <- m })
	file := filepath.Join(dir, memoryFile)
	for i := 0; ; i++ {
		sendSetup(c, fmt.Sprintf("%016x", i+1), "1", 2000)
		<-answers
		if m, err := readMemory(file); err == nil && m.Learned.BaseDelay > 0 && len(m.Learned.Servers) == 1 && m.Learned.Servers[0].Server == 7 {
			break
		}
		if i > 5000 {
			t.Fatal("no memory was written")
		}
	}
}

// A process that is started beside another for a hand-over, with the same name and $TMPDIR and no store, starts with the
// other's memory: a set-up to the server known as overloaded is refused immediately.
func TestHandOverStartsWarm(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	server := siptest.New(t, answerAfter(0))
	inv := filepath.Join(t.TempDir(), "servers.csv")
	if err := os.WriteFile(inv, []byte("name,address\ns-00000007,"+server.Addr("TCP")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for i, want := range []string{"ready", "close"} {
		cfg, err := config.Load(testConfig(t))
		if err != nil {
			t.Fatal(err)
		}
		cfg.Name = "n/1"
		log, _ := logtest.NewNullLogger()
		n := startNode(t, cfg, &config.Deploy{Inventory: inv}, log)
		answers := make(chan string, 9)
		sendSetup(dialJSON(t, n, func(m map[string]any) { answers <- fmt.Sprint(m["msg"]) }), "0000000000000001", "1", 3000)
		if got := <-answers; got != want {
			t.Errorf("process %d: %s, want %s", i, got, want)
		}
		if i == 0 { // simulates what the first process learned
			m := &warm.SavedState{Settings: settingsHash(cfg.Site), Learned: control.Learned{At: n.core.Now(), BaseDelay: 20000,
				Servers: []control.LearnedServer{{Server: 7, Wait: 3e6, Spare: -1}}}}
			n.stop() // stop writing the memory
			if err := writeMemory(n.memoryFile(), m); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Deployments that share a name and a $TMPDIR use separate memory files, even if they differ only in the names of their classes
// or in their address.
func TestMemoryFilePerDeployment(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	file := func(change func(*config.Config)) string {
		cfg, err := config.Load(testConfig(t))
		if err != nil {
			t.Fatal(err)
		}
		change(cfg)
		n := &Node{cfg: cfg, deploy: &config.Deploy{}}
		return n.memoryFile()
	}
	own := file(func(*config.Config) {})
	if own == "" || own != file(func(*config.Config) {}) {
		t.Errorf("the memory file %q of one deployment is missing or changes", own)
	}
	for what, change := range map[string]func(*config.Config){
		"address":  func(c *config.Config) { c.Listen = "127.0.0.2:0" },
		"classes":  func(c *config.Config) { c.Site.ClassNames = []string{"ward-call"} },
		"deadline": func(c *config.Config) { c.Site.Classes[0].Deadline++ },
		"tenants":  func(c *config.Config) { c.Site.TenantNames = []string{"north"} },
	} {
		if file(change) == own {
			t.Errorf("deployments with different %s share a memory file", what)
		}
	}
}
