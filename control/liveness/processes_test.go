package liveness

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beammux/control"
)

const millisecond control.Micros = 1000

// address simulates an address with one server process at a time, which reports on each of its connections at intervals, and the
// connections of one gatekeeper to it.
type address struct {
	Processes
	now      control.Micros
	interval control.Micros // between reports; 0: only one on each new connection
	process  int
	conns    map[Connection]int // process of each open connection
	last     Connection
	ended    []Connection // results of Tick
	endedAt  control.Micros
}

func newAddress(interval control.Micros) *address {
	return &address{interval: interval, conns: map[Connection]int{}}
}

// open opens a connection and receives the server's first message on it.
func (a *address) open() Connection {
	a.last++
	a.conns[a.last] = a.process
	a.Opened(a.last, a.now)
	a.Heard(a.last, a.now)
	return a.last
}

// end ends a connection.
func (a *address) end(c Connection, closedByPeer bool) {
	delete(a.conns, c)
	a.Ended(c, a.now, closedByPeer)
}

// run advances the time. Only the process that has the address reports.
func (a *address) run(d control.Micros) {
	const step = 10 * millisecond
	for end := a.now + d; a.now < end; {
		a.now += step
		if a.interval > 0 && a.now%a.interval < step {
			for c, process := range a.conns {
				if process == a.process {
					a.Reported(c, a.now)
				}
			}
		}
		if a.now%TickInterval < step {
			if before, ended := a.Tick(a.now); ended {
				a.ended, a.endedAt = append(a.ended, before), a.now
			}
		}
	}
}

// Guards against another process's messages being taken for a sign of life of the one that had the address before: its calls must be
// over 8 s after it vanished, whenever the other one begins, and however many of them follow one another.
func TestAnotherProcessAtTheAddressEndsTheFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAddress(rapid.SampledFrom([]control.Micros{100, 250, 500}).Draw(t, "interval") * millisecond)
		a.now = control.Micros(rapid.Int64Range(0, 1000).Draw(t, "phase")) * millisecond
		for range rapid.IntRange(1, 4).Draw(t, "connections") {
			a.open()
			a.run(control.Micros(rapid.Int64Range(0, 900).Draw(t, "age")) * millisecond)
		}
		for range rapid.IntRange(1, 3).Draw(t, "successors") {
			a.run(3 * second) // its connections have shown that they lead to one process
			older, vanished := a.last, a.now
			a.ended = nil
			a.process++
			begins := control.Micros(rapid.Int64Range(100, 5900).Draw(t, "begins")) * millisecond
			silenceIsNoticed := rapid.Bool().Draw(t, "silent connections are closed")
			a.run(begins)
			for c := Connection(1); c <= older && silenceIsNoticed && begins > 1250*millisecond; c++ {
				if _, open := a.conns[c]; open {
					a.end(c, false)
				}
			}
			a.open()
			a.run(vanished + endLimit - a.now)
			require.Equal(t, []Connection{older + 1}, a.ended)
			require.LessOrEqual(t, a.endedAt-vanished, endLimit)
		}
	})
}

// Guards against the same where the first process has sent too little for its intervals to be known.
func TestAnotherProcessEndsOneThatHasJustBegun(t *testing.T) {
	for begins := 100 * millisecond; begins < 6*second; begins += 100 * millisecond {
		a := newAddress(500 * millisecond)
		a.now = 10 * millisecond
		a.open()
		a.process++
		vanished := a.now
		a.run(begins)
		a.open()
		a.run(vanished + endLimit - a.now)
		require.Equal(t, []Connection{2}, a.ended, "begins after %d us", begins)
	}
}

// Guards against calls that are ended at a server that runs: connections are opened, closed and reset by it, and one that stays silent
// is closed, while another one carries its reports.
func TestConnectionsOfOneProcessAreNotToldApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAddress(control.Micros(rapid.SampledFrom([]int64{0, 100, 500, 2400, 5000}).Draw(t, "interval")) * millisecond)
		a.open()
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			a.run(control.Micros(rapid.Int64Range(10, 3000).Draw(t, "ms")) * millisecond)
			switch rapid.SampledFrom([]string{"open", "reset", "silent"}).Draw(t, "event") {
			case "open":
				a.open()
			case "reset":
				for c := range a.conns {
					a.end(c, true)
				}
				a.run(control.Micros(rapid.Int64Range(10, 1000).Draw(t, "redial")) * millisecond)
				a.open()
			case "silent":
				if _, open := a.conns[a.last]; open && len(a.conns) > 1 {
					a.conns[a.last] = -1
					a.run(2 * second)
					a.end(a.last, false)
				}
			}
		}
		require.Empty(t, a.ended)
	})
}

// Guards against calls that are ended at a server that was out of reach for some seconds, and that shows by a release that it is the
// same process.
func TestReleaseConfirmsTheProcess(t *testing.T) {
	a := newAddress(500 * millisecond)
	first := a.open()
	a.run(5 * second)
	a.conns[first] = -1 // silent from now on
	a.run(2 * second)
	a.end(first, false)
	a.run(2 * second)
	next := a.open()
	a.run(second)
	a.Confirm(first, next)
	a.run(20 * second)
	require.Empty(t, a.ended)
}
