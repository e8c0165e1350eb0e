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

// event returns the lines of one event with one server.
func event(offset int, whole bool, host, health string) string {
	return fmt.Sprintf("id: %d\ndata: {\"offset\":%d,\"topology\":{\"seq\":7,\"whole\":%v,\"hosts\":[{\"host\":%q,"+
		"\"dial\":\"127.0.0.1:9\",\"site\":\"east\",\"block\":2,\"health\":%q,\"born_ms\":1500}]}}\n\n", offset, offset, whole, host, health)
}

// serve runs a reader against a bus that sends one body per connection. It returns the updates that the reader applied and
// the Last-Event-ID of each connection.
func serve(t *testing.T, last int64, bodies ...string) (updates []routing.Update, requested []string) {
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
		requested = append(requested, id)
	}
	return updates, requested
}

const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

func TestEventsAreAppliedOnceAndResumed(t *testing.T) {
	one, two, three := event(4, false, "a", "up"), event(5, false, "a", "draining"), event(6, true, "b", "up")
	updates, requested := serve(t, 3, head+": hello\n\n"+one+two, head+two+three)
	if len(updates) != 3 || fmt.Sprint(requested) != "[3 5]" {
		t.Fatalf("%d updates, requested after %v", len(updates), requested)
	}
	h := updates[1].Hosts[0]
	if h.Name != "a" || h.Addr != "127.0.0.1:9" || h.Cell != 2 || h.State != control.Draining || h.Since != 1500000 {
		t.Errorf("%+v", h)
	}
	if !updates[2].Complete {
		t.Error("the third update is not a whole list")
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

// After a gap or an invalid event the last valid list is kept, and the reader requests the events after the last valid one.
func TestGapsAndInvalidEvents(t *testing.T) {
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
			updates, requested := serve(t, 0, head+good+bad, second, head+event(2, false, "b", "up"))
			if len(updates) != 2 || updates[1].Hosts[0].Name != "b" || fmt.Sprint(requested) != "[0 1 1]" {
				t.Errorf("updates %+v, requested after %v", updates, requested)
			}
		})
	}
}

// A whole list is accepted after a gap.
func TestWholeListAfterGap(t *testing.T) {
	if updates, _ := serve(t, 1, head+event(9, true, "a", "up")); len(updates) != 1 {
		t.Errorf("%d updates, want 1", len(updates))
	}
}

// The events that a bus withholds while its connection stays open must be known 4 s later, so the next connection has to be
// made well before. A bus that refuses connections is retried well within the 2 s allowed for a failed bus.
func TestReconnectsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		dialed := make(chan time.Time)
		ctx, cancel := context.WithCancel(t.Context())
		r := &Reader{Addr: "bus", Log: log, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			select {
			case dialed <- time.Now():
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			near, far := net.Pipe()
			go func() {
				in := textproto.NewReader(bufio.NewReader(far))
				in.ReadLine()
				in.ReadMIMEHeader()
				io.WriteString(far, head+": hello\n") // and nothing afterwards
			}()
			return near, nil
		}}
		done := make(chan struct{})
		go func() { r.Run(ctx); close(done) }()
		first := <-dialed
		if gap := (<-dialed).Sub(first); gap < 2*time.Second || gap > 3500*time.Millisecond {
			t.Errorf("reconnected to a silent bus after %v", gap)
		}
		cancel()
		<-done
	})
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(t.Context())
		last, tries, longest := time.Now(), 0, time.Duration(0)
		r := &Reader{Addr: "bus", Log: log, Dial: func(context.Context, string) (net.Conn, error) {
			longest, last = max(longest, time.Since(last)), time.Now()
			if tries++; tries == 20 {
				cancel()
			}
			return nil, io.EOF
		}}
		r.Run(ctx)
		if longest > time.Second {
			t.Errorf("%v between two connections to a failed bus", longest)
		}
	})
}

// Guards against a gatekeeper that stays connected to a bus which sends no more events: SetAddr closes the open connection
// at once, and the reader requests the events after the last one from the new address.
func TestSetAddrReconnectsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(t.Context())
		requests := make(chan string)
		updates := make(chan routing.Update, 9)
		r := &Reader{Addr: "old", LastOffset: 3, Log: log, Apply: func(u routing.Update) { updates <- u },
			Dial: func(_ context.Context, addr string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					in := textproto.NewReader(bufio.NewReader(far))
					in.ReadLine()
					h, _ := in.ReadMIMEHeader()
					requests <- addr + " " + h.Get("Last-Event-ID")
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
		first := <-requests
		<-updates
		moved := time.Now()
		r.SetAddr("old") // no change: the connection stays
		r.SetAddr("new")
		second := <-requests
		if first != "old 3" || second != "new 4" || time.Since(moved) != 0 {
			t.Errorf("requested %q, then %q after %v", first, second, time.Since(moved))
		}
		if u := <-updates; u.Hosts[0].State != control.Draining {
			t.Errorf("%+v", u)
		}
		cancel()
		<-done
	})
}

// No event is lost or repeated when the stream ends at any byte: the next connection resumes after the last complete event.
func TestStreamCutAtAnyByte(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	events := event(1, true, "a", "up") + ": still here\n\n" + event(2, false, "b", "up") + event(3, false, "a", "draining")
	for cut := range len(head + events) {
		var updates []routing.Update
		var requested []string
		synctest.Test(t, func(t *testing.T) { updates, requested = serve(t, 0, (head + events)[:cut], head+events) })
		if len(updates) != 3 || len(requested) != 2 || updates[1].Hosts[0].Name != "b" || updates[2].Hosts[0].State != control.Draining {
			t.Fatalf("cut after %d bytes: %d updates, requested after %v", cut, len(updates), requested)
		}
	}
}

// tricklingBus accepts a connection and sends head and event, a few bytes at a time. It returns when the reader has applied the event.
func tricklingBus(t *testing.T, bytesAtATime int, gap time.Duration) (took time.Duration, tries int) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	began := time.Now()
	r := &Reader{Addr: "bus", Log: log, Apply: func(routing.Update) {
		took = time.Since(began)
		cancel()
	}, Dial: func(context.Context, string) (net.Conn, error) {
		tries++
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			in := textproto.NewReader(bufio.NewReader(far))
			in.ReadLine()
			in.ReadMIMEHeader()
			body := []byte(head + event(1, true, "a", "up"))
			for len(body) > 0 {
				n := min(bytesAtATime, len(body))
				if _, err := far.Write(body[:n]); err != nil {
					return
				}
				body = body[n:]
				time.Sleep(gap)
			}
		}()
		return near, nil
	}}
	stop := time.AfterFunc(30*time.Second, cancel)
	defer stop.Stop()
	r.Run(ctx)
	time.Sleep(2 * gap) // until the writers have seen the end of their connections
	return took, tries
}

// Guards against an event that is never taken because its line comes slowly: each reconnect started it again. It must be known 6 s after
// discovery had it and could be reached.
func TestTricklingEventIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		size := len(head + event(1, true, "a", "up"))
		took, tries := tricklingBus(t, size/50, 100*time.Millisecond) // 5 s in all
		if took == 0 || took > 6*time.Second || tries != 1 {
			t.Errorf("taken after %v and %d connections", took, tries)
		}
	})
}

// Guards against a connection on which nothing but a byte now and then arrives and that is never closed.
func TestEndlessLineEndsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took, tries := tricklingBus(t, 1, time.Second)
		if took != 0 || tries < 4 {
			t.Errorf("taken after %v, %d connections in 30 s", took, tries)
		}
	})
}
