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
	if !d.Ready() || d.Changes() != 2 {
		t.Fatalf("rejoin: ready %v, changes %d", d.Ready(), d.Changes())
	}
}

func TestIdleConnectionsCloseAfterEvacuate(t *testing.T) {
	var d Drain
	if d.Close(10_000_000, 0, false) {
		t.Fatal("a serving gatekeeper closed an idle connection")
	}
	d.Evacuate(10_000_000)
	if d.Close(10_000_000+Quiet-1, 0, false) {
		t.Fatal("closed before the quiet time since the evacuate")
	}
	if !d.Close(10_000_000+Quiet, 0, false) {
		t.Fatal("idle connection kept after the quiet time")
	}
	if d.Close(20_000_000, 0, true) {
		t.Fatal("closed a connection on which an answer is owed")
	}
	if d.Close(20_000_000, 20_000_000-Quiet+1, false) {
		t.Fatal("closed a connection that was just used")
	}
}

// Whatever the course, an idle connection is closed within the quiet time once evacuated, one with an answer owed
// never, and nothing while serving.
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
			owed := rapid.Bool().Draw(t, "owed")
			closed := d.Close(now, used, owed)
			ev, since := d.Evacuated()
			want := ev && !owed && now-used >= Quiet && now-since >= Quiet
			if closed != want || d.Ready() == ev {
				t.Fatalf("at %d: closed %v, want %v (evacuated %v since %d, used %d, owed %v)",
					now, closed, want, ev, since, used, owed)
			}
		}
	})
}
