package sip

import (
	"bufio"
	"errors"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

// eventRecorder records the events of a connection. It implements routing.ServerEvents.
type eventRecorder struct{ events chan any }

type failedEvent struct {
	id      string
	outcome routing.Outcome
}

type lostReleaseEvent struct {
	id    string
	cause int
}

type silentEvent struct{}

type releasedEvent struct {
	id     string
	cause  int
	report []float64
}

func (t *eventRecorder) Answered(a routing.Attempt, b []byte) {
	t.events <- "answered " + a.Key + " " + string(b)
}
func (t *eventRecorder) Failed(a routing.Attempt, o routing.Outcome) {
	t.events <- failedEvent{a.Key, o}
}
func (t *eventRecorder) Released(id string, cause int, report []float64) {
	t.events <- releasedEvent{id, cause, report}
}
func (t *eventRecorder) Report(r []float64) { t.events <- r }
func (t *eventRecorder) ReleaseLost(r routing.AttemptRef, cause int) {
	t.events <- lostReleaseEvent{r.ID(), cause}
}
func (t *eventRecorder) Sync()          {}
func (t *eventRecorder) Silent()        { t.events <- silentEvent{} }
func (t *eventRecorder) Down(err error) { t.events <- errors.Is(err, io.EOF) }

type platformFixture struct {
	t             *testing.T
	client        *platformConn
	eventRecorder *eventRecorder
	serverSide    net.Conn
	in            *Reader
}

func newPlatformFixture(t *testing.T) *platformFixture {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &PlatformDialer{Budget: transport.NewBudget(10, 1), Timeout: time.Second, Classes: []string{"menu-view"},
		Reports: []string{"spare", "total", "busy", "q"}, Log: log}
	b := &platformFixture{t: t, eventRecorder: &eventRecorder{make(chan any, 9)}}
	dialed, err := d.Dial(t.Context(), ln.Addr().String(), b.eventRecorder)
	if err != nil {
		t.Fatal(err)
	}
	b.client = dialed.(*platformConn)
	if b.serverSide, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.serverSide.Close() })
	b.serverSide.SetDeadline(time.Now().Add(10 * time.Second))
	b.in = NewReader(bufio.NewReaderSize(b.serverSide, MaxMessage))
	return b
}

func (b *platformFixture) next(method string) *Message {
	b.t.Helper()
	m, err := b.in.Next()
	if err != nil || m.Method != method {
		b.t.Fatalf("%+v, %v; want %s", m, err, method)
	}
	return m
}

func (b *platformFixture) event(want any) {
	b.t.Helper()
	select {
	case got := <-b.eventRecorder.events:
		if !reflect.DeepEqual(got, want) {
			b.t.Fatalf("event %+v, want %+v", got, want)
		}
	case <-time.After(10 * time.Second):
		b.t.Fatalf("no event, want %+v", want)
	}
}

func (b *platformFixture) setup() *Message {
	b.t.Helper()
	a := routing.NewAttempt("9b1f03aa5c7e2d41", 0)
	a.Key, a.Body, a.Deadline = "7f3a", []byte("offer"), time.Now().Add(time.Second)
	b.client.Setup(a, func() bool { return true })
	m := b.next("INVITE")
	if m.URI != "sip:7f3a@net" || m.Get("X-Cos") != "menu-view" || string(m.Body) != "offer" || m.Get("X-Timer-Ms") == "" {
		b.t.Fatalf("%+v", m)
	}
	return m
}

func (b *platformFixture) send(text string) { io.WriteString(b.serverSide, text) }

// Each error status and diagnosis of the platform is mapped to its code and reason, and is confirmed by an ACK.
func TestPlatformRefusals(t *testing.T) {
	b := newPlatformFixture(t)
	for _, row := range []struct {
		status    int
		diagnosis string
		code      control.Code
		reason    int
	}{
		{503, "atb", control.Full, control.NoAgent}, {503, "acc", control.Full, control.ProcessorFull},
		{486, "sub", control.Failed, control.LinesBusy}, {500, "", control.Failed, 0},
		{480, "", control.NotSent, 0}, {504, "", control.Cut, 0},
	} {
		r := Respond(b.setup(), row.status, "No").Set("X-Occupancy", "x0:12;x1:40;queue:3")
		if row.diagnosis != "" {
			r.Set("X-Diagnosis", row.diagnosis)
		}
		b.send(string(r.Append(nil)))
		b.next("ACK")
		b.event(failedEvent{"7f3a", routing.Outcome{Code: row.code, Reason: row.reason, Report: []float64{12, 40, -1, 3}}})
	}
}

