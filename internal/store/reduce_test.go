package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"beammux/control"
)

// lease is the state of a lease that a reducer manages: a client can take it while no other client holds it, and give it back.
// Repeated requests get their first answer.
type lease struct {
	Holder string            `json:"holder"`
	Seen   map[string]string `json:"seen"`
	Epoch  uint64            `json:"epoch"`
	Now    control.Micros    `json:"now"`
	Back   int               `json:"back"` // number of times that the epoch, or the clock within an epoch, went back
}

// leaseRequest is a request of the client Who to "take" or "give" back the lease.
type leaseRequest struct{ ID, Who, Do string }

// reduceLease is the Reducer of a lease.
func reduceLease(old, request []byte, epoch uint64, now control.Micros) ([]byte, []byte, error) {
	h := lease{Seen: map[string]string{}}
	if len(old) > 0 {
		if err := json.Unmarshal(old, &h); err != nil {
			return nil, nil, err
		}
	}
	var r leaseRequest
	if err := json.Unmarshal(request, &r); err != nil {
		return nil, nil, err
	}
	if epoch < h.Epoch || epoch == h.Epoch && now < h.Now {
		h.Back++
	}
	h.Epoch, h.Now = epoch, now
	answer, again := h.Seen[r.ID]
	if !again {
		switch {
		case r.Do == "take" && (h.Holder == "" || h.Holder == r.Who):
			h.Holder, answer = r.Who, "yes"
		case r.Do == "give" && h.Holder == r.Who:
			h.Holder, answer = "", "yes"
		default:
			answer = "no"
		}
		h.Seen[r.ID] = answer
	}
	value, err := json.Marshal(h)
	return value, []byte(answer), err
}

// A lease is never held by two clients, also across a change of leader: the recorded operations of clients at all members are
// linearizable, and the leader's timestamps never go back within a term.
func TestLeasesAreLinearizable(t *testing.T) {
	const key = "test/hold"
	nodes := openGroupWithReducers(t, 3, map[string]Reducer{key: reduceLease})
	require.NoError(t, nodes[0].WaitReady(testContext(t)))
	var mu sync.Mutex
	var history []porcupine.Operation
	var ids, client atomic.Int64
	began := time.Now()
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 6 {
		clients.Go(func() {
			me := int(client.Add(1))
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				r := leaseRequest{fmt.Sprint(ids.Add(1)), fmt.Sprint("c", i%3), []string{"take", "give"}[k%2]}
				text, _ := json.Marshal(r)
				ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
				op := porcupine.Operation{ClientId: me, Input: r, Call: time.Since(began).Nanoseconds()}
				answer, err := nodes[(i+k)%3].Reduce(ctx, key, text)
				cancel()
				op.Return, op.Output = time.Since(began).Nanoseconds(), string(answer)
				if err != nil { // it may have been applied, or may still be applied later
					op.Return, op.Output = 1<<62, ""
					me = int(client.Add(1))
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	time.AfterFunc(700*time.Millisecond, func() { // the leader is closed in the middle of the run
		for _, n := range nodes {
			if n.Leader() {
				n.Close()
				break
			}
		}
	})
	time.Sleep(3500 * time.Millisecond) // duration of the run
	close(stop)
	clients.Wait()
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			holder, r, answer := state.(string), input.(leaseRequest), output.(string)
			can := r.Do == "take" && (holder == "" || holder == r.Who) || r.Do == "give" && holder == r.Who
			if answer != "" && (answer == "yes") != can {
				return false, state
			}
			switch {
			case !can:
				return true, state
			case r.Do == "take":
				return true, r.Who
			}
			return true, ""
		},
	}
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, history, 20*time.Second))
	yes := 0
	for _, op := range history {
		if op.Output == "yes" {
			yes++
		}
	}
	require.Greater(t, yes, 20)
	epochs := 0
	for _, n := range nodes {
		if r, ok := n.Get(key); ok {
			var h lease
			require.NoError(t, json.Unmarshal(r.Value, &h))
			require.Zero(t, h.Back, "timestamps went back")
			epochs = max(epochs, int(h.Epoch))
		}
	}
	require.Greater(t, epochs, 1, "the leader did not change")
}

// A reduce of a record without a reducer, or one that its reducer rejects, fails and changes nothing.
func TestReduceRefused(t *testing.T) {
	n, err := Open(Options{Node: "a", Log: discardLogger(), Reducers: map[string]Reducer{"k": func([]byte, []byte, uint64, control.Micros) ([]byte, []byte, error) {
		return nil, nil, errors.New("rejected by the reducer")
	}}})
	require.NoError(t, err)
	t.Cleanup(func() { n.Close() })
	ctx := testContext(t)
	_, err = n.Put(ctx, "k", []byte("was"))
	require.NoError(t, err)
	_, err = n.Reduce(ctx, "k", []byte("x"))
	require.ErrorContains(t, err, "rejected by the reducer")
	_, err = n.Reduce(ctx, "other", []byte("x"))
	require.ErrorContains(t, err, `no reducer for "other"`)
	r, ok := n.Get("k")
	require.True(t, ok)
	require.Equal(t, "was", string(r.Value))
}
