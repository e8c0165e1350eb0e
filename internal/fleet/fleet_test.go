package fleet

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"beammux/control/fleetview"
	"beammux/control/registers"
)

// openMember opens a member in zone a and closes it when the test ends.
func openMember(t *testing.T, o Options) *Fleet {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	if o.Bind == "" {
		o.Bind = "127.0.0.1:0"
	}
	o.Zone, o.Log = "a", log
	f, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// waitUntil waits up to 20 s for a condition, and fails the test if it does not hold by then.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", description)
		}
	}
}

// memberInView returns a member as it is in f's view, or one with an invalid health if it is not in the view.
func memberInView(f *Fleet, name string) (m fleetview.Member) {
	for _, m := range f.Status().Members {
		if m.Name == name {
			return m
		}
	}
	return fleetview.Member{Health: fleetview.Left + 1}
}

// Members join each other, receive each other's states and server summaries, and reach equal view hashes. A member that leaves
// is not declared dead. A member that stops without leaving is suspected, declared dead, and can rejoin under its name with a
// new incarnation.
func TestMembers(t *testing.T) {
	a := openMember(t, Options{Name: "a", Summaries: func() []fleetview.Summary { return []fleetview.Summary{{Server: 7, Level: 3}} }})
	b := openMember(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	c := openMember(t, Options{Name: "c", Seeds: []string{a.Addr()}})
	a.SetState(fleetview.Ready)
	waitUntil(t, "b and c see a as ready", func() bool {
		return memberInView(b, "a").State == fleetview.Ready && memberInView(c, "a").State == fleetview.Ready && memberInView(c, "b").Health == fleetview.Alive
	})
	waitUntil(t, "b receives a's summaries", func() bool { s := memberInView(b, "a").Servers; return len(s) == 1 && s[0].Level == 3 })
	waitUntil(t, "all view hashes are equal", func() bool { return a.Status().Hash == b.Status().Hash && b.Status().Hash == c.Status().Hash })
	b.Leave()
	waitUntil(t, "b has left", func() bool {
		return memberInView(a, "b").Health == fleetview.Left && memberInView(c, "b").Health == fleetview.Left
	})
	start := memberInView(a, "c").Start
	c.Close()
	waitUntil(t, "c is suspected (derived from memberlist's log)", func() bool { return memberInView(a, "c").Health == fleetview.Suspect })
	waitUntil(t, "c is dead", func() bool { return memberInView(a, "c").Health == fleetview.Dead })
	again := openMember(t, Options{Name: "c", Seeds: []string{a.Addr()}})
	waitUntil(t, "c is alive with a new incarnation", func() bool { m := memberInView(a, "c"); return m.Health == fleetview.Alive && m.Start > start })
	waitUntil(t, "view hashes of a and c are equal", func() bool { return a.Status().Hash == again.Status().Hash })
}

// Members of two named groups and of the unnamed group have each other's addresses as seeds. Each joins only members of its own
// group, and no register reaches another group.
func TestGroups(t *testing.T) {
	first := []*Fleet{openMember(t, Options{Name: "a1", Group: "a"}), openMember(t, Options{Name: "b1", Group: "b"}), openMember(t, Options{Name: "c1"})}
	var seeds []string
	for _, f := range first {
		seeds = append(seeds, f.Addr())
	}
	second := []*Fleet{openMember(t, Options{Name: "a2", Group: "a", Seeds: seeds}), openMember(t, Options{Name: "b2", Group: "b", Seeds: seeds}),
		openMember(t, Options{Name: "c2", Seeds: seeds})}
	for i := range first {
		value := []byte(second[i].options.Name)
		if err := second[i].Publish(registers.Rates, value); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the members of each group join and read their register", func() bool {
			read := first[i].Read(registers.Rates)
			return first[i].UpCount() == 2 && second[i].UpCount() == 2 && len(read) == 1 && string(read[0].Value) == string(value)
		})
	}
	time.Sleep(2 * rejoinInterval) // long enough for each member to try the other groups' seeds again
	for i := range first {
		for _, f := range []*Fleet{first[i], second[i]} {
			if members := f.Status().Members; len(members) != 2 {
				t.Errorf("%s has %d members in its view: %+v", f.options.Name, len(members), members)
			}
			if read := f.Read(registers.Rates); len(read) > 1 {
				t.Errorf("%s reads %d registers", f.options.Name, len(read))
			}
		}
	}
}

