package member

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed makes each run draw the same cases, so that results do not vary from run to run. With -short rapid draws a
// fifth of the cases, too few for the tests that count what they have covered. Five times as many are requested then, so
// that -short draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	if checks, err := strconv.Atoi(flag.Lookup("rapid.checks").Value.String()); err == nil && testing.Short() {
		flag.Set("rapid.checks", strconv.Itoa(5*checks))
	}
	os.Exit(m.Run())
}

func group(members ...string) *Group {
	g := &Group{Leader: "n0"}
	for i, flags := range members {
		g.Members = append(g.Members, Member{Node: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Voter: strings.Contains(flags, "v"), Up: strings.Contains(flags, "u"),
			Lag: map[bool]uint64{true: 1000}[strings.Contains(flags, "b")]})
	}
	return g
}

func TestDecisions(t *testing.T) {
	changing := group("vu", "vu", "vu")
	changing.ChangePending = true
	for name, row := range map[string]struct {
		do        func() (Change, error)
		want      Change
		wantError string
	}{
		"a new member":                     {func() (Change, error) { return group("vu", "vu").Add("n9", "a9") }, AddLearner, ""},
		"already a member":                 {func() (Change, error) { return group("vu", "vu").Add("n1", "a1") }, NoChange, ""},
		"new address, down":                {func() (Change, error) { return group("vu", "v").Add("n1", "a9") }, ChangeAddress, ""},
		"new address, still up":            {func() (Change, error) { return group("vu", "vu").Add("n1", "a9") }, NoChange, "would both vote"},
		"address of another member":        {func() (Change, error) { return group("vu", "vu").Add("n9", "a1") }, NoChange, "address of n1"},
		"a change is in progress":          {func() (Change, error) { return changing.Add("n9", "a9") }, NoChange, "one at a time"},
		"a learner that is ready":          {func() (Change, error) { return group("vu", "vu", "u").Promote("n2") }, PromoteLearner, ""},
		"a learner that is behind":         {func() (Change, error) { return group("vu", "vu", "ub").Promote("n2") }, NoChange, "lacks 1000"},
		"a learner that is down":           {func() (Change, error) { return group("vu", "vu", "").Promote("n2") }, NoChange, "does not answer"},
		"a voter":                          {func() (Change, error) { return group("vu", "vu").Promote("n1") }, NoChange, ""},
		"promotion of a non-member":        {func() (Change, error) { return group("vu").Promote("n7") }, NoChange, "add it first"},
		"removal of the one dead of three": {func() (Change, error) { return group("vu", "vu", "v").Remove("n2", false) }, RemoveMember, ""},
		"one up of three, one dead": {func() (Change, error) { return group("vu", "vu", "v").Remove("n1", false) }, NoChange,
			"of the 2 voters left 1 are up and 2 are needed"},
		"the same, forced":        {func() (Change, error) { return group("vu", "vu", "v").Remove("n1", true) }, RemoveMember, ""},
		"the last voter":          {func() (Change, error) { return group("vu", "u").Remove("n0", true) }, NoChange, "the last voter"},
		"a learner":               {func() (Change, error) { return group("vu", "").Remove("n1", false) }, RemoveMember, ""},
		"removal of a non-member": {func() (Change, error) { return group("vu").Remove("n5", false) }, NoChange, ""},
		"removal during a change": {func() (Change, error) { return changing.Remove("n1", true) }, NoChange, "one at a time"},
	} {
		do, err := row.do()
		if do != row.want || (err == nil) != (row.wantError == "") || err != nil && !strings.Contains(err.Error(), row.wantError) {
			t.Errorf("%s: %s, %v", name, do, err)
		}
	}
}

// Model test: for any sequence of requests and failures, a group that could write before an unforced change can write
// after it, and no member that is down or far behind becomes a voter.
func TestNoChangeLosesMajority(t *testing.T) {
	changes := map[Change]int{}
	rapid.Check(t, func(t *rapid.T) {
		g := group("vu", "vu", "vu")
		writable := func() bool { all, up := g.voters(""); return up >= majority(all) }
		for range rapid.IntRange(50, 150).Draw(t, "steps") {
			node := fmt.Sprint("n", rapid.IntRange(0, 4).Draw(t, "node"))
			m := g.find(node)
			before := writable()
			var do Change
			var err error
			address := ""
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0: // the member fails or recovers
				if m != nil {
					m.Up = !m.Up
				}
				continue
			case 1:
				if m != nil {
					m.Lag = rapid.Uint64Range(0, 100).Draw(t, "behind")
				}
				continue
			case 2:
				address = fmt.Sprint("a", rapid.IntRange(0, 9).Draw(t, "address"))
				do, err = g.Add(node, address)
			case 3:
				do, err = g.Promote(node)
			case 4:
				do, err = g.Remove(node, false)
			}
			var refusal *RefusedError
			if err != nil && (!errors.As(err, &refusal) || do != NoChange) {
				t.Fatalf("change %s with error %v", do, err)
			}
			changes[do]++
			switch do {
			case AddLearner:
				g.Members = append(g.Members, Member{Node: node, Address: address, Up: true, Lag: 500})
			case ChangeAddress:
				m.Address = address
			case PromoteLearner:
				if !m.Up || m.Lag > MaxPromotionLag {
					t.Fatalf("%+v became a voter", *m)
				}
				m.Voter = true
			case RemoveMember:
				g.Members = slices.DeleteFunc(g.Members, func(o Member) bool { return o.Node == node })
			}
			if before && !writable() {
				t.Fatalf("after %s of %s the group cannot write: %+v", do, node, g.Members)
			}
			if all, _ := g.voters(""); all == 0 {
				t.Fatalf("after %s of %s there are no voters", do, node)
			}
		}
	})
	for _, do := range []Change{AddLearner, ChangeAddress, PromoteLearner, RemoveMember} {
		if changes[do] < 10 {
			t.Errorf("%s happened only %d times", do, changes[do])
		}
	}
}
