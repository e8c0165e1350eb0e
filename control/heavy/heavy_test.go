package heavy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The bounds hold over every sequence of keys and weights, across a moved landmark, and for the sum of several summaries.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		parts := []*Summary{New(slots), New(slots), New(slots)}
		truth := make([]map[string]float64, len(parts))
		for i := range truth {
			truth[i] = map[string]float64{}
		}
		whole := map[string]float64{}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				i := rapid.IntRange(0, len(parts)-1).Draw(t, "part")
				key := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "key"))
				w := rapid.Float64Range(0.1, 10).Draw(t, "weight")
				parts[i].Add(key, w)
				truth[i][key] += w
			},
			"scale": func(t *rapid.T) {
				i := rapid.IntRange(0, len(parts)-1).Draw(t, "part")
				parts[i].Scale(0.25)
				for key := range truth[i] {
					truth[i][key] *= 0.25
				}
			},
			"": func(t *rapid.T) {
				const tiny = 1e-6
				clear(whole)
				for i, p := range parts {
					held := map[string]bool{}
					for _, c := range p.Top(100) {
						held[c.Key] = true
						if c.Count < truth[i][c.Key]-tiny || c.Count-c.Err > truth[i][c.Key]+tiny || c.Err > p.Total()/float64(slots)+tiny {
							t.Fatalf("%+v, true %g, total %g", c, truth[i][c.Key], p.Total())
						}
					}
					for key, w := range truth[i] {
						whole[key] += w
						if !held[key] && (w > p.MaxUntracked()+tiny || w > p.Total()/float64(slots)+tiny) {
							t.Fatalf("%s of %g is not held, slack %g", key, w, p.MaxUntracked())
						}
					}
				}
				for _, c := range Merge(100, parts...) {
					if c.Count < whole[c.Key]-tiny || c.Count-c.Err > whole[c.Key]+tiny {
						t.Fatalf("merged: %+v, true %g", c, whole[c.Key])
					}
				}
			},
		})
	})
}

// 100,000 numbers called once each stay in the memory of the slots, and a number called often among them is found.
func TestManyNumbersOnce(t *testing.T) {
	s := New(64)
	keys := make([]string, 100_000)
	for i := range keys {
		keys[i] = fmt.Sprint("5550", i)
	}
	n := 0
	require.Zero(t, testing.AllocsPerRun(len(keys)-1, func() {
		s.Add(keys[n], 1)
		n++
		if n%20 == 0 {
			s.Add("hot", 1)
		}
	}))
	top := s.Top(1)[0]
	require.Equal(t, "hot", top.Key)
	require.InDelta(t, 5000, top.Count, s.Total()/64)
	require.Len(t, s.Top(1000), 64)
}
