package fleetlab

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// seenViews returns, by gatekeeper, the set of recorded views, each as the list of its live members.
func seenViews(t *testing.T, sum *Summary) map[string]map[string]bool {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(sum.Dir, "run.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	views := map[string]map[string]bool{}
	for row := range bytes.Lines(text) {
		var l line
		if err := json.Unmarshal(row, &l); err != nil {
			t.Fatal(err)
		}
		if l.Kind == "viewed" {
			if views[l.Process] == nil {
				views[l.Process] = map[string]bool{}
			}
			views[l.Process][l.Peer] = true
		}
	}
	return views
}

// checkAgreement fails the test unless, after each fault, all views were identical again and contained all running members
// within the given number of seconds.
func checkAgreement(t *testing.T, sum *Summary, within float64) {
	t.Helper()
	for _, f := range sum.Faults {
		if f.Agreed < 0 || float64(f.Agreed) > within*1e6 {
			t.Errorf("%s: views agree after %d us", f.Fault, f.Agreed)
		}
	}
}

// Fleet views under faults, each case with real processes and a relay between every two of them.
func TestFleetView(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for some seconds")
	}
	program(t)
	four := "gatekeepers: 4\nservers: 2\nzones: 2\nstore_members: 0\nfleet: true\n"
	t.Run("eight join at once, a quarter is killed", func(t *testing.T) {
		t.Parallel()
		sum := runAndCheck(t, "gatekeepers: 8\nservers: 2\nzones: 2\nstore_members: 0\nfleet: true\nlength: 16s\n"+
			"faults:\n  - {at: 1s, for: 9s, fault: kill, target: g1+g4}\n")
		if sum.AgreedAfter <= 0 || sum.AgreedAfter > 5 {
			t.Errorf("the views of 8 members agree after %.1f s, want at most 5", sum.AgreedAfter)
		}
		if sum.Faults[0].Noticed <= 0 {
			t.Error("the killed members were never declared dead by all others")
		}
		checkAgreement(t, sum, 5)
		sizes, err := Compare([]string{sum.Dir, sum.Dir})
		if err != nil || len(sizes) != 1 || sizes[0].Runs != 2 || sizes[0].Agreed["1 kill"].N != 2 || sizes[0].Memory.N != 16 || sizes[0].Memory.Least < 5 {
			t.Errorf("comparison of the runs: %+v, %v", sizes, err)
		}
	})
	t.Run("a partition of two zones and its heal", func(t *testing.T) {
		t.Parallel()
		sum := runAndCheck(t, four+"length: 17s\nfaults:\n  - {at: 1s, for: 9s, fault: partition, from: zone:a, to: zone:b}\n")
		views := seenViews(t, sum)
		if !views["g1"]["g1 g3"] || !views["g3"]["g1 g3"] || !views["g2"]["g2 g4"] || !views["g4"]["g2 g4"] {
			t.Errorf("each side should have seen only its own members: %v", views)
		}
		checkAgreement(t, sum, 5)
	})
	t.Run("paused, declared dead and resumed", func(t *testing.T) {
		t.Parallel()
		sum := runAndCheck(t, four+"length: 17s\nfaults:\n  - {at: 1s, for: 9s, fault: pause, target: g2}\n")
		if !seenViews(t, sum)["g1"]["g1 g3 g4"] {
			t.Error("the paused member was not declared dead")
		}
		checkAgreement(t, sum, 5)
	})
	t.Run("a one-way cut", func(t *testing.T) {
		t.Parallel()
		sum := runAndCheck(t, four+"length: 17s\nfaults:\n  - {at: 1s, for: 8s, fault: cut, from: g1, to: gatekeepers}\n")
		checkAgreement(t, sum, 5)
	})
	t.Run("a flapping member", func(t *testing.T) {
		t.Parallel()
		sum := runAndCheck(t, four+"length: 14s\nfaults:\n  - {at: 1s, for: 1s, fault: kill, target: g2}\n  - {at: 4s, for: 1s, fault: kill, target: g2}\n"+
			"  - {at: 7s, for: 1s, fault: kill, target: g2}\n")
		if last := sum.Faults[2]; last.Agreed < 0 || last.Agreed > 5e6 {
			t.Errorf("views agree %d us after the last fault", last.Agreed)
		}
		if n := strings.Count(log(t, sum, "g1"), `"member":"g2","msg":"fleet: member met"`); n < 4 {
			t.Errorf("g2 was met %d times, want 4 or more: each start is a new member", n)
		}
	})
	t.Run("all restarted at once", func(t *testing.T) {
		t.Parallel()
		checkAgreement(t, runAndCheck(t, four+"length: 9s\nfaults:\n  - {at: 1s, for: 500ms, fault: kill, target: gatekeepers}\n"), 5)
	})
}
