package jsonl

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control/drain"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

// core is a test double that records the calls of the front.
type core struct {
	opened    chan routing.Setup
	callers   chan routing.Caller
	withdrawn chan string
	hungUp    chan string
}

func (c *core) Open(s routing.Setup, k routing.Caller) { c.callers <- k; c.opened <- s }
func (c *core) CountMalformed(int)                     {}
func (c *core) CountRefused(int)                       {}
func (c *core) Abort(string, routing.Caller)           {}

func (c *core) Withdraw(id string, _ routing.Caller, done func(bool)) {
	c.withdrawn <- id
	if done != nil {
		done(true)
	}
}
func (c *core) Hangup(id string, _ int, _ routing.Caller, done func(bool)) {
	c.hungUp <- id
	done(true)
}

// bench is a front with a test double of the core.
type bench struct {
	t     *testing.T
	front *Front
	core  *core
}

func newBench(t *testing.T) *bench {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &core{make(chan routing.Setup, 9), make(chan routing.Caller, 9), make(chan string, 9), make(chan string, 9)}
	return &bench{t: t, core: c, front: NewFront(c, []string{"menu-view", "diet-order"}, log)}
}

// connect returns the caller's end of a new connection.
func (b *bench) connect() (net.Conn, *bufio.Reader) {
	near, far := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c := transport.NewConn(far, nil)
		b.front.Serve(c)
		c.Finish()
	}()
	b.t.Cleanup(func() { near.Close(); <-done })
	near.SetDeadline(time.Now().Add(10 * time.Second))
	return near, bufio.NewReader(near)
}

func (b *bench) line(r *bufio.Reader) string {
	b.t.Helper()
	s, err := r.ReadString('\n')
	if err != nil {
		b.t.Fatal(err)
	}
	return strings.TrimSpace(s)
}

const id = "9b1f03aa5c7e2d41"

func open(id string) string {
	return `{"msg":"open","sid":"` + id + `","attrs":{"class":"diet-order","left":"1500","key":"7f3a","extras":"dest:2;width:1;via:-1;again:1","news":{"x":1}},"text":"a\r\nb"}` + "\n"
}

func TestSetupIsReadAndAnswered(t *testing.T) {
	b := newBench(t)
	c, r := b.connect()
	io.WriteString(c, open(id))
	s, k := <-b.core.opened, <-b.core.callers
	if s.ID != id || s.Class != 1 || s.Key != "7f3a" || s.FirstChoice != 2 || !s.WasCut ||
		s.TimeLeft != 1500*time.Millisecond || string(s.Body) != "a\r\nb" {
		t.Errorf("%+v", s)
	}
	k.Answer([]byte("x\r\n\"y\""))
	if got := b.line(r); got != `{"msg":"ready","sid":"`+id+`","attrs":{},"text":"x\r\n\"y\""}` {
		t.Error(got)
	}
	k.Release(16)
	if got := b.line(r); got != `{"msg":"close","sid":"`+id+`","attrs":{},"code":16}` {
		t.Error(got)
	}
}

func TestRefusalCarriesRetryWait(t *testing.T) {
	b := newBench(t)
	c, r := b.connect()
	io.WriteString(c, open(id))
	(<-b.core.callers).Refuse(850 * time.Millisecond)
	if got := b.line(r); got != `{"msg":"close","sid":"`+id+`","attrs":{"wait":"850"},"code":34}` {
		t.Error(got)
	}
}

func TestProbeFailsWhileDraining(t *testing.T) {
	b := newBench(t)
	c, r := b.connect()
	probe := `{"msg":"probe","sid":"` + id + `","attrs":{},"code":0}` + "\n"
	for _, want := range []string{"1", "0"} {
		io.WriteString(c, probe)
		if got := b.line(r); got != `{"msg":"probed","sid":"`+id+`","attrs":{},"code":`+want+`}` {
			t.Error(got)
		}
		b.front.Drain()
	}
}

// Set-ups of a connection that ends are withdrawn, and releases are sent on another connection.
func TestConnectionEnds(t *testing.T) {
	b := newBench(t)
	first, r := b.connect()
	io.WriteString(first, open(id))
	k := <-b.core.callers
	k.Answer(nil)
	b.line(r)
	io.WriteString(first, open("0000000000000002"))
	first.Close()
	if got := <-b.core.withdrawn; got != "0000000000000002" {
		t.Errorf("withdrew %s", got)
	}
	k.Release(16) // no connection is open: the release waits for the next one
	_, r = b.connect()
	if got := b.line(r); !strings.Contains(got, `"close","sid":"`+id) {
		t.Error(got)
	}
	b.front.Orphan("0000000000000003", 41)
	if got := b.line(r); !strings.Contains(got, `"close","sid":"0000000000000003"`) {
		t.Error(got)
	}
}

