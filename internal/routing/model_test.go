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

// model is what a caller may see, whatever happens at the wires.
type model struct {
	caller *caller
	opened time.Time
	gone   bool // withdrawn by the caller
	over   bool // released by the caller
	begun  int  // attempts that had begun when the caller left
}

// Random steps at two servers and many callers, against the model of a call: one final answer in time, an attempt out
// at one server at most, one release after an answer and none before.
func TestRandomSteps(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			b := newBench("a", "b")
			defer b.end()
			calls := map[string]*model{}
			const left = 900 * time.Millisecond
			pick := func(kind string, w *wire) string {
				var ids []string
				for i := range len(calls) {
					id := fmt.Sprint(i)
					if _, out := w.out[id]; kind == "out" && out || kind == "stands" && w.stands[id] || kind == "" {
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
					_, atA := b.wires["a"].out[id]
					_, atB := b.wires["b"].out[id]
					c := m.caller
					switch {
					case atA && atB, b.wires["a"].copies[id] > 0, b.wires["b"].copies[id] > 0:
						r.Fatalf("call %s is out twice", id)
					case c.finals > 1, c.releases > 1, c.releases > 0 && !c.stood:
						r.Fatalf("call %s: %d final answers, %d releases", id, c.finals, c.releases)
					case c.gone.Load() && b.wires["a"].begun[id]+b.wires["b"].begun[id] > m.begun:
						r.Fatalf("call %s: an attempt began after its caller had left", id)
					case c.finals == 0 && !m.gone && time.Since(m.opened) > left+20*time.Millisecond:
						r.Fatalf("call %s has no answer after %v", id, time.Since(m.opened))
					case m.over && (b.wires["a"].stands[id] || b.wires["b"].stands[id]) && b.wires["a"].events != nil && b.wires["b"].events != nil:
						r.Fatalf("call %s is over and still stands at a server", id)
					}
				}
			}
			for range rapid.IntRange(5, 60).Draw(r, "steps") {
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(r, "server")
				w := b.wires[name]
				switch step := rapid.IntRange(0, 13).Draw(r, "step"); step {
				case 0, 1, 2:
					id := fmt.Sprint(len(calls))
					calls[id] = &model{caller: &caller{}, opened: time.Now()}
					b.core.Open(Setup{ID: id, FirstChoice: rapid.IntRange(0, 1).Draw(r, "first"), TimeLeft: left}, calls[id].caller)
				case 3, 4:
					if id := pick("out", w); id != "" && w.events != nil {
						w.answer(id, "")
					}
				case 5:
					if id := pick("out", w); id != "" && w.events != nil {
						a := w.out[id]
						delete(w.out, id)
						code := rapid.SampledFrom([]control.Code{control.Failed, control.Full, control.Cut, control.NotSent}).Draw(r, "code")
						w.events.Failed(a, Outcome{Code: code})
					}
				case 6:
					if id := pick("stands", w); id != "" && w.events != nil {
						delete(w.stands, id)
						w.events.Released(id, rapid.SampledFrom([]int{CauseNormal, CauseFailed}).Draw(r, "cause"), nil)
					}
				case 7:
					if id := pick("", w); id != "" {
						calls[id].gone = true
						b.core.Withdraw(id, calls[id].caller, nil)
					}
				case 8:
					if id := pick("", w); id != "" {
						calls[id].gone, calls[id].over = true, true
						b.core.Hangup(id, CauseNormal, calls[id].caller, nil)
					}
				case 9:
					if w.events != nil {
						w.refuse = rapid.SampledFrom([]error{nil, errors.New("unreachable"), syscall.ECONNREFUSED}).Draw(r, "dial")
						if w.refuse == syscall.ECONNREFUSED {
							w.stands = map[string]bool{} // the process died
						}
						w.reset()
					} else {
						w.refuse = nil
					}
				case 10:
					b.set(name, int(name[0]-'a'), rapid.SampledFrom([]control.State{control.Ready, control.Draining}).Draw(r, "state"))
				case 11: // its connection has closed; the withdrawal follows, sooner or later
					if id := pick("", w); id != "" && !calls[id].gone {
						m := calls[id]
						m.gone, m.begun = true, b.wires["a"].begun[id]+b.wires["b"].begun[id]
						m.caller.gone.Store(true)
						time.AfterFunc(time.Duration(rapid.IntRange(0, 900).Draw(r, "late"))*time.Millisecond,
							func() { b.core.Withdraw(id, m.caller, nil) })
					}
				case 12: // the other side reads slowly: what is sent waits in the queue
					w.held = true
				case 13:
					w.held = false
					w.write()
				}
				check()
				b.sleep(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
				check()
			}
		})
	})
}