func TestPlatformCallAnsweredAndReleased(t *testing.T) {
	b := newPlatformFixture(t)
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
	b.event(releasedEvent{"77", 41, nil})
	if m, err := b.in.Next(); err != nil || m.Status != 200 {
		t.Fatalf("%+v, %v", m, err)
	}
	b.client.Release(routing.NewAttemptRef("78", 0), 16)
	if m := b.next("BYE"); m.Get("Call-ID") != "78" || m.Get("Reason") != "Q.850;cause=16" {
		t.Errorf("%+v", m)
	}
	b.serverSide.Close()
	b.event(lostReleaseEvent{"78", 16}) // the server has not confirmed it
	b.event(true)
}

// A set-up that is no longer wanted when its turn in the write queue comes is reported as NotSent and never written. A set-up
// that is given up later is cancelled, and an answer that crosses the CANCEL is still reported.
func TestPlatformStaleAndCancelledSetups(t *testing.T) {
	b := newPlatformFixture(t)
	a := routing.NewAttempt("0000000000000001", 0)
	a.Key = "1"
	b.client.Setup(a, func() bool { return false })
	b.event(failedEvent{"1", routing.Outcome{Code: control.NotSent}})
	invite := b.setup()
	b.client.Cancel("9b1f03aa5c7e2d41")
	b.next("CANCEL")
	b.send(string(Respond(invite, 200, "OK").Append(nil)))
	b.next("ACK")
	b.event("answered 7f3a ")
}

func TestPlatformBadMessageClosesConnection(t *testing.T) {
	b := newPlatformFixture(t)
	b.send("HELLO\r\n\r\n")
	b.event(false)
	if _, err := b.in.Next(); err == nil {
		t.Error("the connection is still open")
	}
}

// newPipeConn returns a connection over a pipe, for use with synctest, and the server's end, whose input is discarded.
func newPipeConn(t *testing.T) (*platformConn, net.Conn, *eventRecorder) {
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	go io.Copy(io.Discard, far)
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &PlatformDialer{Reports: []string{"spare"}, Log: log}
	e := &eventRecorder{make(chan any, 99)}
	return d.newConn(transport.NewConn(near, nil), e), far, e
}

// sendReport writes a load report of the server.
func sendReport(far net.Conn) {
	io.WriteString(far, "NOTIFY sip:x@net SIP/2.0\r\nCall-ID: x\r\nCSeq: 1 NOTIFY\r\nX-Occupancy: spare:1\r\nContent-Length: 0\r\n\r\n")
}

// waitForDown waits for a Down event and returns how long it took, and whether there was one within the limit.
func waitForDown(e *eventRecorder, limit time.Duration) (time.Duration, bool) {
	began := time.Now()
	for {
		select {
		case got := <-e.events:
			if _, down := got.(bool); down {
				return time.Since(began), true
			}
		case <-time.After(limit):
			return 0, false
		}
	}
}

// Guards against a connection that waits forever for the rest of a truncated message, which would block its set-ups and
// releases.
func TestConnectionClosesOnIncompleteMessage(t *testing.T) {
	for _, part := range []string{"SIP/2.0 200 OK\r\nCall-ID: x\r\n", "SIP/2.0 200 OK\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nContent-Length: 9\r\n\r\nabc"} {
		synctest.Test(t, func(t *testing.T) {
			_, far, e := newPipeConn(t)
			time.Sleep(time.Hour) // without a message that has begun, a connection may be silent
			io.WriteString(far, part)
			if elapsed, down := waitForDown(e, time.Minute); !down || elapsed > time.Second {
				t.Errorf("%q: connection closed: %v, after %v", part, down, elapsed)
			}
		})
	}
}

// waitForSilence waits until the connection is reported as silent, and returns how long that took.
func waitForSilence(e *eventRecorder, limit time.Duration) (elapsed time.Duration, silent bool) {
	began := time.Now()
	for {
		select {
		case got := <-e.events:
			if _, silent := got.(silentEvent); silent {
				return time.Since(began), true
			}
		case <-time.After(limit):
			return 0, false
		}
	}
}