// Malformed input closes its connection and does not affect others.
func TestBadInput(t *testing.T) {
	b := newBench(t)
	good, r := b.connect()
	for _, row := range []struct{ name, line string }{
		{"not JSON", "{\n"},
		{"not an object", "[1]\n"},
		{"no id", `{"msg":"open","attrs":{}}` + "\n"},
		{"bad id", `{"msg":"open","sid":"xyz","attrs":{}}` + "\n"},
		{"code is text", `{"msg":"close","sid":"` + id + `","code":"x"}` + "\n"},
		{"unknown type", `{"msg":"news","sid":"` + id + `"}` + "\n"},
		{"too long", strings.Repeat("x", MaxMessage+1)},
	} {
		t.Run(row.name, func(t *testing.T) {
			c, r := b.connect()
			go io.WriteString(c, row.line)
			if got, err := io.ReadAll(r); len(got) > 0 || err != nil {
				t.Errorf("received %q, %v; want a close", got, err)
			}
		})
	}
	io.WriteString(good, open(id))
	(<-b.core.callers).Fail()
	if got := b.line(r); !strings.Contains(got, `"code":41`) {
		t.Error(got)
	}
}

// Set-ups with invalid values are not forwarded. A server would close its connection on them and end the calls of others on
// it. The caller's connection stays open, and its other calls are served.
func TestInvalidSetupsAreRefused(t *testing.T) {
	b := newBench(t)
	c, r := b.connect()
	for _, change := range [][2]string{
		{`"left":"1500"`, `"x":"1"`}, {`"1500"`, `"NaN"`}, {`"1500"`, `"-1"`}, {`"1500"`, `"1e9"`}, {`"1500"`, `"soon"`},
		{"diet-order", "video"}, {`"7f3a"`, `""`}, {"7f3a", `7 f`}, {"7f3a", `7\r\nX: y`}, {"7f3a", `7\u0000`}, {"7f3a", "é"},
		{"7f3a", strings.Repeat("7", 200)}, {"dest:2", "dest:x"}, {"dest:2", "dest:99999999999"}, {"width:1", "width:0"},
		{"again:1", "again:"}, {`a\r\nb`, strings.Repeat("x", 15<<10+1)},
	} {
		line := strings.Replace(open(id), change[0], change[1], 1)
		if line == open(id) {
			t.Fatalf("%q does not change the message", change)
		}
		io.WriteString(c, line)
		if got := b.line(r); !strings.Contains(got, `"close","sid":"`+id) || !strings.Contains(got, `"code":100`) {
			t.Errorf("%q: received %s", change, got)
		}
	}
	select {
	case s := <-b.core.opened:
		t.Errorf("forwarded: %+v", s)
	default:
	}
	io.WriteString(c, open(id))
	(<-b.core.callers).Fail()
	b.line(r)
}

// A second set-up with an open id is refused and ends the first one, and the id has one final answer.
func TestSecondSetupUnderAnOpenID(t *testing.T) {
	b := newBench(t)
	c, r := b.connect()
	io.WriteString(c, open(id)+strings.Replace(open(id), `a\r\nb`, "other", 1)+open("0000000000000002"))
	<-b.core.callers
	if got := <-b.core.withdrawn; got != id {
		t.Errorf("withdrew %s", got)
	}
	if got := b.line(r); !strings.Contains(got, id) || !strings.Contains(got, `"code":100`) {
		t.Error(got)
	}
	(<-b.core.callers).Fail()
	if got := b.line(r); !strings.Contains(got, "0000000000000002") {
		t.Errorf("unexpected second answer: %s", got)
	}
}

// Calls that arrived before a malformed message are still answered; then the connection is closed.
func TestOpenCallsAreAnsweredBeforeABadMessageCloses(t *testing.T) {
	b := newBench(t)
	c, r := b.connect()
	io.WriteString(c, open(id)+"{\n")
	(<-b.core.callers).Refuse(0)
	if got := b.line(r); !strings.Contains(got, `"code":34`) {
		t.Error(got)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("not closed: %v", err)
	}
}

