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

func TestIdleConnectionsCloseAfterEvacuate(t *testing.T) {
	var d Drain
	if d.DecideConnection(10_000_000, 0, false, false) != KeepOpen {
		t.Fatal("a serving gatekeeper closed an idle connection")
	}
	d.Evacuate(10_000_000)
	if d.DecideConnection(10_000_000+QuietPeriod-1, 0, false, false) != KeepOpen {
		t.Fatal("closed before the quiet period since the evacuation")
	}
	if d.DecideConnection(10_000_000+QuietPeriod, 0, false, false) != Close {
		t.Fatal("idle connection kept after the quiet period")
	}
	if d.DecideConnection(20_000_000, 0, true, true) != KeepOpen {
		t.Fatal("closed a connection with a pending answer")
	}
	if d.DecideConnection(10_000_000+QuietPeriod, 10_000_000+1, false, false) != KeepOpen {
		t.Fatal("closed a connection that was just used")
	}
	if d.DecideConnection(10_000_000+ReleaseDelay-1, 0, false, true) != KeepOpen {
		t.Fatal("standing calls were released before the release delay")
	}
	if d.DecideConnection(10_000_000+ReleaseDelay, 0, false, true) != ReleaseCalls {
		t.Fatal("standing calls were kept after the release delay")
	}
}

// Property test over sequences of evacuations and rejoins: nothing is closed while serving or with an answer pending; an
// idle connection is closed after the quiet period, and one with standing calls is released after the release delay.
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
			lastUsed := now - control.Micros(rapid.Int64Range(0, 3_000_000).Draw(t, "idle"))
			answerPending, callStanding := rapid.Bool().Draw(t, "answer pending"), rapid.Bool().Draw(t, "call standing")
			got := d.DecideConnection(now, lastUsed, answerPending, callStanding)
			evacuated, since := d.Evacuated()
			want := KeepOpen
			switch {
			case !evacuated || answerPending:
			case callStanding && now-since >= ReleaseDelay:
				want = ReleaseCalls
			case !callStanding && now-lastUsed >= QuietPeriod && now-since >= QuietPeriod:
				want = Close
			}
			if got != want || d.Ready() == evacuated {
				t.Fatalf("at %d: %v, want %v (evacuated %v since %d, last used %d, answer pending %v, call standing %v)",
					now, got, want, evacuated, since, lastUsed, answerPending, callStanding)
			}
		}
	})
}

// A process that is shutting down releases no calls and cannot rejoin.
func TestEnd(t *testing.T) {
	var d Drain
	d.Shutdown(1_000_000)
	d.Rejoin(2_000_000)
	if d.Ready() || d.DecideConnection(1_000_000+2*ReleaseDelay, 0, false, true) != KeepOpen || d.DecideConnection(1_000_000+2*ReleaseDelay, 0, false, false) != Close {
		t.Error("a process that is shutting down rejoined, or would release standing calls")
	}
}
