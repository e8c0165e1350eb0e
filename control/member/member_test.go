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
			Behind: map[bool]uint64{true: 1000}[strings.Contains(flags, "b")]})
	}
	return g
}

func TestDecisions(t *testing.T) {
	changing := group("vu", "vu", "vu")
	changing.Changing = true
	for name, row := range map[string]struct {
		do        func() (Do, error)
		want      Do
		wantError string
	}{
		"a new member":                     {func() (Do, error) { return group("vu", "vu").Add("n9", "a9") }, AddOne, ""},
		"already a member":                 {func() (Do, error) { return group("vu", "vu").Add("n1", "a1") }, Nothing, ""},
		"new address, down":                {func() (Do, error) { return group("vu", "v").Add("n1", "a9") }, MoveOne, ""},
		"new address, still up":            {func() (Do, error) { return group("vu", "vu").Add("n1", "a9") }, Nothing, "would both vote"},
		"address of another member":        {func() (Do, error) { return group("vu", "vu").Add("n9", "a1") }, Nothing, "address of n1"},
		"a change is in progress":          {func() (Do, error) { return changing.Add("n9", "a9") }, Nothing, "one at a time"},
		"a learner that is ready":          {func() (Do, error) { return group("vu", "vu", "u").MayVote("n2") }, Promote, ""},
		"a learner that is behind":         {func() (Do, error) { return group("vu", "vu", "ub").MayVote("n2") }, Nothing, "lacks 1000"},
		"a learner that is down":           {func() (Do, error) { return group("vu", "vu", "").MayVote("n2") }, Nothing, "does not answer"},
		"a voter":                          {func() (Do, error) { return group("vu", "vu").MayVote("n1") }, Nothing, ""},
		"promotion of a non-member":        {func() (Do, error) { return group("vu").MayVote("n7") }, Nothing, "add it first"},
		"removal of the one dead of three": {func() (Do, error) { return group("vu", "vu", "v").Remove("n2", false) }, RemoveIt, ""},
		"one up of three, one dead": {func() (Do, error) { return group("vu", "vu", "v").Remove("n1", false) }, Nothing,
			"of the 2 voters left 1 are up and 2 are needed"},
		"the same, forced":        {func() (Do, error) { return group("vu", "vu", "v").Remove("n1", true) }, RemoveIt, ""},
		"the last voter":          {func() (Do, error) { return group("vu", "u").Remove("n0", true) }, Nothing, "the last voter"},
		"a learner":               {func() (Do, error) { return group("vu", "").Remove("n1", false) }, RemoveIt, ""},
		"removal of a non-member": {func() (Do, error) { return group("vu").Remove("n5", false) }, Nothing, ""},
		"removal during a change": {func() (Do, error) { return changing.Remove("n1", true) }, Nothing, "one at a time"},
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
	changes := map[Do]int{}
	rapid.Check(t, func(t *rapid.T) {
		g := group("vu", "vu", "vu")
		writable := func() bool { all, up := g.voters(""); return up >= majority(all) }
		for range rapid.IntRange(50, 150).Draw(t, "steps") {
			node := fmt.Sprint("n", rapid.IntRange(0, 4).Draw(t, "node"))
			m := g.find(node)
			before := writable()
			var do Do
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
					m.Behind = rapid.Uint64Range(0, 100).Draw(t, "behind")
				}
				continue
			case 2:
				address = fmt.Sprint("a", rapid.IntRange(0, 9).Draw(t, "address"))
				do, err = g.Add(node, address)
			case 3:
				do, err = g.MayVote(node)
			case 4:
				do, err = g.Remove(node, false)
			}
			var refusal *Refusal
			if err != nil && (!errors.As(err, &refusal) || do != Nothing) {
				t.Fatalf("change %s with error %v", do, err)
			}
			changes[do]++
			switch do {
			case AddOne:
				g.Members = append(g.Members, Member{Node: node, Address: address, Up: true, Behind: 500})
			case MoveOne:
				m.Address = address
			case Promote:
				if !m.Up || m.Behind > MaxPromotionLag {
					t.Fatalf("%+v became a voter", *m)
				}
				m.Voter = true
			case RemoveIt:
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
	for _, do := range []Do{AddOne, MoveOne, Promote, RemoveIt} {
		if changes[do] < 10 {
			t.Errorf("%s happened only %d times", do, changes[do])
		}
	}
}
