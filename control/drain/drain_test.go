package drain

import (
	"testing"

	"pgregory.net/rapid"

	"beammux/control"
)

func TestReady(t *testing.T) {
	var d Drain
	if !d.Ready() {
		t.Fatal("a new gatekeeper is not ready")
	}
	d.Evacuate(1_000_000)
	if d.Ready() {
		t.Fatal("ready after evacuate")
	}
	d.Evacuate(2_000_000)
	if evacuated, since := d.Evacuated(); !evacuated || since != 1_000_000 {
		t.Fatalf("a second evacuate changed the time: %v %d", evacuated, since)
	}
	d.Rejoin(3_000_000)
	if !d.Ready() {
		t.Fatal("not ready after rejoin")
	}
}

func TestConnectionsCloseAfterEvacuate(t *testing.T) {
	const evacuatedAt = 10_000_000
	old := Connection{}
	with := func(change func(*Connection)) Connection {
		c := old
		change(&c)
		return c
	}
	unanswered := with(func(c *Connection) { c.Unanswered = true })
	established := with(func(c *Connection) { c.Established = true })
	both := with(func(c *Connection) { c.Unanswered, c.Established = true, true })
	for _, test := range []struct {
		name  string
		after control.Micros // the evacuation
		conn  Connection
		want  Decision
	}{
		{"idle, before the quiet period since the evacuation", QuietPeriod - 1, old, KeepOpen},
		{"idle, after the quiet period", QuietPeriod, old, Close},
		{"just used", QuietPeriod, with(func(c *Connection) { c.LastUsed = evacuatedAt + 1 }), KeepOpen},
		{"just opened", ReleaseDelay, with(func(c *Connection) { c.OpenedAt = evacuatedAt + ReleaseDelay - QuietPeriod + 1 }), KeepOpen},
		{"pending answer", ReleaseDelay, unanswered, KeepOpen},
		{"pending answer and standing calls", AnswerDelay - 1, both, KeepOpen},
		{"standing calls, before the release delay", ReleaseDelay - 1, established, KeepOpen},
		{"standing calls, after the release delay", ReleaseDelay, established, ReleaseCalls},
		{"just used, after the release delay", ReleaseDelay, with(func(c *Connection) { c.LastUsed = evacuatedAt + ReleaseDelay }), ReleaseCalls},
		{"message being received", ReleaseDelay - 1, with(func(c *Connection) { c.Receiving = true }), KeepOpen},
		{"message being received, after the release delay", AnswerDelay - 1, with(func(c *Connection) { c.Receiving, c.Established = true, true }), KeepOpen},
		{"message being received, after the answer delay", AnswerDelay, with(func(c *Connection) { c.Receiving = true }), EndSetups},
		{"pending answer, after the answer delay", AnswerDelay, both, EndSetups},
		{"pending answer, after the cut delay", CutDelay, both, Cut},
		{"opened late, after the cut delay", CutDelay, with(func(c *Connection) { c.OpenedAt = evacuatedAt + CutDelay - QuietPeriod }), EndSetups},
	} {
		var d Drain
		if d.Overdue(evacuatedAt+2*CloseBy, test.conn) {
			t.Errorf("%s: overdue at a serving gatekeeper", test.name)
		}
		if d.DecideConnection(evacuatedAt+test.after, test.conn) != KeepOpen {
			t.Errorf("%s: a serving gatekeeper closed the connection", test.name)
		}
		d.Evacuate(evacuatedAt)
		if got := d.DecideConnection(evacuatedAt+test.after, test.conn); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// Property test over sequences of evacuations and rejoins: nothing is closed while serving; with an answer pending a connection is kept
// until the answer delay and then ended, independent of its client; an idle one is closed after the quiet period, and one with standing
// calls is released after the release delay.
func TestConnectionModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Drain
		now := control.Micros(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += control.Micros(rapid.Int64Range(0, 2_000_000).Draw(t, "dt"))
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				d.Evacuate(now)
			case 1:
				d.Rejoin(now)
			}
			c := Connection{LastUsed: now - control.Micros(rapid.Int64Range(0, 3_000_000).Draw(t, "idle")),
				Unanswered: rapid.Bool().Draw(t, "unanswered"), Receiving: rapid.Bool().Draw(t, "receiving"), Established: rapid.Bool().Draw(t, "established")}
			c.OpenedAt = c.LastUsed - control.Micros(rapid.Int64Range(0, 3_000_000).Draw(t, "older"))
			got := d.DecideConnection(now, c)
			evacuated, since := d.Evacuated()
			elapsed, age := now-since, now-c.OpenedAt
			want := KeepOpen
			switch {
			case !evacuated || age < QuietPeriod:
			case elapsed >= CutDelay && age >= QuietPeriod+CutDelay-AnswerDelay:
				want = Cut
			case elapsed >= AnswerDelay:
				want = EndSetups
			case c.Unanswered, c.Receiving:
			case elapsed >= ReleaseDelay:
				want = ReleaseCalls
			case !c.Established && now-c.LastUsed >= QuietPeriod && elapsed >= QuietPeriod:
				want = Close
			}
			if got != want || d.Ready() == evacuated {
				t.Fatalf("at %d: %v, want %v (evacuated %v since %d, %+v)", now, got, want, evacuated, since, c)
			}
			if overdue := evacuated && elapsed >= CloseBy && age >= CloseBy-AnswerDelay+QuietPeriod; d.Overdue(now, c) != overdue {
				t.Fatalf("at %d: overdue %v, want %v (evacuated %v since %d, %+v)", now, !overdue, overdue, evacuated, since, c)
			}
			if refuses := evacuated && elapsed >= ReleaseDelay; d.RefusesSetups(now) != refuses {
				t.Fatalf("at %d: refuses set-ups %v, want %v (evacuated %v since %d)", now, !refuses, refuses, evacuated, since)
			}
		}
	})
}

// A process that is shutting down releases no calls, ends no set-ups and cannot rejoin.
func TestEnd(t *testing.T) {
	var d Drain
	d.Shutdown(1_000_000)
	d.Rejoin(2_000_000)
	if d.Ready() || d.RefusesSetups(1_000_000+CloseBy) || d.Overdue(1_000_000+CloseBy, Connection{}) {
		t.Error("a process that is shutting down rejoined, refuses set-ups, or counts as overdue")
	}
	for _, after := range []control.Micros{ReleaseDelay, AnswerDelay, CutDelay, 2 * CloseBy} {
		now := 1_000_000 + after
		if d.DecideConnection(now, Connection{Established: true}) != KeepOpen || d.DecideConnection(now, Connection{Unanswered: true}) != KeepOpen ||
			d.DecideConnection(now, Connection{}) != Close {
			t.Errorf("%d after the shutdown: a connection with a call or a set-up was closed, or an idle one was not", after)
		}
	}
}
