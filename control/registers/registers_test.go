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

// specs has one topic, with a bound of 8 bytes.
var specs = map[Topic]Spec{Rates: {MaxBytes: 8, MinInterval: 1e5, RefreshInterval: 1e6, MaxAge: 3e6}}

// allUp reports every origin as up.
func allUp(string, uint64) bool { return true }

// Members publish values and restart, and messages are lost, duplicated and delayed. No member goes back to an older value, and
// after an exchange of all states every member holds the newest value of each origin.
func TestMembersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const memberCount = 4
		now := control.Micros(1e9)
		var books [memberCount]*Replica
		starts, published := [memberCount]uint64{}, [memberCount]byte{}
		skew := [memberCount]control.Micros{0, 5e8, -3e8, 7} // the members' clocks are independent
		name := func(i int) string { return fmt.Sprint("g", i) }
		restart := func(i int) {
			starts[i]++
			books[i] = New(name(i), starts[i], specs)
		}
		for i := range memberCount {
			restart(i)
		}
		var wire []Register
		seen := map[[2]string]Register{} // of reader and origin
		checkReads := func() {
			for i, b := range books {
				for _, r := range b.Read(now+skew[i], Rates, allUp) {
					key := [2]string{name(i), r.Origin}
					if previous, ok := seen[key]; ok && newer(&previous, &r) {
						t.Fatalf("%s reverted from %+v to %+v", name(i), previous, r)
					}
					seen[key] = r
				}
			}
		}
		member := rapid.IntRange(0, memberCount-1)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				i := member.Draw(t, "member")
				published[i]++
				require.NoError(t, books[i].Put(now+skew[i], Rates, []byte{byte(starts[i]), published[i]}))
			},
			"publish": func(t *rapid.T) {
				i := member.Draw(t, "member")
				wire = append(wire, books[i].Due(now+skew[i], memberCount)...)
			},
			"deliver": func(t *rapid.T) { // any message, at any time, any number of times
				if len(wire) == 0 {
					t.Skip("no message was sent")
				}
				to := member.Draw(t, "to")
				if _, err := books[to].Merge(now+skew[to], wire[rapid.IntRange(0, len(wire)-1).Draw(t, "message")]); err != nil {
					t.Fatal(err)
				}
			},
			"restart": func(t *rapid.T) {
				i := member.Draw(t, "member")
				restart(i)
				for key := range seen { // a new process starts without registers
					if key[0] == name(i) {
						delete(seen, key)
					}
				}
			},
			"time": func(t *rapid.T) { now += control.Micros(rapid.IntRange(0, 4e5).Draw(t, "us")) },
			"":     func(*rapid.T) { checkReads() },
		})
		for i, b := range books {
			require.NoError(t, b.Put(now+skew[i], Rates, []byte{byte(starts[i]), 255}))
		}
		now += 2e6
		for i, b := range books {
			b.Due(now+skew[i], memberCount)
		}
		for range 2 {
			for i := range memberCount {
				for j := range memberCount {
					for _, r := range books[i].State(now + skew[i]) {
						books[j].Merge(now+skew[j], r)
					}
				}
			}
		}
		checkReads()
		want := books[0].Read(now+skew[0], Rates, allUp)
		require.Len(t, want, memberCount)
		for i, b := range books {
			require.Equal(t, byte(255), want[i].Value[1], "the newest of %s", name(i))
			if diff := cmp.Diff(want, b.Read(now+skew[i], Rates, allUp)); diff != "" {
				t.Fatalf("%s differs from g0: %s", name(i), diff)
			}
		}
	})
}

// A register counts until it is stale by the greatest known age, and only while its origin is up.
func TestStaleRegisters(t *testing.T) {
	b := New("a", 1, specs)
	r := Register{Topic: Rates, Origin: "b", Start: 5, Seq: 1, Age: 1e6, Value: []byte{1}}
	isNew, err := b.Merge(10e6, r)
	require.True(t, isNew)
	require.NoError(t, err)
	require.Equal(t, control.Micros(1e6), b.Read(10e6, Rates, allUp)[0].Age)
	r.Age = 25e5 // a copy on a longer path carries a more accurate age
	isNew, _ = b.Merge(10e6, r)
	require.False(t, isNew)
	require.Equal(t, control.Micros(25e5), b.Read(10e6, Rates, allUp)[0].Age)
	require.Empty(t, b.Read(10e6+5e5+1, Rates, allUp), "older than MaxAge")
	require.Empty(t, b.State(10e6+5e5+1), "a stale register is not passed on")
	require.Empty(t, b.Read(10e6, Rates, func(_ string, start uint64) bool { return start > 5 }), "its origin has restarted")
	r.Seq, r.Age = 2, 3e6+1
	isNew, err = b.Merge(10e6, r)
	require.False(t, isNew, "too old to be accepted")
	require.NoError(t, err)
	b.Prune(30e6)
	require.Empty(t, b.others[Rates])
}

// A register is sent when it changes, at a rate that falls with the size of the fleet, and again after RefreshInterval.
func TestPublishingPace(t *testing.T) {
	b := New("a", 1, specs)
	put := func(now control.Micros, v byte) { require.NoError(t, b.Put(now, Rates, []byte{v})) }
	put(0, 1)
	require.Len(t, b.Due(0, 4), 1)
	put(1e4, 2)
	require.Empty(t, b.Due(99_999, 4))
	require.Len(t, b.Due(1e5, 4), 1)
	put(3e5, 2)
	require.Empty(t, b.Due(3e5, 4), "put again, not changed")
	require.Len(t, b.Due(11e5, 4), 1, "refreshed")
	put(12e5, 3)
	require.Empty(t, b.Due(12e5+1e5, 64), "each of 64 members publishes a quarter as often")
	require.Len(t, b.Due(11e5+4e5, 64), 1)
}

// Each bad register is rejected with an error that carries advice; registers of unknown topics are ignored.
func TestRejectedRegisters(t *testing.T) {
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
		isNew, err := b.Merge(0, c.r)
		require.False(t, isNew)
		require.True(t, errors.As(err, c.want), "%v", err)
		require.NotEmpty(t, advice.Of(fmt.Errorf("while reading: %w", err)))
	}
	for _, r := range []Register{{Topic: 200, Origin: "b", Start: 1, Seq: 1}, {Topic: Rates, Origin: "a", Start: 9, Seq: 7},
		{Topic: Rates, Origin: "b", Age: -1}} {
		isNew, err := b.Merge(0, r)
		require.False(t, isNew)
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