// Members without the key, or with another key, can't join. During a key rotation, members with both keys reach members with
// either key.
func TestKeys(t *testing.T) {
	dir := t.TempDir()
	readKeys := func(lines ...string) [][]byte {
		name := filepath.Join(dir, "keys")
		if err := os.WriteFile(name, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := Keys(name)
		if err != nil {
			t.Fatal(err)
		}
		return keys
	}
	const firstKey, secondKey = "MDEyMzQ1Njc4OWFiY2RlZg==", "ZmVkY2JhOTg3NjU0MzIxMA=="
	a := openMember(t, Options{Name: "a", Keys: readKeys("# gossip", firstKey)})
	seeds := []string{a.Addr()}
	plain, other := openMember(t, Options{Name: "plain", Seeds: seeds}), openMember(t, Options{Name: "other", Seeds: seeds, Keys: readKeys(secondKey)})
	both := openMember(t, Options{Name: "both", Seeds: seeds, Keys: readKeys(firstKey, "", secondKey)})
	waitUntil(t, "a and both join", func() bool { return memberInView(a, "both").Health == fleetview.Alive })
	for _, f := range []*Fleet{plain, other} {
		if n := len(f.Status().Members); n != 1 {
			t.Errorf("%s has %d members in its view", f.options.Name, n)
		}
	}
	if n := len(both.Status().Members); n != 2 {
		t.Errorf("both has %d members in its view", n)
	}
	for text, want := range map[string]string{"": "contains no key", "x": ":1: is not valid base64", "\nYWJj": ":2: a key of 3 bytes"} {
		name := filepath.Join(dir, "bad")
		os.WriteFile(name, []byte(text), 0o600)
		if _, err := Keys(name); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Malformed messages and states of other members neither crash a member nor change its view.
func TestHostileMessages(t *testing.T) {
	a := openMember(t, Options{Name: "a"})
	before := a.Status().Hash
	for _, text := range [][]byte{nil, {0xff}, []byte("hello"), make([]byte, 60_000), {0x9f}, {0x84, 0x61, 'a', 5, 9, 0x80}} {
		(*delegate)(a).NotifyMsg(text)
		(*delegate)(a).MergeRemoteState(text, false)
	}
	if a.Status().Hash != before {
		t.Error("the view changed")
	}
}

// All members read the newest value that a member publishes. The registers of a dead member are no longer valid, and those of
// its former incarnation stay invalid after it has rejoined.
func TestRegistersAmongMembers(t *testing.T) {
	a := openMember(t, Options{Name: "a"})
	b := openMember(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	c := openMember(t, Options{Name: "c", Seeds: []string{a.Addr()}})
	value := func(f *Fleet, origin string) string {
		for _, r := range f.Read(registers.Rates) {
			if r.Origin == origin {
				return string(r.Value)
			}
		}
		return ""
	}
	for _, v := range []string{"one", "two", "three"} {
		if err := a.Publish(registers.Rates, []byte(v)); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "b and c read "+v, func() bool { return value(b, "a") == v && value(c, "a") == v })
	}
	if err := c.Publish(registers.Rates, []byte("of c")); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "a reads the register of c", func() bool { return value(a, "c") == "of c" })
	c.Close()
	waitUntil(t, "a and b no longer read the register of c", func() bool { return value(a, "c") == "" && value(b, "c") == "" })
	again := openMember(t, Options{Name: "c", Seeds: []string{a.Addr()}})
	waitUntil(t, "c is alive again", func() bool { return memberInView(a, "c").Health == fleetview.Alive })
	if v := value(a, "c"); v != "" {
		t.Errorf("the register of c's former incarnation is still read: %q", v)
	}
	waitUntil(t, "the new c reads the register of a", func() bool { return value(again, "a") == "three" })
	if err := a.Publish(registers.Rates, make([]byte, 4096)); !errors.As(err, new(*registers.TooLarge)) || a.Status().Faults[0].Advice == "" {
		t.Errorf("%v, %+v", err, a.Status().Faults)
	}
}

// Compatibility with other builds: a build that predates registers drops them, and still decodes full states that contain
// them. Registers of a build with more topics are accepted for the topics known to both. A malformed register does not affect
// the others of the same message.
func TestRegistersAcrossVersions(t *testing.T) {
	type formerSummary struct { // summary in builds that predate registers
		Name    string              `cbor:"1,keyasint"`
		Start   uint64              `cbor:"2,keyasint"`
		Seq     uint64              `cbor:"3,keyasint"`
		Servers []fleetview.Summary `cbor:"4,keyasint"`
	}
	a := openMember(t, Options{Name: "a", Summaries: func() []fleetview.Summary { return []fleetview.Summary{{Server: 7, Level: 3}} }})
	sample := registers.Register{Topic: registers.Rates, Origin: "a", Start: 1, Seq: 1, Value: []byte("v")}
	if err := decodeMode.Unmarshal(encodeRegister(sample), new(formerSummary)); err == nil {
		t.Error("a register decodes as a summary")
	}
	a.Publish(registers.Rates, []byte("v"))
	waitUntil(t, "the state of a holds its register and summary", func() bool {
		var all []formerSummary
		if err := decodeMode.Unmarshal((*delegate)(a).LocalState(false), &all); err != nil {
			t.Fatal(err)
		}
		return len(all) == 2 && all[0].Name == "a" && all[0].Servers[0].Level == 3 && all[1].Name == ""
	})
	b := openMember(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	waitUntil(t, "a and b join", func() bool { return memberInView(a, "b").Health == fleetview.Alive })
	b.registersMu.Lock()
	start := b.incarnation
	b.registersMu.Unlock()
	later := encodeRegister(registers.Register{Topic: 77, Origin: "b", Start: start, Seq: 1, Value: []byte("unknown")})
	good := encodeRegister(registers.Register{Topic: registers.Limits, Origin: "b", Start: start, Seq: 1, Value: []byte("good")})
	text, err := cbor.Marshal([]summary{{Registers: []cbor.RawMessage{later, {0x83, 1, 2, 3}, good}}})
	if err != nil {
		t.Fatal(err)
	}
	(*delegate)(a).MergeRemoteState(text, false)
	if all := a.Read(registers.Limits); len(all) != 1 || string(all[0].Value) != "good" {
		t.Errorf("%+v", all)
	}
	faults := a.Status().Faults
	if len(faults) != 1 || faults[0].Count != 1 || faults[0].Advice == "" {
		t.Errorf("%+v", faults)
	}
}
