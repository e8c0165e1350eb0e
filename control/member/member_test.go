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

// The same steps each time: a verdict must not change from run to run. With -short rapid draws a fifth of the cases, too few for
// the tests that count what they met, so it is asked for five times as many: -short draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	if checks, err := strconv.Atoi(flag.Lookup("rapid.checks").Value.String()); err == nil && testing.Short() {
		flag.Set("rapid.checks", strconv.Itoa(5*checks))
	}
	os.Exit(m.Run())
}

func group(words ...string) *Group {
	g := &Group{Leader: "n0"}
	for i, w := range words {
		g.Members = append(g.Members, Member{Node: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Voter: strings.Contains(w, "v"), Up: strings.Contains(w, "u"),
			Lag: map[bool]uint64{true: 1000}[strings.Contains(w, "b")]})
	}
	return g
}

func TestDecisions(t *testing.T) {
	changing := group("vu", "vu", "vu")
	changing.ChangePending = true
	for name, row := range map[string]struct {
		do   func() (Change, error)
		want Change
		why  string
	}{
		"a new one":                {func() (Change, error) { return group("vu", "vu").Add("n9", "a9") }, AddLearner, ""},
		"there already":            {func() (Change, error) { return group("vu", "vu").Add("n1", "a1") }, NoChange, ""},
		"moved, and down":          {func() (Change, error) { return group("vu", "v").Add("n1", "a9") }, ChangeAddress, ""},
		"moved, and still up":      {func() (Change, error) { return group("vu", "vu").Add("n1", "a9") }, NoChange, "would both vote"},
		"another's address":        {func() (Change, error) { return group("vu", "vu").Add("n9", "a1") }, NoChange, "address of n1"},
		"a change is on its way":   {func() (Change, error) { return changing.Add("n9", "a9") }, NoChange, "one at a time"},
		"a learner that is ready":  {func() (Change, error) { return group("vu", "vu", "u").Promote("n2") }, PromoteLearner, ""},
		"a learner that is behind": {func() (Change, error) { return group("vu", "vu", "ub").Promote("n2") }, NoChange, "lacks 1000"},
		"a learner that is down":   {func() (Change, error) { return group("vu", "vu", "").Promote("n2") }, NoChange, "does not answer"},
		"a voter":                  {func() (Change, error) { return group("vu", "vu").Promote("n1") }, NoChange, ""},
		"a stranger's vote":        {func() (Change, error) { return group("vu").Promote("n7") }, NoChange, "add it first"},
		"a dead one of three":      {func() (Change, error) { return group("vu", "vu", "v").Remove("n2", false) }, RemoveMember, ""},
		"one up of three, one dead": {func() (Change, error) { return group("vu", "vu", "v").Remove("n1", false) }, NoChange,
			"of the 2 voters left 1 are up and 2 are needed"},
		"the same, forced":    {func() (Change, error) { return group("vu", "vu", "v").Remove("n1", true) }, RemoveMember, ""},
		"the last voter":      {func() (Change, error) { return group("vu", "u").Remove("n0", true) }, NoChange, "the last voter"},
		"a learner":           {func() (Change, error) { return group("vu", "").Remove("n1", false) }, RemoveMember, ""},
		"one that is gone":    {func() (Change, error) { return group("vu").Remove("n5", false) }, NoChange, ""},
		"removal in a change": {func() (Change, error) { return changing.Remove("n1", true) }, NoChange, "one at a time"},
	} {
		do, err := row.do()
		if do != row.want || (err == nil) != (row.why == "") || err != nil && !strings.Contains(err.Error(), row.why) {
			t.Errorf("%s: %s, %v", name, do, err)
		}
	}
}

// A model: whatever operators ask for, in whatever order members come and go, a group that could write before a change that
// was not forced can write after it, and no vote is ever given to a member that is down or far behind.
func TestNoChangeLosesTheMajority(t *testing.T) {
	changes := map[Change]int{}
	rapid.Check(t, func(t *rapid.T) {
		g := group("vu", "vu", "vu")
		writes := func() bool { all, up := g.voters(""); return up >= majority(all) }
		for range rapid.IntRange(50, 150).Draw(t, "steps") {
			node := fmt.Sprint("n", rapid.IntRange(0, 4).Draw(t, "node"))
			m := g.find(node)
			before := writes()
			var do Change
			var err error
			address := ""
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0: // it fails or comes back
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
				t.Fatalf("%s with %v", do, err)
			}
			changes[do]++
			switch do {
			case AddLearner:
				g.Members = append(g.Members, Member{Node: node, Address: address, Up: true, Lag: 500})
			case ChangeAddress:
				m.Address = address
			case PromoteLearner:
				if !m.Up || m.Lag > BehindMost {
					t.Fatalf("a vote for %+v", *m)
				}
				m.Voter = true
			case RemoveMember:
				g.Members = slices.DeleteFunc(g.Members, func(o Member) bool { return o.Node == node })
			}
			if before && !writes() {
				t.Fatalf("after %s of %s nothing can be written: %+v", do, node, g.Members)
			}
			if all, _ := g.voters(""); all == 0 {
				t.Fatalf("after %s of %s nobody votes", do, node)
			}
		}
	})
	for _, do := range []Change{AddLearner, ChangeAddress, PromoteLearner, RemoveMember} {
		if changes[do] < 10 {
			t.Errorf("%s happened %d times: not tested", do, changes[do])
		}
	}
}