// pipe returns the caller's end of a connection in a synctest bubble, and the time of its end.
func (b *bench) pipe() (net.Conn, chan time.Time) {
	near, far := net.Pipe()
	ended := make(chan time.Time, 1)
	go func() {
		c := transport.NewConn(far, nil)
		b.front.Serve(c)
		ended <- time.Now()
		c.Close()
	}()
	go io.Copy(io.Discard, near)
	return near, ended
}

// Silent and finished callers do not hold descriptors forever: a connection without a complete message is closed within 3 s,
// and an idle one within 15 s. A connection with a call stays open.
func TestConnectionsWithoutCallsAreClosed(t *testing.T) {
	for _, row := range []struct {
		name, send  string
		least, most time.Duration
	}{
		{"silent", "", 0, 3 * time.Second},
		{"half a line", `{"msg":"open",`, 0, 3 * time.Second},
		{"blank lines", "\n\n\n", 0, 3 * time.Second},
		{"finished", `{"msg":"probe","sid":"` + id + `"}` + "\n", 4 * time.Second, 15 * time.Second},
		{"half a line after a whole one", `{"msg":"probe","sid":"` + id + `"}` + "\n{", 0, 3 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t)
			c, ended := b.pipe()
			began := time.Now()
			io.WriteString(c, row.send)
			if took := (<-ended).Sub(began); took < row.least || took > row.most {
				t.Errorf("%s: closed after %v", row.name, took)
			}
			c.Close()
			synctest.Wait()
		})
	}
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		c, ended := b.pipe()
		io.WriteString(c, open(id))
		k := <-b.core.callers
		time.Sleep(30 * time.Second) // a set-up waits for its answer
		k.Answer(nil)
		time.Sleep(30 * time.Second) // an established call
		if len(ended) > 0 {
			t.Fatal("closed during a call")
		}
		released := time.Now()
		k.Release(16)
		if took := (<-ended).Sub(released); took > 15*time.Second {
			t.Errorf("closed %v after the call's end", took)
		}
		c.Close()
		synctest.Wait()
	})
}

// A flood on one connection does not fill the core: the front reads on as set-ups end.
func TestFloodDoesNotFillTheCore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		c := &core{make(chan routing.Setup, 2*maxOpenSetups), make(chan routing.Caller, 2*maxOpenSetups), make(chan string, 2*maxOpenSetups), make(chan string, 9)}
		b := &bench{t: t, core: c, front: NewFront(c, []string{"diet-order"}, log)}
		near, ended := b.pipe()
		go func() {
			for i := range maxOpenSetups + 9 {
				io.WriteString(near, open(fmt.Sprintf("%016x", i)))
			}
		}()
		synctest.Wait()
		if n := len(c.callers); n > maxOpenSetups+1 {
			t.Errorf("%d set-ups forwarded at once", n)
		}
		for range maxOpenSetups + 9 {
			(<-c.callers).Fail()
		}
		near.Close()
		<-ended
	})
}

// The number of releases that wait for a connection is bounded.
func TestPendingReleasesAreBounded(t *testing.T) {
	b := newBench(t)
	for i := range maxPendingReleases + 9 {
		b.front.Orphan(fmt.Sprintf("%016x", i), 16)
	}
	b.front.releases.mu.Lock()
	defer b.front.releases.mu.Unlock()
	if n := len(b.front.releases.pending); n != maxPendingReleases {
		t.Errorf("%d releases wait, want at most %d", n, maxPendingReleases)
	}
}

// A set-up that crosses the close of its connection never runs. If it were read after the close had begun, it would go to a
// server and be withdrawn at the end of the connection. Its caller sends it again, maybe to another process, which would not
// know of the release guard that began here.
func TestSetupThatCrossesACloseNeverRuns(t *testing.T) {
	b := newBench(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	c := transport.NewConn(far, nil)
	go func() { defer close(served); b.front.Serve(c); c.Finish() }()
	near.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(near, `{"msg":"probe","sid":"`+id+`","attrs":{},"code":0}`+"\n")
	r := bufio.NewReader(near)
	b.line(r) // the connection is served and idle
	b.front.Sweep(func(transport.Usage) drain.Decision { return drain.Close })
	if _, err := r.ReadByte(); err != io.EOF {
		t.Fatalf("after the close began: read returned %v", err)
	}
	io.WriteString(near, open(id))
	<-served
	if len(b.core.opened) > 0 || len(b.core.withdrawn) > 0 {
		t.Errorf("the set-up ran: %d forwarded, %d withdrawn", len(b.core.opened), len(b.core.withdrawn))
	}
}
