package control

import "testing"

// What a front gives up it takes back: the same view of each server, and a call goes the same way as before.
func TestRecall(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	f.servers(two...)
	for i := range 200 {
		id, s := f.call(0, 0)
		if s != 0 {
			f.answer(id, s, 50000+Micros(i)*1500)
		}
		f.pass(20000)
	}
	l := f.c.Learned()
	if len(l.Servers) != 2 || l.BaseDelay == 0 || l.BestRate == 0 || l.Servers[0].Wait+l.Servers[1].Wait == 0 {
		t.Fatalf("%+v", l)
	}
	g := newGatekeeper(t, testSettings())
	g.now = f.now
	g.servers(two...)
	g.do(Recall{l})
	got := g.c.Learned()
	if got.BaseDelay != l.BaseDelay || got.BestRate != l.BestRate || got.Servers[0] != l.Servers[0] || got.Servers[1] != l.Servers[1] {
		t.Errorf("got  %+v\nwant %+v", got, l)
	}
	before, after := f.c.Views(nil), g.c.Views(nil)
	for i := range before {
		if before[i].Level != after[i].Level {
			t.Errorf("server %d at level %d, was at %d", before[i].Server, after[i].Level, before[i].Level)
		}
	}
}

// The list is believed before the memory: servers that are gone, drain, have started since or are cold are known anew.
func TestListIsBelievedBeforeTheMemory(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	cold := f.now - 1e6
	f.servers(Entry{Server: 10, Cell: 0, State: Ready}, Entry{Server: 11, Cell: 0, State: Draining},
		Entry{Server: 12, Cell: 1, State: Ready, Since: f.now - 100e6}, Entry{Server: 13, Cell: 1, State: Ready, Since: cold})
	l := Learned{BaseDelay: 50000}
	for id := range uint32(6) {
		l.Servers = append(l.Servers, LearnedServer{Server: 10 + id, Wait: 9e5, Shed: 0.9, Total: 40, Spare: 1})
	}
	l.Servers[3].Since = cold
	f.do(Recall{l})
	for _, v := range f.c.Views(nil) {
		if recalled := v.Wait > 0; recalled != (v.Server == 10) {
			t.Errorf("server %d: wait %d", v.Server, v.Wait)
		}
	}
	if len(f.c.Views(nil)) != 4 {
		t.Error("the memory made a server")
	}
}

// However wrong a memory is, a cold server gets no more set-ups than without it: its budget counts by what has been seen
// since the start.
func TestWrongMemoryAtAColdServer(t *testing.T) {
	sent := func(l *Learned) (n int) {
		f := newGatekeeper(t, testSettings())
		f.servers(Entry{Server: 10, Cell: 0, State: Ready, Since: f.now - 1e5})
		if l != nil {
			f.do(Recall{*l})
		}
		for range 600 { // 3 s at 200 a second, all answered at once
			if id, s := f.call(0, 0); s != 0 {
				n++
				f.answer(id, s, 1000)
			}
			f.pass(4000)
		}
		return n
	}
	without := sent(nil)
	with := sent(&Learned{BaseDelay: 1, BestRate: 1e4, Servers: []LearnedServer{{Server: 10, Total: 1e6, Spare: 1e6}}})
	if without == 0 || with > without {
		t.Errorf("%d set-ups without a memory, %d with one that is wrong", without, with)
	}
}