// Guards against a connection that is used although nothing arrives on it any more: it is reported as silent once several load reports
// are missing, and again after it has carried further reports. A connection with regular reports is not silent.
func TestConnectionIsSilentWhenReportsStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, far, e := newPipeConn(t)
		sendReport(far)
		time.Sleep(20 * time.Millisecond) // the first report arrives immediately, the others at regular intervals
		for range 20 {
			sendReport(far)
			if _, silent := waitForSilence(e, 1500*time.Millisecond); silent {
				t.Fatal("a connection with regular reports is silent")
			}
		}
		for range 2 {
			if elapsed, silent := waitForSilence(e, time.Minute); !silent || elapsed > 5*time.Second {
				t.Errorf("connection is silent: %v, after %v", silent, elapsed)
			}
			if _, silent := waitForSilence(e, time.Minute); silent {
				t.Error("reported as silent twice")
			}
			sendReport(far)
		}
	})
}

// Guards against further set-ups on a silent connection of a server that sends no load reports: giving up a set-up closes the
// connection if nothing has arrived since the set-up was sent, and only then.
func TestConnectionClosesWhenNothingFollowsASetup(t *testing.T) {
	for _, received := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			client, far, e := newPipeConn(t)
			client.Setup(routing.NewAttempt("1", 0), func() bool { return true })
			time.Sleep(time.Second)
			if received {
				sendReport(far)
				synctest.Wait()
			}
			time.Sleep(time.Second)
			client.Cancel("1")
			if _, down := waitForDown(e, time.Minute); down == received {
				t.Errorf("message received: %v, connection closed: %v", received, down)
			}
			client.conn.Close()
		})
	}
}

// The same on a TCP connection to a SIP server: not even a 100 has arrived.
func TestSIPConnectionClosesWhenNothingFollowsASetup(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := NewAgent(nil, Options{Budget: transport.NewBudget(9, 1), DialTimeout: time.Second, Log: log})
	defer a.Stop()
	e := &eventRecorder{make(chan any, 9)}
	dialed, err := a.Dial(t.Context(), "sip:"+ln.Addr().String()+";transport=tcp", e)
	if err != nil {
		t.Fatal(err)
	}
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	far.SetDeadline(time.Now().Add(10 * time.Second))
	server := dialed.(*serverConn)
	server.Setup(routing.NewAttempt("1", 0), nil)
	a.Post(func() { server.inFlight["1"].sentAt = time.Now().Add(-2 * minSilence) })
	server.Cancel("1")
	if _, err := io.Copy(io.Discard, far); err != nil {
		t.Errorf("the silent connection is still open: %v", err)
	}
}

// A set-up that is given up before its first byte is written sends nothing: neither an INVITE nor a CANCEL.
func TestSetupCancelledUnsentWritesNothing(t *testing.T) {
	b := newPlatformFixture(t)
	attempt := func(id string) routing.Attempt {
		a := routing.NewAttempt(id, 0)
		a.Key, a.Deadline = "7f3a", time.Now().Add(time.Second)
		return a
	}
	verdict, checked := make(chan bool), make(chan struct{})
	b.client.Setup(attempt("1"), func() bool { close(checked); return <-verdict })
	<-checked
	b.client.Cancel("1")
	verdict <- false
	b.event(failedEvent{"7f3a", routing.Outcome{Code: control.NotSent}})
	b.client.Release(routing.NewAttemptRef("2", 0), 16)
	if m := b.next("BYE"); m.Get("Call-ID") != "2" {
		t.Errorf("first on the wire: %s %s", m.Method, m.Get("Call-ID"))
	}
	b.client.Setup(attempt("3"), func() bool { return true })
	b.client.Cancel("3")
	b.next("INVITE")
	b.next("CANCEL")
}

