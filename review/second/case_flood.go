//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["6"] = caseFlood }

// platform kills a gatekeeper that is over its memory limit, as the deployment page says. Only the memory that the process itself holds is
// counted (RssAnon), not the pages of files.
func (l *lab) platform(g *gatekeeper, limitMB int, stop <-chan struct{}) {
	most, noted := 0, time.Now()
	for g.alive() {
		select {
		case <-stop:
			l.note("platform: the most memory that %s held: %d MB", g.name, most>>10)
			return
		case <-time.After(20 * time.Millisecond):
		}
		kB := anonymousMemory(g.cmd.Process.Pid)
		most = max(most, kB)
		if time.Since(noted) > time.Second {
			noted = time.Now()
			l.note("platform: %s holds %d MB", g.name, kB>>10)
		}
		if kB > limitMB<<10 {
			l.fault("%s holds %d MB, over its memory_mb of %d: the platform kills it, and it has crashed", g.name, kB>>10, limitMB)
			g.signal(syscall.SIGKILL)
			return
		}
	}
}

// anonymousMemory returns the anonymous memory of a process in kB, or 0.
func anonymousMemory(pid int) (kB int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if _, rest, ok := strings.Cut(string(text), "RssAnon:"); ok {
		fmt.Sscan(rest, &kB)
	}
	return kB
}

// floodDeployment starts a gatekeeper with one menu server, and callers who use it.
func floodDeployment(l *lab, deploy string) (g *gatekeeper, book *callers, stop chan struct{}) {
	server := l.startServer("s-00000001")
	server.hold = func() time.Duration { return 4 * time.Second }
	server.serve()
	bus := l.startBus("bus", 0)
	known := []event{newEvent(1, true, host{"s-00000001", server.addr(), "dallas", "std", 0, "up", 1, 0})}
	g = l.start("n1", l.config("n1", freeAddr(), bus.addr(), known), deploy)
	g.awaitReady()
	l.require(anonymousMemory(g.cmd.Process.Pid) > 0, "the memory of a process can't be read")
	stop, book = make(chan struct{}), l.newCallers()
	go l.platform(g, memoryMB, stop)
	c := book.connect("caller", g.listen)
	go book.traffic(c, 100*time.Millisecond, stop)
	time.Sleep(3 * time.Second)
	return g, book, stop
}

// memoryMB is the limit of the configuration: the most that a scored day gives.
const memoryMB = 192

// badClients is how many clients send hundredsOfRequests at once.
const (
	badClients         = 60
	hundredsOfRequests = 300
)

// caseFlood: some bad clients send hundreds of requests at once, and the same again as soon as they are turned away.
func caseFlood(l *lab) {
	g, book, stop := floodDeployment(l, "")
	var clients sync.WaitGroup
	var sent, answered atomic.Int64
	if l.trouble {
		l.note("%d bad clients begin", badClients)
		for range badClients {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && g.alive(); {
					hundredsAtOnce(g.listen, hundredsOfRequests, &sent, &answered)
				}
			}()
		}
	}
	g.awaitEnd(20 * time.Second)
	clients.Wait()
	l.note("bad clients: %d set-ups sent, %d messages read", sent.Load(), answered.Load())
	close(stop)
	time.Sleep(3200 * time.Millisecond)
	book.checkAnswers(l)
}

// hundredsAtOnce opens a connection, sends set-ups at full speed, and reads what it is sent until all are answered, for 3 s at most.
func hundredsAtOnce(addr string, n int, sent, read *atomic.Int64) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer c.Close()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		in := bufio.NewReader(c)
		for range n {
			if _, err := in.ReadBytes('\n'); err != nil {
				return
			}
			read.Add(1)
		}
	}()
	text := strings.Repeat("a=sendrecv ", 1300) // a message is under 16 KiB
	c.SetWriteDeadline(time.Now().Add(3 * time.Second))
	out := bufio.NewWriterSize(c, 64<<10)
	for range n {
		_, err := fmt.Fprintf(out, `{"msg":"open","sid":"%s","attrs":{"class":"menu-view","left":"3000","key":"7f3a9c21e0b4d655","extras":"dest:0;width:1;via:-1"},"text":"%s"}`+"\n", newID(), text)
		if err != nil {
			return
		}
		sent.Add(1)
	}
	out.Flush()
	select {
	case <-answered:
	case <-time.After(3 * time.Second):
	}
}
