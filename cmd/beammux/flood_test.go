package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/protocol/jsonl"
	"beammux/internal/protocol/sip"
)

// Limits of a gatekeeper under a flood: the largest that the platform gives.
const (
	floodMemoryMB    = 192
	floodDescriptors = 1024
)

// Course of a flood.
const (
	floodTime       = 3 * time.Second
	beforeFlood     = time.Second // with the usual caller alone
	callerDeadline  = 1500 * time.Millisecond
	socketTolerance = 50 * time.Millisecond // on sockets, by the protocol
	setupInterval   = 100 * time.Millisecond
	serverHoldTime  = 500 * time.Millisecond
	serverCapacity  = 40 // calls at a time
)

// floodTarget is a gatekeeper process with all of its addresses open, one menu server, and one ordinary caller.
type floodTarget struct {
	jsonAddr, sipUDP, sipTCP, operators string
	server                              *menuServer
	process                             *os.Process
	stop                                chan struct{} // closed at the end of the flood
}

// floodVariable names the flood that a process of this test binary runs, and floodAddresses the addresses of its target.
const (
	floodVariable    = "BEAMMUX_TEST_FLOOD"
	addressesOfFlood = "BEAMMUX_TEST_FLOOD_ADDRESSES"
)

// floodProcessors leaves processors to the gatekeeper, its server and the ordinary caller.
const floodProcessors = 3

// runFloodProcess runs the clients of a flood for floodTime, in a process of their own.
func runFloodProcess(name string) {
	runtime.GOMAXPROCS(floodProcessors)
	addresses := strings.Fields(os.Getenv(addressesOfFlood))
	f := &floodTarget{jsonAddr: addresses[0], sipUDP: addresses[1], sipTCP: addresses[2], operators: addresses[3], stop: make(chan struct{})}
	time.AfterFunc(floodTime, func() { close(f.stop) })
	for _, flood := range floods() {
		if flood.name == name {
			f.runClients(flood)
		}
	}
}

// startFlood starts a flood, and returns a function that waits for its end.
func (f *floodTarget) startFlood(t *testing.T, flood flood) (wait func()) {
	if flood.byServer {
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.runClients(flood)
		}()
		return func() { <-done }
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), floodVariable+"="+flood.name, addressesOfFlood+"="+strings.Join([]string{f.jsonAddr, f.sipUDP, f.sipTCP, f.operators}, " "))
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	require.NoError(t, cmd.Start())
	return func() { require.NoError(t, cmd.Wait()) }
}

// runClients runs the clients of a flood until it ends.
func (f *floodTarget) runClients(flood flood) {
	var clients sync.WaitGroup
	for range flood.clients {
		clients.Go(func() {
			for f.running() {
				flood.run(f)
			}
		})
	}
	clients.Wait()
}

func startFloodTarget(t *testing.T) *floodTarget {
	t.Helper()
	return startFloodTargetWith(t, oneClass)
}

// startFloodTargetWith is startFloodTarget with other settings.
func startFloodTargetWith(t *testing.T, settings string) *floodTarget {
	t.Helper()
	f := &floodTarget{server: startMenuServer(t, 100*time.Millisecond), stop: make(chan struct{}), operators: freeAddress(t),
		sipUDP: freeAddress(t), sipTCP: freeAddress(t)}
	f.server.holdTime, f.server.capacity = serverHoldTime, serverCapacity
	dir := t.TempDir()
	config := f.config("127.0.0.1:0", settings)
	deploy := fmt.Sprintf(`{"sip":{"udp":%q,"tcp":%q,"default_class":"menu-view"}}`, f.sipUDP, f.sipTCP)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "config.json"), []byte(config), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "deploy.json"), []byte(deploy), 0o600))
	cmd := newProgram("serve", "--log-format", "json", "--deploy", filepath.Join(dir, "deploy.json"), "--admin-addr", f.operators)
	cmd.Env = append(cmd.Env, "PROXY_CONFIG="+filepath.Join(dir, "config.json"))
	f.jsonAddr = startUntilLogged(t, cmd, "serving")
	f.process = cmd.Process
	t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGKILL)
		cmd.Wait()
	})
	return f
}

