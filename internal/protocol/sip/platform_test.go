package sip

import (
	"bufio"
	"errors"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

// told notes what a line tells.
type told struct{ events chan any }

type ended struct {
	id string
	o  routing.Outcome
}

type released struct {
	id     string
	cause  int
	report []float64
}

func (t *told) Answered(a routing.Attempt, b []byte) {
	t.events <- "answered " + a.Key + " " + string(b)
}
func (t *told) Failed(a routing.Attempt, o routing.Outcome) { t.events <- ended{a.Key, o} }
func (t *told) Released(id string, cause int, report []float64) {
	t.events <- released{id, cause, report}
}
func (t *told) Report(r []float64) { t.events <- r }
func (t *told) Down(err error)     { t.events <- errors.Is(err, io.EOF) }

type platformBench struct {
	t    *testing.T
	line *platformLine
	told *told
	conn net.Conn
	in   *Reader
}

func newPlatformBench(t *testing.T) *platformBench {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &PlatformDialer{Budget: transport.NewBudget(10, 1), Timeout: time.Second, Classes: []string{"menu-view"},
		Reports: []string{"spare", "total", "busy", "q"}, Log: log}
	b := &platformBench{t: t, told: &told{make(chan any, 9)}}
	l, err := d.Dial(t.Context(), ln.Addr().String(), b.told)
	if err != nil {
		t.Fatal(err)
	}
	b.line = l.(*platformLine)
	if b.conn, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.conn.Close() })
	b.conn.SetDeadline(time.Now().Add(10 * time.Second))
	b.in = NewReader(bufio.NewReaderSize(b.conn, MaxMessage))
	return b
}

func (b *platformBench) next(method string) *Message {
	b.t.Helper()
	m, err := b.in.Next()
	if err != nil || m.Method != method {
		b.t.Fatalf("%+v, %v; want %s", m, err, method)
	}
	return m
}

func (b *platformBench) event(want any) {
	b.t.Helper()
	select {
	case got := <-b.told.events:
		if !reflect.DeepEqual(got, want) {
			b.t.Fatalf("told %+v, want %+v", got, want)
		}
	case <-time.After(10 * time.Second):
		b.t.Fatalf("nothing told, want %+v", want)
	}
}

func (b *platformBench) setup() *Message {
	b.t.Helper()
	a := routing.NewAttempt("9b1f03aa5c7e2d41", 0)
	a.Key, a.Body, a.Deadline = "7f3a", []byte("offer"), routing.Now()+1e6
	b.line.Setup(a, func() bool { return true })
	m := b.next("INVITE")
	if m.URI != "sip:7f3a@net" || m.Get("X-Cos") != "menu-view" || string(m.Body) != "offer" || m.Get("X-Timer-Ms") == "" {
		b.t.Fatalf("%+v", m)
	}
	return m
}

func (b *platformBench) send(text string) { io.WriteString(b.conn, text) }

// Each refusal means what the platform says it means, and is confirmed.
func TestPlatformRefusals(t *testing.T) {
	b := newPlatformBench(t)
	for _, row := range []struct {
		status int
		note   string
		code   control.Code
		reason int
	}{
		{503, "atb", control.Full, control.NoAgent}, {503, "acc", control.Full, control.ProcessorFull},
		{486, "sub", control.Failed, control.LinesBusy}, {500, "", control.Failed, 0},
		{480, "", control.NotSent, 0}, {504, "", control.Cut, 0},
	} {
		r := Respond(b.setup(), row.status, "No").Set("X-Occupancy", "x0:12;x1:40;queue:3")
		if row.note != "" {
			r.Set("X-Diagnosis", row.note)
		}
		b.send(string(r.Append(nil)))
		b.next("ACK")
		b.event(ended{"7f3a", routing.Outcome{Code: row.code, Reason: row.reason, Report: []float64{12, 40, -1, 3}}})
	}
}

func TestPlatformCallStandsAndEnds(t *testing.T) {
	b := newPlatformBench(t)
	invite := b.setup()
	b.send(string(Respond(invite, 180, "Ringing").Append(nil)))
	ok := Respond(invite, 200, "OK")
	ok.Body = []byte("a\r\nb")
	b.send(string(ok.Append(nil)))
	b.next("ACK")
	b.event("answered 7f3a a\r\nb")
	b.send("NOTIFY sip:x@net SIP/2.0\r\nCall-ID: x\r\nCSeq: 1 NOTIFY\r\nX-Occupancy: x0:1;x1:2\r\nContent-Length: 0\r\n\r\n")
	b.event([]float64{1, 2, -1, -1})
	b.send("BYE sip:x@net SIP/2.0\r\nCall-ID: 77\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=41\r\nContent-Length: 0\r\n\r\n")
	b.event(released{"77", 41, nil})
	if m, err := b.in.Next(); err != nil || m.Status != 200 {
		t.Fatalf("%+v, %v", m, err)
	}
	b.line.Release("78", 16)
	if m := b.next("BYE"); m.Get("Call-ID") != "78" || m.Get("Reason") != "Q.850;cause=16" {
		t.Errorf("%+v", m)
	}
	b.conn.Close()
	b.event(true)
}

// A set-up that went stale in the queue is told as NotSent and never written; one given up is cancelled, and an answer
// that crossed is still told.
func TestPlatformStaleAndCancelled(t *testing.T) {
	b := newPlatformBench(t)
	a := routing.NewAttempt("0000000000000001", 0)
	a.Key = "1"
	b.line.Setup(a, func() bool { return false })
	b.event(ended{"1", routing.Outcome{Code: control.NotSent}})
	invite := b.setup()
	b.line.Cancel("9b1f03aa5c7e2d41")
	b.next("CANCEL")
	b.send(string(Respond(invite, 200, "OK").Append(nil)))
	b.next("ACK")
	b.event("answered 7f3a ")
}

func TestPlatformBadMessageClosesTheLine(t *testing.T) {
	b := newPlatformBench(t)
	b.send("HELLO\r\n\r\n")
	b.event(false)
	if _, err := b.in.Next(); err == nil {
		t.Error("the connection is still open")
	}
}