// Guards against an answer that is truncated at any byte and followed directly by another message: it is never delivered,
// because its session description would be mixed with bytes of the next message.
func TestTruncatedAnswerIsNotDelivered(t *testing.T) {
	next := "NOTIFY sip:ping@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 NOTIFY\r\nX-Occupancy: x0:1\r\nContent-Length: 0\r\n\r\n"
	// Whole messages of other calls. deliveredBodies returns the session descriptions delivered for call 9.
	bye := "BYE sip:x@net SIP/2.0\r\nCall-ID: 2\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
	other := "SIP/2.0 200 OK\r\nCall-ID: 3\r\nCSeq: 1 INVITE\r\nContent-Length: 5\r\n\r\nv=0\r\n"
	body := "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
	answer := func(m *Message) string {
		r := Respond(m, 200, "OK")
		r.Body = []byte(body)
		return string(r.Append(nil))
	}
	deliveredBodies := func(whole, rest string) (events []any) {
		in, out := net.Pipe()
		go func() { io.WriteString(out, whole+rest); out.Close() }()
		for r := NewReader(bufio.NewReaderSize(in, MaxMessage)); ; {
			m, err := r.Next()
			if err != nil {
				return events
			}
			if m.Get("Call-ID") == "9" {
				events = append(events, string(m.Body))
			}
		}
	}
	invite := Request("INVITE", "sip:1@net").Set("Call-ID", "9").Set("CSeq", "1 INVITE")
	whole := answer(invite)
	t.Logf("%d truncation points", len(whole)-1)
	for _, rest := range []string{next, bye, other, strings.Repeat(next, 3)} {
		if got := deliveredBodies(whole, rest); len(got) != 1 || got[0] != body {
			t.Fatalf("complete answer before %.8q: delivered %q", rest, got)
		}
		for missing := 1; missing < len(whole); missing++ {
			if got := deliveredBodies(whole[:len(whole)-missing], rest); len(got) > 0 {
				t.Errorf("%d bytes missing before %.8q: delivered %q", missing, rest, got)
			}
		}
	}
	for _, description := range []string{"SIP/2.0", "NOTIFY", "say BYE or SIP/2.0 2", "x" + next + "x"} { // a description may contain protocol keywords
		body = description
		if got := deliveredBodies(answer(invite), next); len(got) < 1 || got[0] != description {
			t.Errorf("description %q: delivered %q", description, got)
		}
	}
}

// A second final response, sent with the first one or after its ACK, with the same status or another, is never delivered. A
// second 2xx is confirmed by an ACK.
func TestSecondFinalResponseIsNotDelivered(t *testing.T) {
	for _, row := range []struct{ first, second int }{{200, 200}, {200, 486}, {486, 200}, {503, 503}, {503, 200}} {
		for _, separate := range []bool{false, true} {
			b := newPlatformFixture(t)
			m := b.setup()
			text := func(status int) string {
				r := Respond(m, status, "As it is")
				if status == 200 {
					r.Body = []byte("answer")
				}
				return string(r.Append(nil))
			}
			if separate {
				b.send(text(row.first))
				b.next("ACK")
				b.send(text(row.second))
			} else {
				b.send(text(row.first) + text(row.second))
				b.next("ACK")
			}
			if row.second == 200 {
				b.next("ACK")
			}
			b.send("NOTIFY sip:x@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 NOTIFY\r\nX-Occupancy: spare:1\r\nContent-Length: 0\r\n\r\n")
			if row.first == 200 {
				b.event("answered 7f3a answer")
			} else if got, ok := (<-b.eventRecorder.events).(failedEvent); !ok || got.id != "7f3a" {
				t.Errorf("%v: event %v", row, got)
			}
			b.event([]float64{1, -1, -1, -1}) // no event in between
		}
	}
}

// Guards against a call left standing at a server that has not read its release: the connection ends after it was written. A
// confirmed one is not reported.
func TestUnconfirmedReleaseIsReported(t *testing.T) {
	b := newPlatformFixture(t)
	const confirmed, unread = "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"
	b.client.Release(routing.NewAttemptRef(confirmed, 0), 16)
	bye := b.next("BYE")
	b.serverSide.Write(Respond(bye, 200, "OK").Append(nil))
	b.client.Release(routing.NewAttemptRef(unread, 0), 41)
	b.next("BYE")
	b.serverSide.Close()
	b.event(lostReleaseEvent{unread, 41})
	b.event(true)
	b.client.Release(routing.NewAttemptRef(unread, 0), 41)
	b.event(lostReleaseEvent{unread, 41})
}

// Guards against a release that is confirmed and lost: on a connection that this side has begun to close, no release is confirmed, so
// that the server sends it again on the next.
func TestReleaseOnAClosingConnectionIsNotConfirmed(t *testing.T) {
	b := newPlatformFixture(t)
	b.client.Close()
	b.send("BYE sip:x@net SIP/2.0\r\nCall-ID: 77\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n")
	if m, err := b.in.Next(); err == nil {
		t.Fatalf("confirmed by %+v", m)
	}
}
