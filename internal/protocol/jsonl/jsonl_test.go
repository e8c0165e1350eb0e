package jsonl

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/routing"
	"beammux/internal/transport"
)

// core is a stand-in that notes what the front hands on.
type core struct {
	opened    chan routing.Setup
	callers   chan routing.Caller
	withdrawn chan string
	hungUp    chan string
}

func (c *core) Open(s routing.Setup, k routing.Caller) { c.callers <- k; c.opened <- s }
func (c *core) Withdraw(id string, _ func(bool))       { c.withdrawn <- id }
func (c *core) Hangup(id string, _ int, done func(bool)) {
	c.hungUp <- id
	done(true)
}

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

// connect gives the caller's end of a new connection.
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
		s.Left != 1500*time.Millisecond || string(s.Body) != "a\r\nb" {
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

func TestRefusalTellsWhenToReturn(t *testing.T) {
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

// Guards against a set-up whose caller has gone being kept, and against releases being tied to a connection.
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
	k.Release(16) // nobody is connected: it is kept for who comes
	_, r = b.connect()
	if got := b.line(r); !strings.Contains(got, `"close","sid":"`+id) {
		t.Error(got)
	}
	b.front.Orphan("0000000000000003", 41)
	if got := b.line(r); !strings.Contains(got, `"close","sid":"0000000000000003"`) {
		t.Error(got)
	}
}

// Bad input closes its own connection and disturbs no other.
func TestBadInput(t *testing.T) {
	b := newBench(t)
	good, r := b.connect()
	for _, row := range []struct{ name, line, answer string }{
		{"not JSON", "{\n", ""},
		{"not an object", "[1]\n", ""},
		{"no id", `{"msg":"open","attrs":{}}` + "\n", ""},
		{"bad id", `{"msg":"open","sid":"xyz","attrs":{}}` + "\n", ""},
		{"code is text", `{"msg":"close","sid":"` + id + `","code":"x"}` + "\n", ""},
		{"left missing", `{"msg":"open","sid":"` + id + `","attrs":{}}` + "\n", `"code":100`},
		{"left is no number", `{"msg":"open","sid":"` + id + `","attrs":{"left":"NaN"}}` + "\n", `"code":100`},
		{"too long", strings.Repeat("x", MaxMessage+1), ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			c, r := b.connect()
			go io.WriteString(c, row.line)
			got, _ := io.ReadAll(r)
			if !strings.Contains(string(got), row.answer) || row.answer == "" && len(got) > 0 {
				t.Errorf("answered %q, want %q", got, row.answer)
			}
		})
	}
	io.WriteString(good, `{"msg":"news","sid":"`+id+`"}`+"\n"+open(id)) // unknown types are passed over
	(<-b.core.callers).Fail()
	if got := b.line(r); !strings.Contains(got, `"code":41`) {
		t.Error(got)
	}
}

func TestUnknownClassIsTaken(t *testing.T) {
	b := newBench(t)
	c, _ := b.connect()
	io.WriteString(c, strings.Replace(open(id), "diet-order", "video", 1))
	if s := <-b.core.opened; s.Class != -1 {
		t.Errorf("class %d", s.Class)
	}
}
