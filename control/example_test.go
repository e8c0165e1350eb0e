package control_test

import (
	"fmt"

	"beammux/control"
)

func Example() {
	c := control.New(control.Settings{
		Gatekeepers: 1, OwnCell: -1, AttemptsCap: 3, ReleaseGuard: 300_000, ResendGap: 400_000,
		Classes: []control.Class{{LatencyTarget: 1_500_000, Deadline: 9_000_000, Worth: 1}},
	}, 42)
	now := control.Micros(1_000_000)
	show := func(e control.Event) {
		for _, a := range c.Handle(now, e) {
			switch a.Kind {
			case control.Send:
				fmt.Println("send", a.ID, "to", a.Server)
			case control.Refuse:
				fmt.Println("refuse", a.ID)
			}
		}
	}
	show(control.Start{})
	show(control.List{Entries: []control.Entry{{Server: 7, State: control.Ready}}})
	show(control.Call{ID: "a", Deadline: now + 3_000_000})
	now += 40_000
	show(control.CallEstablished{ID: "a", Server: 7, Elapsed: 40_000})
	show(control.List{Delta: true, Entries: []control.Entry{{Server: 7, State: control.Draining}}})
	show(control.Call{ID: "b", Deadline: now + 3_000_000})
	// Output:
	// send a to 7
	// refuse b
}
