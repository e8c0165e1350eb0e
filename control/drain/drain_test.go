package drain

import (
	"testing"

	"pgregory.net/rapid"

	"beammux/control"
)

func TestReadyFlipsOnEvacuateAndRejoin(t *testing.T) {
	var d Drain
	if !d.Ready() {
		t.Fatal("a new gatekeeper is not ready")
	}
	d.Evacuate(1_000_000)
	if d.Ready() {
		t.Fatal("ready after evacuate")
	}
	d.Evacuate(2_000_000)
	if ev, since := d.Evacuated(); !ev || since != 1_000_000 {
		t.Fatalf("a second evacuate moved the time: %v %d", ev, since)
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
		t.Fatal("closed before the quiet time since the evacuate")
	}
	if d.DecideConnection(10_000_000+QuietPeriod, 0, false, false) != Close {
		t.Fatal("idle connection kept after the quiet time")
	}
	if d.DecideConnection(20_000_000, 0, true, true) != KeepOpen {
		t.Fatal("closed a connection on which an answer is owed")
	}
	if d.DecideConnection(10_000_000+QuietPeriod, 10_000_000+1, false, false) != KeepOpen {
		t.Fatal("closed a connection that was just used")
	}
	if d.DecideConnection(10_000_000+ReleaseDelay-1, 0, false, true) != KeepOpen {
		t.Fatal("calls that stand were released before the cut")
	}
	if d.DecideConnection(10_000_000+ReleaseDelay, 0, false, true) != ReleaseCalls {
		t.Fatal("calls that stand were kept past the cut")
	}
}

// Whatever the course: nothing is closed while serving, nothing with an answer owed, an idle connection after the quiet
// time, and one whose calls stand at the cut.
func TestCloseOverCourses(t *testing.T) {
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
			used := now - control.Micros(rapid.Int64Range(0, 3_000_000).Draw(t, "idle"))
			owed, standing := rapid.Bool().Draw(t, "owed"), rapid.Bool().Draw(t, "standing")
			got := d.DecideConnection(now, used, owed, standing)
			ev, since := d.Evacuated()
			want := KeepOpen
			switch {
			case !ev || owed:
			case standing && now-since >= ReleaseDelay:
				want = ReleaseCalls
			case !standing && now-used >= QuietPeriod && now-since >= QuietPeriod:
				want = Close
			}
			if got != want || d.Ready() == ev {
				t.Fatalf("at %d: %v, want %v (evacuated %v since %d, used %d, owed %v, standing %v)",
					now, got, want, ev, since, used, owed, standing)
			}
		}
	})
}

// A process that ends releases nothing, and takes no rejoin.
func TestEnd(t *testing.T) {
	var d Drain
	d.Shutdown(1_000_000)
	d.Rejoin(2_000_000)
	if d.Ready() || d.DecideConnection(1_000_000+2*ReleaseDelay, 0, false, true) != KeepOpen || d.DecideConnection(1_000_000+2*ReleaseDelay, 0, false, false) != Close {
		t.Error("a process that ends rejoined, or would release what stands")
	}
}
