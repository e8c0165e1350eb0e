package routing

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"beammux/control"
)

// model is the expected state of one call.
type model struct {
	caller *caller
	opened time.Time
	gone   bool // the caller has left or withdrawn
	hungUp bool // the caller has hung up
	setups int  // attempts that had begun when the caller left
}

// Random steps at two servers with many callers, checked against the model of a call: one final answer in time, at most one
// attempt in flight, at most one release, and none before an answer.
func TestCoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			h := newHarness("a", "b")
			defer h.stop()
			calls := map[string]*model{}
			const left = 900 * time.Millisecond
			pick := func(kind string, server *fakeServer) string {
				var ids []string
				for i := range len(calls) {
					id := fmt.Sprint(i)
					if _, inFlight := server.inFlight[id]; kind == "in flight" && inFlight || kind == "established" && server.activeCalls[id] || kind == "" {
						ids = append(ids, id)
					}
				}
				if len(ids) == 0 {
					return ""
				}
				return rapid.SampledFrom(ids).Draw(r, "call")
			}
			check := func() {
				synctest.Wait()
				for id, m := range calls {
					_, atA := h.servers["a"].inFlight[id]
					_, atB := h.servers["b"].inFlight[id]
					c := m.caller
					switch {
					case atA && atB, h.servers["a"].duplicates[id] > 0, h.servers["b"].duplicates[id] > 0:
						r.Fatalf("call %s has two attempts in flight", id)
					case c.finalAnswers > 1, c.releases > 1, c.releases > 0 && !c.established:
						r.Fatalf("call %s: %d final answers, %d releases", id, c.finalAnswers, c.releases)
					case c.gone.Load() && h.servers["a"].setups[id]+h.servers["b"].setups[id] > m.setups:
						r.Fatalf("call %s: an attempt began after its caller had left", id)
					case c.finalAnswers == 0 && !m.gone && time.Since(m.opened) > left+20*time.Millisecond:
						r.Fatalf("call %s has no answer after %v", id, time.Since(m.opened))
					case m.hungUp && (h.servers["a"].activeCalls[id] || h.servers["b"].activeCalls[id]) && h.servers["a"].events != nil && h.servers["b"].events != nil:
						r.Fatalf("call %s was hung up and is still established at a server", id)
					}
				}
			}
			for range rapid.IntRange(5, 60).Draw(r, "steps") {
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(r, "server")
				server := h.servers[name]
				switch step := rapid.IntRange(0, 13).Draw(r, "step"); step {
				case 0, 1, 2:
					id := fmt.Sprint(len(calls))
					calls[id] = &model{caller: &caller{}, opened: time.Now()}
					h.core.Open(Setup{ID: id, FirstChoice: rapid.IntRange(0, 1).Draw(r, "first"), TimeLeft: left}, calls[id].caller)
				case 3, 4:
					if id := pick("in flight", server); id != "" && server.events != nil {
						server.answer(id, "")
					}
				case 5:
					if id := pick("in flight", server); id != "" && server.events != nil {
						a := server.inFlight[id]
						delete(server.inFlight, id)
						code := rapid.SampledFrom([]control.Code{control.Failed, control.Full, control.Cut, control.NotSent}).Draw(r, "code")
						server.events.Failed(a, Outcome{Code: code})
					}
				case 6:
					if id := pick("established", server); id != "" && server.events != nil {
						delete(server.activeCalls, id)
						server.events.Released(id, rapid.SampledFrom([]int{CauseNormal, CauseFailed}).Draw(r, "cause"), nil)
					}
				case 7:
					if id := pick("", server); id != "" {
						calls[id].gone = true
						h.core.Withdraw(id, calls[id].caller, nil)
					}
				case 8:
					if id := pick("", server); id != "" {
						calls[id].gone, calls[id].hungUp = true, true
						h.core.Hangup(id, CauseNormal, calls[id].caller, nil)
					}
				case 9:
					if server.events != nil {
						server.dialError = rapid.SampledFrom([]error{nil, errors.New("unreachable"), syscall.ECONNREFUSED}).Draw(r, "dial")
						if server.dialError == syscall.ECONNREFUSED {
							server.activeCalls = map[string]bool{} // the process died
						}
						server.reset()
					} else {
						server.dialError = nil
					}
				case 10:
					h.setState(name, int(name[0]-'a'), rapid.SampledFrom([]control.State{control.Ready, control.Draining}).Draw(r, "state"))
				case 11: // the caller's connection has closed; the withdrawal follows after a random delay
					if id := pick("", server); id != "" && !calls[id].gone {
						m := calls[id]
						m.gone, m.setups = true, h.servers["a"].setups[id]+h.servers["b"].setups[id]
						m.caller.gone.Store(true)
						time.AfterFunc(time.Duration(rapid.IntRange(0, 900).Draw(r, "late"))*time.Millisecond,
							func() { h.core.Withdraw(id, m.caller, nil) })
					}
				case 12: // the server reads slowly: writes are queued
					server.writesHeld = true
				case 13:
					server.writesHeld = false
					server.flush()
				}
				check()
				h.sleep(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
				check()
			}
		})
	})
}