// config returns the configuration of a gatekeeper that uses the target's menu server.
func (f *floodTarget) config(listen, settings string) string {
	known := fmt.Sprintf(`{"offset":1,"batch":[{"offset":1,"topology":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"block":0,"health":"up","share":1,"born_ms":0}]}}]}`,
		f.server.listener.Addr())
	return fmt.Sprintf(`{"listen":%q,"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		listen, floodMemoryMB, floodDescriptors, known, settings)
}

// freeAddress returns a loopback address whose port is free for TCP.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// running reports whether the flood has not ended.
func (f *floodTarget) running() bool {
	select {
	case <-f.stop:
		return false
	default:
		return true
	}
}

// peakMemory samples the anonymous memory of the process until the flood ends, and returns the largest sample in kB.
func (f *floodTarget) peakMemory() (peak int) {
	for f.running() {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.process.Pid))
		kB := 0
		if _, rest, ok := strings.Cut(string(text), "RssAnon:"); ok {
			fmt.Sscan(rest, &kB)
		}
		if peak = max(peak, kB); kB > 4*floodMemoryMB<<10 { // keep a broken gatekeeper from taking the machine's memory
			f.process.Signal(syscall.SIGKILL)
			return peak
		}
		time.Sleep(20 * time.Millisecond)
	}
	return peak
}

// callerResult is what an ordinary caller saw.
type callerResult struct {
	sent, served, refused int
	worst                 time.Duration // until a final answer
	unanswered            int
}

// crossingLimit is the time between a set-up and the close that it crosses, by the protocol. Such a set-up is sent once more.
const crossingLimit = 50 * time.Millisecond

// floodCaller is an ordinary caller. If the gatekeeper closes its connection, it connects again, and repeats the set-up that crossed the close.
type floodCaller struct {
	target *floodTarget

	mu     sync.Mutex
	conn   net.Conn // nil while it is not connected
	open   map[string]time.Time
	result callerResult
}

// send sends a set-up, on a new connection if there is none.
func (c *floodCaller) send(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.target.jsonAddr, time.Second)
		if err != nil {
			return
		}
		c.conn = conn
		go c.read(conn)
	}
	fmt.Fprintf(c.conn, `{"msg":"open","sid":%q,"attrs":{"class":"menu-view","left":%d,"key":"1"},"text":"offer"}`+"\n", id,
		callerDeadline.Milliseconds())
}

// read reads a connection until it ends.
func (c *floodCaller) read(conn net.Conn) {
	defer conn.Close()
	for in := jsonl.NewReader(bufio.NewReaderSize(conn, jsonl.MaxMessage)); ; {
		m, err := in.Next()
		if err != nil {
			c.reconnect()
			return
		}
		c.receive(m)
		if m.Type == "close" {
			fmt.Fprintf(conn, `{"msg":"closed","sid":%q,"attrs":{}}`+"\n", m.ID)
		}
	}
}

// receive notes a final answer.
func (c *floodCaller) receive(m jsonl.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sentAt, ok := c.open[m.ID]
	if !ok || m.Type != "ready" && m.Type != "close" {
		return
	}
	delete(c.open, m.ID)
	c.result.worst = max(c.result.worst, time.Since(sentAt))
	if m.Type == "ready" {
		c.result.served++
	} else {
		c.result.refused++
	}
}

// reconnect repeats the set-ups that crossed the close of the connection.
func (c *floodCaller) reconnect() {
	var crossed []string
	c.mu.Lock()
	c.conn = nil
	for id, sentAt := range c.open {
		if time.Since(sentAt) <= crossingLimit {
			crossed = append(crossed, id)
		}
	}
	c.mu.Unlock()
	for _, id := range crossed {
		c.send(id)
	}
}

// callDuringFlood sets up calls at regular intervals until the flood ends, and waits for their final answers.
func (f *floodTarget) callDuringFlood() callerResult {
	c := &floodCaller{target: f, open: map[string]time.Time{}}
	for f.running() {
		id := randomID()
		c.mu.Lock()
		c.open[id] = time.Now()
		c.result.sent++
		c.mu.Unlock()
		c.send(id)
		time.Sleep(setupInterval)
	}
	time.Sleep(callerDeadline)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
	}
	c.result.unanswered = len(c.open)
	return c.result
}

func randomID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// flood is one kind of bad clients: run is called once for each client, again and again until the flood ends.
type flood struct {
	name    string
	clients int
	run     func(f *floodTarget)

	byServer bool // it is the menu server that floods
}

// manyFields returns a text of short fields in the form of format, of about size bytes.
func manyFields(format string, size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

// sendOn runs send with a new TCP connection, whose input is discarded, until send fails or the flood ends.
func (f *floodTarget) sendOn(addr string, send func(w *bufio.Writer) error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn)
	for w := bufio.NewWriterSize(conn, 64<<10); f.running(); {
		conn.SetWriteDeadline(time.Now().Add(time.Second))
		if send(w) != nil || w.Flush() != nil {
			return
		}
	}
}

// stayAfter sends one text on a new connection, and stays connected for a time without sending more.
func (f *floodTarget) stayAfter(addr, text string, stay time.Duration) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn)
	io.WriteString(conn, text)
	select {
	case <-time.After(stay):
	case <-f.stop:
	}
}

// setupLine returns a set-up of the JSON front with further attributes.
func setupLine(attributes, text string) string {
	return fmt.Sprintf(`{"msg":"open","sid":%q,"attrs":{"class":"menu-view","left":"3000","key":"7f3a"%s},"text":%q}`+"\n", randomID(), attributes, text)
}

// sipRequest returns a request of the SIP front with further headers and a body.
func sipRequest(method, proto, via, headers, body string) string {
	id := randomID()
	return fmt.Sprintf("%s sip:7f3a@net SIP/2.0\r\nVia: SIP/2.0/%s %s;branch=z9hG4bK%s\r\nMax-Forwards: 70\r\nFrom: <sip:t@net>;tag=%s\r\nTo: <sip:7f3a@net>\r\n"+
		"Call-ID: %s\r\nCSeq: 1 %s\r\nContact: <sip:t@%s>\r\nExpires: 3\r\n%sContent-Length: %d\r\n\r\n%s", method, proto, via, id, id, id, method, via, headers, len(body), body)
}

// sendDatagrams sends requests of the SIP front from one socket, and reads the answers. An INVITE's error is confirmed if acknowledge is set.
func (f *floodTarget) sendDatagrams(window int, acknowledge bool, request func(own string) string) {
	conn, err := net.Dial("udp", f.sipUDP)
	if err != nil {
		return
	}
	defer conn.Close()
	own := conn.LocalAddr().String()
	buffer := make([]byte, 64<<10)
	for range window {
		io.WriteString(conn, request(own))
	}
	for f.running() {
		conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, err := conn.Read(buffer)
		if err != nil {
			for range window {
				io.WriteString(conn, request(own))
			}
			continue
		}
		m, err := sip.Parse(buffer[:n])
		if err != nil || m.IsRequest() || m.Status < 200 {
			continue
		}
		if _, method, _ := m.CSeq(); method == "INVITE" && acknowledge {
			ack := sip.Request("ACK", "sip:7f3a@net").Set("Via", m.Get("Via")).Set("From", m.Get("From")).Set("To", m.Get("To")).
				Set("Call-ID", m.Get("Call-ID")).Set("CSeq", "1 ACK")
			conn.Write(ack.Append(nil))
		}
		io.WriteString(conn, request(own))
	}
}

// inviteFromNewSocket sends INVITEs from a new socket.
func (f *floodTarget) inviteFromNewSocket() {
	conn, err := net.Dial("udp", f.sipUDP)
	if err != nil {
		return
	}
	defer conn.Close()
	body := strings.Repeat("a=sendrecv ", 100)
	for range 3 {
		io.WriteString(conn, sipRequest("INVITE", "UDP", conn.LocalAddr().String(), "", body))
	}
	time.Sleep(time.Millisecond)
}

// floods are the kinds of bad clients.
func floods() []flood {
	long := strings.Repeat("a=sendrecv ", 1300)
	fields := manyFields(`,"a%d":1`, 15<<10)
	headers := manyFields("a%d:1\r\n", 14<<10)
	return []flood{
		{"hundreds of set-ups at once, again and again", 60, func(f *floodTarget) {
			f.sendOn(f.jsonAddr, func(w *bufio.Writer) (err error) {
				for range 300 {
					_, err = io.WriteString(w, setupLine("", long))
				}
				return err
			})
		}, false},
		{"set-ups taken back at once", 20, func(f *floodTarget) {
			f.sendOn(f.jsonAddr, func(w *bufio.Writer) error {
				line := setupLine("", long)
				io.WriteString(w, line)
				_, err := fmt.Fprintf(w, `{"msg":"close","sid":%s,"attrs":{},"code":16}`+"\n", line[len(`{"msg":"open","sid":`):len(`{"msg":"open","sid":`)+18])
				return err
			})
		}, false},
		{"lines of many fields", 300, func(f *floodTarget) {
			f.sendOn(f.jsonAddr, func(w *bufio.Writer) error { _, err := io.WriteString(w, setupLine(fields, "")); return err })
		}, false},
		{"a line of many fields and half of another", 600, func(f *floodTarget) {
			line := setupLine(fields, "")
			f.stayAfter(f.jsonAddr, line+line[:len(line)/2], 1500*time.Millisecond)
		}, false},
		{"probes at full speed on one connection", 1, func(f *floodTarget) {
			f.sendOn(f.jsonAddr, func(w *bufio.Writer) error {
				_, err := fmt.Fprintf(w, `{"msg":"probe","sid":%q,"attrs":{},"code":0}`+"\n", randomID())
				return err
			})
		}, false},
		{"ends of unknown calls at full speed on one connection", 1, func(f *floodTarget) {
			f.sendOn(f.jsonAddr, func(w *bufio.Writer) (err error) {
				for range 50 {
					_, err = fmt.Fprintf(w, `{"msg":"close","sid":%q,"attrs":{},"code":16}`+"\n", randomID())
				}
				return err
			})
		}, false},
		{"set-ups under ever new numbers on one connection", 1, func(f *floodTarget) {
			f.sendOn(f.jsonAddr, func(w *bufio.Writer) (err error) {
				for range 50 {
					_, err = fmt.Fprintf(w, `{"msg":"open","sid":%q,"attrs":{"class":"menu-view","left":"3000","key":%q}}`+"\n", randomID(), randomID())
				}
				return err
			})
		}, false},
		{"SIP INVITEs over UDP", 1, func(f *floodTarget) {
			f.sendDatagrams(300, true, func(own string) string { return sipRequest("INVITE", "UDP", own, "", long) })
		}, false},
		{"SIP INVITEs over UDP without ACK", 4, func(f *floodTarget) {
			f.sendDatagrams(100, false, func(own string) string { return sipRequest("INVITE", "UDP", own, "", long) })
		}, false},
		{"SIP INVITEs over UDP from ever new sockets", 4, (*floodTarget).inviteFromNewSocket, false},
		{"SIP OPTIONS over UDP", 2, func(f *floodTarget) {
			f.sendDatagrams(100, false, func(own string) string { return sipRequest("OPTIONS", "UDP", own, "X-A: "+long+"\r\n", "") })
		}, false},
		{"SIP BYEs of unknown dialogs over UDP", 2, func(f *floodTarget) {
			f.sendDatagrams(100, false, func(own string) string { return sipRequest("BYE", "UDP", own, "", "") })
		}, false},
		{"SIP OPTIONS over TCP on one connection", 1, func(f *floodTarget) {
			f.sendOn(f.sipTCP, func(w *bufio.Writer) (err error) {
				for range 50 {
					_, err = io.WriteString(w, sipRequest("OPTIONS", "TCP", "127.0.0.1:9", "", ""))
				}
				return err
			})
		}, false},
		{"SIP INVITEs over TCP, hundreds at once", 60, func(f *floodTarget) {
			f.sendOn(f.sipTCP, func(w *bufio.Writer) (err error) {
				for range 100 {
					_, err = io.WriteString(w, sipRequest("INVITE", "TCP", "127.0.0.1:9", "", long))
				}
				return err
			})
		}, false},
		{"half of a SIP message on hundreds of connections", 300, func(f *floodTarget) {
			f.stayAfter(f.sipTCP, sipRequest("INVITE", "TCP", "127.0.0.1:9", "", long)[:12<<10], 500*time.Millisecond)
		}, false},
		{"SIP requests of unknown methods over TCP", 20, func(f *floodTarget) {
			f.sendOn(f.sipTCP, func(w *bufio.Writer) error {
				_, err := io.WriteString(w, sipRequest("M"+randomID(), "TCP", "127.0.0.1:9", "X-A: "+long+"\r\n", ""))
				return err
			})
		}, false},
		{"SIP heads of many fields over TCP", 300, func(f *floodTarget) {
			f.sendOn(f.sipTCP, func(w *bufio.Writer) error {
				_, err := io.WriteString(w, sipRequest("OPTIONS", "TCP", "127.0.0.1:9", headers, ""))
				return err
			})
		}, false},
		{"SIP INVITEs of many fields over UDP", 20, func(f *floodTarget) {
			f.sendDatagrams(10, false, func(own string) string { return sipRequest("INVITE", "UDP", own, headers, "") })
		}, false},
		{"operators' requests with heads of many fields", 100, func(f *floodTarget) {
			f.stayAfter(f.operators, "GET /api/telemetry HTTP/1.1\r\nHost: a\r\n"+headers[:7<<10]+"\r\n\r\n", 5*time.Millisecond)
		}, false},
		{"clients that read nothing", 300, (*floodTarget).probeUnread, false},
		{"a server that reports at full speed", 1, func(f *floodTarget) { f.server.reportAtFullSpeed(f) }, true},
	}
}

// probeUnread sends probes on a new connection, and reads none of their answers.
func (f *floodTarget) probeUnread() {
	conn, err := net.DialTimeout("tcp", f.jsonAddr, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	for f.running() {
		conn.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := fmt.Fprintf(conn, `{"msg":"probe","sid":%q,"attrs":{},"code":0}`+"\n", randomID()); err != nil {
			return
		}
	}
}

// reportAtFullSpeed sends load reports on all connections until the flood ends.
func (s *menuServer) reportAtFullSpeed(f *floodTarget) {
	report := sip.Request("NOTIFY", "sip:peer@net").Set("Via", "SIP/2.0/TCP server").Set("Call-ID", "0000000000000000").
		Set("CSeq", "1 NOTIFY").Set("X-Occupancy", "spare:20;total:40;busy:0.1;q:0").Append(nil)
	for f.running() {
		s.mu.Lock()
		for conn := range s.conns {
			conn.SetWriteDeadline(time.Now().Add(floodTime))
			conn.Write(report)
		}
		s.mu.Unlock()
	}
}

// Guards against memory that bad clients fill without bound, and against their share of the processor that delays the answers to others.
func TestFloodsKeepMemoryAndOthersAnswers(t *testing.T) {
	if testing.Short() {
		t.Skip("floods real processes")
	}
	for _, flood := range floods() {
		t.Run(flood.name, func(t *testing.T) {
			f := startFloodTarget(t)
			flooded := make(chan func(), 1)
			time.AfterFunc(beforeFlood, func() { flooded <- f.startFlood(t, flood) })
			time.AfterFunc(beforeFlood+floodTime, func() { close(f.stop) })
			peak := make(chan int, 1)
			go func() { peak <- f.peakMemory() }()
			result := f.callDuringFlood()
			(<-flooded)()
			most := <-peak
			t.Logf("peak %d MB; caller: %d sent, %d served, %d refused, %d unanswered, worst %v", most>>10, result.sent, result.served,
				result.refused, result.unanswered, result.worst.Round(time.Millisecond))
			require.LessOrEqual(t, most>>10, floodMemoryMB, "memory")
			require.Zero(t, result.unanswered, "set-ups of another caller without a final answer")
			require.LessOrEqual(t, result.worst, callerDeadline+socketTolerance, "an answer to another caller")
			_, err := (&http.Client{Timeout: 2 * time.Second}).Get("http://" + f.operators + "/api/ready")
			require.NoError(t, err, "the operators' address after the flood")
		})
	}
}
