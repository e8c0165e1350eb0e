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
			b := newHarness("a", "b")
			defer b.stop()
			calls := map[string]*model{}
			const left = 900 * time.Millisecond
			pick := func(kind string, w *fakeServer) string {
				var ids []string
				for i := range len(calls) {
					id := fmt.Sprint(i)
					if _, inFlight := w.inFlight[id]; kind == "in flight" && inFlight || kind == "established" && w.activeCalls[id] || kind == "" {
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
					_, atA := b.servers["a"].inFlight[id]
					_, atB := b.servers["b"].inFlight[id]
					c := m.caller
					switch {
					case atA && atB, b.servers["a"].duplicates[id] > 0, b.servers["b"].duplicates[id] > 0:
						r.Fatalf("call %s has two attempts in flight", id)
					case c.finalAnswers > 1, c.releases > 1, c.releases > 0 && !c.established:
						r.Fatalf("call %s: %d final answers, %d releases", id, c.finalAnswers, c.releases)
					case c.gone.Load() && b.servers["a"].setups[id]+b.servers["b"].setups[id] > m.setups:
						r.Fatalf("call %s: an attempt began after its caller had left", id)
					case c.finalAnswers == 0 && !m.gone && time.Since(m.opened) > left+20*time.Millisecond:
						r.Fatalf("call %s has no answer after %v", id, time.Since(m.opened))
					case m.hungUp && (b.servers["a"].activeCalls[id] || b.servers["b"].activeCalls[id]) && b.servers["a"].events != nil && b.servers["b"].events != nil:
						r.Fatalf("call %s was hung up and is still established at a server", id)
					}
				}
			}
			for range rapid.IntRange(5, 60).Draw(r, "steps") {
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(r, "server")
				w := b.servers[name]
				switch step := rapid.IntRange(0, 13).Draw(r, "step"); step {
				case 0, 1, 2:
					id := fmt.Sprint(len(calls))
					calls[id] = &model{caller: &caller{}, opened: time.Now()}
					b.core.Open(Setup{ID: id, FirstChoice: rapid.IntRange(0, 1).Draw(r, "first"), Left: left}, calls[id].caller)
				case 3, 4:
					if id := pick("in flight", w); id != "" && w.events != nil {
						w.answer(id, "")
					}
				case 5:
					if id := pick("in flight", w); id != "" && w.events != nil {
						a := w.inFlight[id]
						delete(w.inFlight, id)
						code := rapid.SampledFrom([]control.Code{control.Failed, control.Full, control.Cut, control.NotSent}).Draw(r, "code")
						w.events.Failed(a, Outcome{Code: code})
					}
				case 6:
					if id := pick("established", w); id != "" && w.events != nil {
						delete(w.activeCalls, id)
						w.events.Released(id, rapid.SampledFrom([]int{CauseNormal, CauseFailed}).Draw(r, "cause"), nil)
					}
				case 7:
					if id := pick("", w); id != "" {
						calls[id].gone = true
						b.core.Withdraw(id, calls[id].caller, nil)
					}
				case 8:
					if id := pick("", w); id != "" {
						calls[id].gone, calls[id].hungUp = true, true
						b.core.Hangup(id, CauseNormal, calls[id].caller, nil)
					}
				case 9:
					if w.events != nil {
						w.dialError = rapid.SampledFrom([]error{nil, errors.New("unreachable"), syscall.ECONNREFUSED}).Draw(r, "dial")
						if w.dialError == syscall.ECONNREFUSED {
							w.activeCalls = map[string]bool{} // the process died
						}
						w.reset()
					} else {
						w.dialError = nil
					}
				case 10:
					b.setState(name, int(name[0]-'a'), rapid.SampledFrom([]control.State{control.Ready, control.Draining}).Draw(r, "state"))
				case 11: // the caller's connection has closed; the withdrawal follows after a random delay
					if id := pick("", w); id != "" && !calls[id].gone {
						m := calls[id]
						m.gone, m.setups = true, b.servers["a"].setups[id]+b.servers["b"].setups[id]
						m.caller.gone.Store(true)
						time.AfterFunc(time.Duration(rapid.IntRange(0, 900).Draw(r, "late"))*time.Millisecond,
							func() { b.core.Withdraw(id, m.caller, nil) })
					}
				case 12: // the server reads slowly: writes are queued
					w.writesHeld = true
				case 13:
					w.writesHeld = false
					w.flush()
				}
				check()
				b.sleep(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
				check()
			}
		})
	})
}
