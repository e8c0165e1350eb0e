package bus

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/routing"
)

func event(offset int, whole bool, host, health string) string {
	return fmt.Sprintf("id: %d\ndata: {\"offset\":%d,\"topology\":{\"seq\":7,\"whole\":%v,\"hosts\":[{\"host\":%q,"+
		"\"dial\":\"127.0.0.1:9\",\"site\":\"east\",\"block\":2,\"health\":%q,\"born_ms\":1500}]}}\n\n", offset, offset, whole, host, health)
}

// serve plays one connection of the bus after another and tells with what Last-Event-ID each asked.
func serve(t *testing.T, last int64, bodies ...string) (updates []routing.Update, asked []string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	got := make(chan routing.Update, 99)
	ids := make(chan string, 99)
	n := 0
	r := &Reader{Addr: "bus", LastOffset: last, Log: log, Apply: func(u routing.Update) { got <- u },
		Dial: func(context.Context, string) (net.Conn, error) {
			if n == len(bodies) {
				cancel()
				return nil, io.EOF
			}
			body := bodies[n]
			n++
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				in := textproto.NewReader(bufio.NewReader(far))
				in.ReadLine()
				h, _ := in.ReadMIMEHeader()
				ids <- h.Get("Last-Event-ID")
				io.WriteString(far, body)
			}()
			return near, nil
		}}
	r.Run(ctx)
	close(got)
	close(ids)
	for u := range got {
		updates = append(updates, u)
	}
	for id := range ids {
		asked = append(asked, id)
	}
	return updates, asked
}

const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

func TestEventsAreTakenOnceAndResumed(t *testing.T) {
	one, two, three := event(4, false, "a", "up"), event(5, false, "a", "draining"), event(6, true, "b", "up")
	updates, asked := serve(t, 3, head+": hello\n\n"+one+two, head+two+three)
	if len(updates) != 3 || fmt.Sprint(asked) != "[3 5]" {
		t.Fatalf("%d updates, asked %v", len(updates), asked)
	}
	h := updates[1].Hosts[0]
	if h.Name != "a" || h.Addr != "127.0.0.1:9" || h.Cell != 2 || h.State != control.Draining || h.Since != 1500000 {
		t.Errorf("%+v", h)
	}
	if !updates[2].Complete {
		t.Error("the third is a whole list")
	}
}

func TestChunkedStream(t *testing.T) {
	body := event(1, false, "a", "up")
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
		10, body[:10], len(body)-10, body[10:])
	if updates, _ := serve(t, 0, chunked); len(updates) != 1 {
		t.Errorf("%d updates, want 1", len(updates))
	}
}

// A gap or garbage keeps the last good list; the bus is asked again from the last event taken.
func TestGapsAndGarbage(t *testing.T) {
	good := event(1, false, "a", "up")
	for name, bad := range map[string]string{
		"gap":           event(3, false, "a", "up"),
		"not JSON":      "id: 2\ndata: {\n\n",
		"unknown state": event(2, false, "a", "sleeping"),
		"other id":      "id: 9\ndata: {\"offset\":2}\n\n",
		"no hosts":      "id: 2\ndata: {\"offset\":2,\"topology\":{}}\n\n",
		"server error":  "",
	} {
		t.Run(name, func(t *testing.T) {
			second := head + bad
			if name == "server error" {
				second = "HTTP/1.1 503 No\r\n\r\n"
			}
			updates, asked := serve(t, 0, head+good+bad, second, head+event(2, false, "b", "up"))
			if len(updates) != 2 || updates[1].Hosts[0].Name != "b" || fmt.Sprint(asked) != "[0 1 1]" {
				t.Errorf("updates %+v, asked %v", updates, asked)
			}
		})
	}
}

// A whole list heals a gap.
func TestWholeListAfterGap(t *testing.T) {
	if updates, _ := serve(t, 1, head+event(9, true, "a", "up")); len(updates) != 1 {
		t.Errorf("%d updates, want 1", len(updates))
	}
}

// A bus that stops and leaves its connection open: what it would have told counts as told 4 s later, so the next
// connection has to ask well before. One that comes and goes is asked again within the 2 s of a break.
func TestSilentBusIsAskedAgainInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		asked := make(chan time.Time)
		ctx, cancel := context.WithCancel(t.Context())
		r := &Reader{Addr: "bus", Log: log, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			select {
			case asked <- time.Now():
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			near, far := net.Pipe()
			go func() {
				in := textproto.NewReader(bufio.NewReader(far))
				in.ReadLine()
				in.ReadMIMEHeader()
				io.WriteString(far, head+": hello\n") // and nothing more
			}()
			return near, nil
		}}
		done := make(chan struct{})
		go func() { r.Run(ctx); close(done) }()
		first := <-asked
		if gap := (<-asked).Sub(first); gap < 2*time.Second || gap > 3500*time.Millisecond {
			t.Errorf("a silent bus was asked again after %v", gap)
		}
		cancel()
		<-done
	})
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(t.Context())
		last, tries, most := time.Now(), 0, time.Duration(0)
		r := &Reader{Addr: "bus", Log: log, Dial: func(context.Context, string) (net.Conn, error) {
			most, last = max(most, time.Since(last)), time.Now()
			if tries++; tries == 20 {
				cancel()
			}
			return nil, io.EOF
		}}
		r.Run(ctx)
		if most > time.Second {
			t.Errorf("a broken bus was left alone for %v", most)
		}
	})
}

// Guards against a gatekeeper that stays with a bus which tells nothing more: on Move the open connection is left at
// once, and the new address is asked for what came after the last event taken.
func TestMoveGoesOnAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(t.Context())
		asked := make(chan string)
		updates := make(chan routing.Update, 9)
		r := &Reader{Addr: "old", LastOffset: 3, Log: log, Apply: func(u routing.Update) { updates <- u },
			Dial: func(_ context.Context, addr string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					in := textproto.NewReader(bufio.NewReader(far))
					in.ReadLine()
					h, _ := in.ReadMIMEHeader()
					asked <- addr + " " + h.Get("Last-Event-ID")
					io.WriteString(far, head)
					if addr == "old" {
						io.WriteString(far, event(4, false, "a", "up"))
					} else {
						io.WriteString(far, event(5, false, "a", "draining"))
					}
				}()
				return near, nil
			}}
		done := make(chan struct{})
		go func() { r.Run(ctx); close(done) }()
		first := <-asked
		<-updates
		moved := time.Now()
		r.SetAddr("old") // no change: the connection stays
		r.SetAddr("new")
		second := <-asked
		if first != "old 3" || second != "new 4" || time.Since(moved) != 0 {
			t.Errorf("asked %q, then %q after %v", first, second, time.Since(moved))
		}
		if u := <-updates; u.Hosts[0].State != control.Draining {
			t.Errorf("%+v", u)
		}
		cancel()
		<-done
	})
}

// A stream that ends at any byte, its last bytes with the close, loses nothing and repeats nothing: the next connection asks
// from the last event that was whole.
func TestStreamCutAtAnyByte(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	events := event(1, true, "a", "up") + ": still here\n\n" + event(2, false, "b", "up") + event(3, false, "a", "draining")
	for cut := range len(head + events) {
		var updates []routing.Update
		var asked []string
		synctest.Test(t, func(t *testing.T) { updates, asked = serve(t, 0, (head + events)[:cut], head+events) })
		if len(updates) != 3 || len(asked) != 2 || updates[1].Hosts[0].Name != "b" || updates[2].Hosts[0].State != control.Draining {
			t.Fatalf("cut after %d bytes: %d updates, asked from %v", cut, len(updates), asked)
		}
	}
}
