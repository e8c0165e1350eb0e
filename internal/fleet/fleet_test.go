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

func member(t *testing.T, o Options) *Fleet {
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

// until waits for a condition, bounded.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func known(f *Fleet, name string) (m fleetview.Member) {
	for _, m := range f.Status().Members {
		if m.Name == name {
			return m
		}
	}
	return fleetview.Member{Health: fleetview.Left + 1}
}

// Two members meet, hear each other's state and view of servers, agree by their hashes; one leaves and is not given up; one
// that ends without a word is suspected and given up, and comes back under its name as a new one.
func TestMembers(t *testing.T) {
	a := member(t, Options{Name: "a", Summaries: func() []fleetview.Summary { return []fleetview.Summary{{Server: 7, Level: 3}} }})
	b := member(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	c := member(t, Options{Name: "c", Seeds: []string{a.Addr()}})
	a.SetState(fleetview.Ready)
	until(t, "b and c hold a as ready", func() bool {
		return known(b, "a").State == fleetview.Ready && known(c, "a").State == fleetview.Ready && known(c, "b").Health == fleetview.Alive
	})
	until(t, "b hears what a sees", func() bool { s := known(b, "a").Servers; return len(s) == 1 && s[0].Level == 3 })
	until(t, "all agree", func() bool { return a.Status().Hash == b.Status().Hash && b.Status().Hash == c.Status().Hash })
	b.Leave()
	until(t, "b has left", func() bool { return known(a, "b").Health == fleetview.Left && known(c, "b").Health == fleetview.Left })
	start := known(a, "c").Start
	c.Close()
	until(t, "c is suspected (read in the library's log)", func() bool { return known(a, "c").Health == fleetview.Suspect })
	until(t, "c is given up", func() bool { return known(a, "c").Health == fleetview.Dead })
	again := member(t, Options{Name: "c", Seeds: []string{a.Addr()}})
	until(t, "c is back, new", func() bool { m := known(a, "c"); return m.Health == fleetview.Alive && m.Start > start })
	until(t, "a and c agree", func() bool { return a.Status().Hash == again.Status().Hash })
}

// Members of two groups, and one of none, are given each other's addresses as seeds: each meets those of its own group alone,
// and no register crosses.
func TestGroups(t *testing.T) {
	first := []*Fleet{member(t, Options{Name: "a1", Group: "a"}), member(t, Options{Name: "b1", Group: "b"}), member(t, Options{Name: "c1"})}
	var seeds []string
	for _, f := range first {
		seeds = append(seeds, f.Addr())
	}
	second := []*Fleet{member(t, Options{Name: "a2", Group: "a", Seeds: seeds}), member(t, Options{Name: "b2", Group: "b", Seeds: seeds}),
		member(t, Options{Name: "c2", Seeds: seeds})}
	for i := range first {
		value := []byte(second[i].options.Name)
		if err := second[i].Publish(registers.Rates, value); err != nil {
			t.Fatal(err)
		}
		until(t, "each group has met and reads its register", func() bool {
			read := first[i].Read(registers.Rates)
			return first[i].UpCount() == 2 && second[i].UpCount() == 2 && len(read) == 1 && string(read[0].Value) == string(value)
		})
	}
	time.Sleep(2 * rejoinInterval) // in which each tries the others' seeds again
	for i := range first {
		for _, f := range []*Fleet{first[i], second[i]} {
			if members := f.Status().Members; len(members) != 2 {
				t.Errorf("%s knows %d members: %+v", f.options.Name, len(members), members)
			}
			if read := f.Read(registers.Rates); len(read) > 1 {
				t.Errorf("%s reads %d registers", f.options.Name, len(read))
			}
		}
	}
}

// Who has no key, or another one, is not let in; while keys change, members with both talk to either.
func TestKeys(t *testing.T) {
	dir := t.TempDir()
	file := func(lines ...string) [][]byte {
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
	const one, two = "MDEyMzQ1Njc4OWFiY2RlZg==", "ZmVkY2JhOTg3NjU0MzIxMA=="
	a := member(t, Options{Name: "a", Keys: file("# gossip", one)})
	seeds := []string{a.Addr()}
	plain, other := member(t, Options{Name: "plain", Seeds: seeds}), member(t, Options{Name: "other", Seeds: seeds, Keys: file(two)})
	both := member(t, Options{Name: "both", Seeds: seeds, Keys: file(one, "", two)})
	until(t, "both meet", func() bool { return known(a, "both").Health == fleetview.Alive })
	for _, f := range []*Fleet{plain, other} {
		if n := len(f.Status().Members); n != 1 {
			t.Errorf("%s knows %d members", f.options.Name, n)
		}
	}
	if n := len(both.Status().Members); n != 2 {
		t.Errorf("both knows %d members", n)
	}
	for text, want := range map[string]string{"": "holds no key", "x": ":1: is no base64", "\nYWJj": ":2: a key of 3 bytes"} {
		name := filepath.Join(dir, "bad")
		os.WriteFile(name, []byte(text), 0o600)
		if _, err := Keys(name); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// What others send is not trusted: neither a member's words of itself nor a summary that can't be read does harm.
func TestHostileMessages(t *testing.T) {
	a := member(t, Options{Name: "a"})
	before := a.Status().Hash
	for _, text := range [][]byte{nil, {0xff}, []byte("hello"), make([]byte, 60_000), {0x9f}, {0x84, 0x61, 'a', 5, 9, 0x80}} {
		(*delegate)(a).NotifyMsg(text)
		(*delegate)(a).MergeRemoteState(text, false)
	}
	if a.Status().Hash != before {
		t.Error("the view changed")
	}
}

// What one member publishes all read, with the newest value; one that died no longer counts, and neither does what its
// former process said once it is back.
func TestRegistersAmongMembers(t *testing.T) {
	a := member(t, Options{Name: "a"})
	b := member(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	c := member(t, Options{Name: "c", Seeds: []string{a.Addr()}})
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
		until(t, "b and c read "+v, func() bool { return value(b, "a") == v && value(c, "a") == v })
	}
	if err := c.Publish(registers.Rates, []byte("of c")); err != nil {
		t.Fatal(err)
	}
	until(t, "a reads c", func() bool { return value(a, "c") == "of c" })
	c.Close()
	until(t, "c no longer counts", func() bool { return value(a, "c") == "" && value(b, "c") == "" })
	again := member(t, Options{Name: "c", Seeds: []string{a.Addr()}})
	until(t, "c is back", func() bool { return known(a, "c").Health == fleetview.Alive })
	if v := value(a, "c"); v != "" {
		t.Errorf("what the former c said counts: %q", v)
	}
	until(t, "the new c reads a", func() bool { return value(again, "a") == "three" })
	if err := a.Publish(registers.Rates, make([]byte, 4096)); !errors.As(err, new(*registers.TooLarge)) || a.Status().Faults[0].Advice == "" {
		t.Errorf("%v, %+v", err, a.Status().Faults)
	}
}

// Members of other builds: one before registers drops them and reads whole states with them; one with more topics is heard
// on those that both know; and one bad register drops itself alone.
func TestRegistersAcrossVersions(t *testing.T) {
	type former struct { // summary as the builds before registers had it
		Name    string              `cbor:"1,keyasint"`
		Start   uint64              `cbor:"2,keyasint"`
		Seq     uint64              `cbor:"3,keyasint"`
		Servers []fleetview.Summary `cbor:"4,keyasint"`
	}
	a := member(t, Options{Name: "a", Summaries: func() []fleetview.Summary { return []fleetview.Summary{{Server: 7, Level: 3}} }})
	one := registers.Register{Topic: registers.Rates, Origin: "a", Start: 1, Seq: 1, Value: []byte("v")}
	if err := decoding.Unmarshal(encode(one), new(former)); err == nil {
		t.Error("a register reads as a summary")
	}
	a.Publish(registers.Rates, []byte("v"))
	until(t, "a has told its register and summary", func() bool {
		var all []former
		if err := decoding.Unmarshal((*delegate)(a).LocalState(false), &all); err != nil {
			t.Fatal(err)
		}
		return len(all) == 2 && all[0].Name == "a" && all[0].Servers[0].Level == 3 && all[1].Name == ""
	})
	b := member(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	until(t, "they meet", func() bool { return known(a, "b").Health == fleetview.Alive })
	b.registersMu.Lock()
	start := b.incarnation
	b.registersMu.Unlock()
	later := encode(registers.Register{Topic: 77, Origin: "b", Start: start, Seq: 1, Value: []byte("unknown")})
	good := encode(registers.Register{Topic: registers.Limits, Origin: "b", Start: start, Seq: 1, Value: []byte("good")})
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
