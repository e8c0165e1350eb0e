package control

import "testing"

// A gatekeeper that restores the saved estimates of another has the same estimates and levels of its servers.
func TestRestoreLearned(t *testing.T) {
	gk := newGatekeeper(t, testSettings())
	gk.servers(twoServers...)
	for i := range 200 {
		id, s := gk.openCall(0, 0)
		if s != 0 {
			gk.answer(id, s, 50000+Micros(i)*1500)
		}
		gk.advance(20000)
	}
	saved := gk.c.Learned()
	if len(saved.Servers) != 2 || saved.BaseDelay == 0 || saved.BestRate == 0 || saved.Servers[0].Wait+saved.Servers[1].Wait == 0 {
		t.Fatalf("%+v", saved)
	}
	restored := newGatekeeper(t, testSettings())
	restored.now = gk.now
	restored.servers(twoServers...)
	restored.handle(Recall{saved})
	got := restored.c.Learned()
	if got.BaseDelay != saved.BaseDelay || got.BestRate != saved.BestRate || got.Servers[0] != saved.Servers[0] || got.Servers[1] != saved.Servers[1] {
		t.Errorf("got  %+v\nwant %+v", got, saved)
	}
	before, after := gk.c.Views(nil), restored.c.Views(nil)
	for i := range before {
		if before[i].Level != after[i].Level {
			t.Errorf("server %d restored at level %d, want %d", before[i].Server, after[i].Level, before[i].Level)
		}
	}
}

// The list takes precedence over restored estimates: servers that are gone, draining, restarted or cold keep their initial
// estimates.
func TestListPrecedesRestoredEstimates(t *testing.T) {
	gk := newGatekeeper(t, testSettings())
	cold := gk.now - 1e6
	gk.servers(Entry{Server: 10, Cell: 0, State: Ready}, Entry{Server: 11, Cell: 0, State: Draining},
		Entry{Server: 12, Cell: 1, State: Ready, Since: gk.now - 100e6}, Entry{Server: 13, Cell: 1, State: Ready, Since: cold})
	saved := Learned{BaseDelay: 50000}
	for id := range uint32(6) {
		saved.Servers = append(saved.Servers, LearnedServer{Server: 10 + id, Wait: 9e5, Shed: 0.9, Total: 40, Spare: 1})
	}
	saved.Servers[3].Since = cold
	gk.handle(Recall{saved})
	for _, view := range gk.c.Views(nil) {
		if recalled := view.Wait > 0; recalled != (view.Server == 10) {
			t.Errorf("server %d: wait %d", view.Server, view.Wait)
		}
	}
	if len(gk.c.Views(nil)) != 4 {
		t.Error("the saved estimates added a server to the list")
	}
}

// However wrong the restored rates are, a cold server gets no more set-ups than without them: its budget depends on rates
// observed since the start only.
func TestWrongRestoredRateKeepsColdBudget(t *testing.T) {
	sent := func(saved *Learned) (n int) {
		gk := newGatekeeper(t, testSettings())
		gk.servers(Entry{Server: 10, Cell: 0, State: Ready, Since: gk.now - 1e5})
		if saved != nil {
			gk.handle(Recall{*saved})
		}
		for range 600 { // 3 s at 200 per second, each answered after 1 ms
			if id, s := gk.openCall(0, 0); s != 0 {
				n++
				gk.answer(id, s, 1000)
			}
			gk.advance(4000)
		}
		return n
	}
	without := sent(nil)
	with := sent(&Learned{BaseDelay: 1, BestRate: 1e4, Servers: []LearnedServer{{Server: 10, Total: 1e6, Spare: 1e6}}})
	if without == 0 || with > without {
		t.Errorf("%d set-ups without saved estimates, %d with wrong ones", without, with)
	}
}
