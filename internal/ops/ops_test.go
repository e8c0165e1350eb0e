package ops

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
)

// fake is a Gatekeeper for tests.
type fake struct{ ready bool }

func (f *fake) Ready() bool              { return f.ready }
func (f *fake) Evacuate()                { f.ready = false }
func (f *fake) Rejoin()                  { f.ready = true }
func (f *fake) WriteMetrics(w io.Writer) { io.WriteString(w, "proxy_concurrent 0\n") }
func (f *fake) Fleet() (any, bool)       { return nil, false }

// With more silent clients than the limit, the oldest connections are closed, the number of open connections stays within the
// limit, and a proper request is answered immediately.
func TestSilentClientsBeyondLimit(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	s, err := Listen("127.0.0.1:0", &fake{ready: true}, nil, log)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var silent []net.Conn
	for range 3 * MaxOpenConns {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	started := time.Now()
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + s.Addr() + "/api/ready")
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("readiness request with silent clients connected: %v %v", resp, err)
	}
	resp.Body.Close()
	if took := time.Since(started); took > time.Second {
		t.Fatalf("answered after %v", took)
	}
	first := silent[0]
	first.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := first.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("read on the oldest silent connection: %v, want EOF", err)
	}
	b := s.ln.(*limitListener)
	b.mu.Lock()
	open := len(b.open)
	b.mu.Unlock()
	if open > MaxOpenConns {
		t.Fatalf("%d connections open, limit %d", open, MaxOpenConns)
	}
}

func TestSplitAddress(t *testing.T) {
	for _, bad := range []string{"nowhere", "127.0.0.1:http", "127.0.0.1:70000", ":"} {
		if _, _, err := SplitAddress(bad); err == nil {
			t.Errorf("%q accepted", bad)
		}
	}
	if _, _, err := SplitAddress("127.0.0.1:0"); err != nil {
		t.Error(err)
	}
	if !strings.Contains(func() string { _, _, err := SplitAddress("x:y"); return err.Error() }(), `port "y"`) {
		t.Error("the error does not name the port")
	}
}

// shuttingDown is a gatekeeper whose process is shutting down: it ignores a rejoin.
type shuttingDown struct{ fake }

func (*shuttingDown) Rejoin() {}

// A rejoin without effect is answered with status 409.
func TestRejoinDuringShutdown(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	for want, g := range map[int]Gatekeeper{http.StatusOK: &fake{}, http.StatusConflict: &shuttingDown{}} {
		s, err := Listen("127.0.0.1:0", g, nil, log)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := (&http.Client{Timeout: time.Second}).Post("http://"+s.Addr()+"/api/rejoin", "", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("answered %d, want %d", resp.StatusCode, want)
		}
		s.Close()
	}
}
