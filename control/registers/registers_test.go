package registers

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beammux/control"
	"beammux/control/advice"
)

var specs = map[Topic]Spec{Rates: {MaxBytes: 8, MinInterval: 1e5, RefreshInterval: 1e6, MaxAge: 3e6}}

func everybody(string, uint64) bool { return true }

// Members publish counts, messages are lost, doubled and late, members start anew: no member ever holds a value that the
// origin did not say, never goes back to an older one, and once all states were exchanged, all hold the newest, each once.
func TestRegisters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		now := control.Micros(1e9)
		var books [n]*Replica
		starts, said := [n]uint64{}, [n]byte{}
		skew := [n]control.Micros{0, 5e8, -3e8, 7} // clocks of members share nothing
		name := func(i int) string { return fmt.Sprint("g", i) }
		boot := func(i int) {
			starts[i]++
			books[i] = New(name(i), starts[i], specs)
		}
		for i := range n {
			boot(i)
		}
		var wire []Register
		seen := map[[2]string]Register{} // of reader and origin
		look := func() {
			for i, b := range books {
				for _, r := range b.Read(now+skew[i], Rates, everybody) {
					key := [2]string{name(i), r.Origin}
					if was, ok := seen[key]; ok && newer(&was, &r) {
						t.Fatalf("%s went back from %+v to %+v", name(i), was, r)
					}
					seen[key] = r
				}
			}
		}
		member := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"say": func(t *rapid.T) {
				i := member.Draw(t, "who")
				said[i]++
				require.NoError(t, books[i].Put(now+skew[i], Rates, []byte{byte(starts[i]), said[i]}))
			},
			"tell": func(t *rapid.T) {
				i := member.Draw(t, "who")
				wire = append(wire, books[i].Due(now+skew[i], n)...)
			},
			"hear": func(t *rapid.T) { // any message, any time, as often as it likes
				if len(wire) == 0 {
					t.Skip("nothing on the wire")
				}
				to := member.Draw(t, "to")
				if _, err := books[to].Merge(now+skew[to], wire[rapid.IntRange(0, len(wire)-1).Draw(t, "message")]); err != nil {
					t.Fatal(err)
				}
			},
			"restart": func(t *rapid.T) {
				i := member.Draw(t, "who")
				boot(i)
				for key := range seen { // a new process has held nothing yet
					if key[0] == name(i) {
						delete(seen, key)
					}
				}
			},
			"time": func(t *rapid.T) { now += control.Micros(rapid.IntRange(0, 4e5).Draw(t, "us")) },
			"":     func(*rapid.T) { look() },
		})
		for i, b := range books {
			require.NoError(t, b.Put(now+skew[i], Rates, []byte{byte(starts[i]), 255}))
		}
		now += 2e6
		for i, b := range books {
			b.Due(now+skew[i], n)
		}
		for range 2 {
			for i := range n {
				for k := range n {
					for _, r := range books[i].State(now + skew[i]) {
						books[k].Merge(now+skew[k], r)
					}
				}
			}
		}
		look()
		want := books[0].Read(now+skew[0], Rates, everybody)
		require.Len(t, want, n)
		for i, b := range books {
			require.Equal(t, byte(255), want[i].Value[1], "the newest of %s", name(i))
			if diff := cmp.Diff(want, b.Read(now+skew[i], Rates, everybody)); diff != "" {
				t.Fatalf("%s holds other than g0: %s", name(i), diff)
			}
		}
	})
}

// A register counts until it is Stale, by the longest age that is known of it, and only while its origin is up.
func TestStale(t *testing.T) {
	b := New("a", 1, specs)
	r := Register{Topic: Rates, Origin: "b", Start: 5, Seq: 1, Age: 1e6, Value: []byte{1}}
	news, err := b.Merge(10e6, r)
	require.True(t, news)
	require.NoError(t, err)
	require.Equal(t, control.Micros(1e6), b.Read(10e6, Rates, everybody)[0].Age)
	r.Age = 25e5 // a copy that took a longer way knows better
	news, _ = b.Merge(10e6, r)
	require.False(t, news)
	require.Equal(t, control.Micros(25e5), b.Read(10e6, Rates, everybody)[0].Age)
	require.Empty(t, b.Read(10e6+5e5+1, Rates, everybody), "older than Stale")
	require.Empty(t, b.State(10e6+5e5+1), "and not passed on")
	require.Empty(t, b.Read(10e6, Rates, func(_ string, start uint64) bool { return start > 5 }), "its origin has started anew")
	r.Seq, r.Age = 2, 3e6+1
	news, err = b.Merge(10e6, r)
	require.False(t, news, "too old to be taken at all")
	require.NoError(t, err)
	b.Prune(30e6)
	require.Empty(t, b.others[Rates])
}

// Told when changed, at a pace that falls with the members, and again at Refresh.
func TestPace(t *testing.T) {
	b := New("a", 1, specs)
	put := func(now control.Micros, v byte) { require.NoError(t, b.Put(now, Rates, []byte{v})) }
	put(0, 1)
	require.Len(t, b.Due(0, 4), 1)
	put(1e4, 2)
	require.Empty(t, b.Due(99_999, 4))
	require.Len(t, b.Due(1e5, 4), 1)
	put(3e5, 2)
	require.Empty(t, b.Due(3e5, 4), "said again, not changed")
	require.Len(t, b.Due(11e5, 4), 1, "refreshed")
	put(12e5, 3)
	require.Empty(t, b.Due(12e5+1e5, 64), "of 64 each tells a quarter as often")
	require.Len(t, b.Due(11e5+4e5, 64), 1)
}

// Bad registers are refused one by one, each with an error that says what to do; unknown topics are passed over.
func TestBadRegisters(t *testing.T) {
	b := New("a", 10, specs)
	for _, c := range []struct {
		r    Register
		want any
	}{
		{Register{Topic: Rates, Origin: "b", Value: make([]byte, 9)}, new(*TooLarge)},
		{Register{Topic: Rates, Value: []byte{1}}, new(*BadOrigin)},
		{Register{Topic: Rates, Origin: string(make([]byte, 65))}, new(*BadOrigin)},
		{Register{Topic: Rates, Origin: "a", Start: 11}, new(*Doubled)},
	} {
		news, err := b.Merge(0, c.r)
		require.False(t, news)
		require.True(t, errors.As(err, c.want), "%v", err)
		require.NotEmpty(t, advice.Of(fmt.Errorf("while reading: %w", err)))
	}
	for _, r := range []Register{{Topic: 200, Origin: "b", Start: 1, Seq: 1}, {Topic: Rates, Origin: "a", Start: 9, Seq: 7},
		{Topic: Rates, Origin: "b", Age: -1}} {
		news, err := b.Merge(0, r)
		require.False(t, news)
		require.NoError(t, err)
	}
	for i := range maxOrigins {
		_, err := b.Merge(0, Register{Topic: Rates, Origin: fmt.Sprint(i), Seq: 1})
		require.NoError(t, err)
	}
	_, err := b.Merge(0, Register{Topic: Rates, Origin: "one more", Seq: 1})
	require.True(t, errors.As(err, new(*Crowded)))
	require.True(t, errors.As(b.Put(0, Limits, nil), new(*Unset)))
	require.True(t, errors.As(b.Put(0, Rates, make([]byte, 9)), new(*TooLarge)))
	require.Equal(t, "", advice.Of(errors.New("plain")))
}
