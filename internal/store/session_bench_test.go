package store

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// discardConn is a session's connection that discards all data at once and calls got for each change.
type discardConn struct {
	net.Conn
	onChange func()
}

func (d discardConn) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte(`{"event":{"kind":"change"`)) {
		d.onChange()
	}
	return len(p), nil
}
func (d discardConn) Close() error                     { return nil }
func (d discardConn) SetWriteDeadline(time.Time) error { return nil }

const benchValue = 2 << 10 // bytes of a change, about the size of a section of the deploy file

// BenchmarkChangeInServer measures one change from the write until the server has written it to every session, without
// sockets: the cost of raft, the history, the dispatcher and the sessions, including their allocations.
func BenchmarkChangeInServer(b *testing.B) {
	for _, sessions := range []int{100, 400, 1000} {
		b.Run(fmt.Sprint("sessions=", sessions), func(b *testing.B) {
			n, err := Open(Options{Node: "a", Log: discardLogger(), Serve: &ServeOptions{Prefix: "settings/", HeartbeatInterval: time.Hour}})
			require.NoError(b, err)
			defer n.Close()
			_, err = n.Put(b.Context(), "settings/all/calls", nil)
			require.NoError(b, err)
			var sent sync.WaitGroup
			for i := range sessions {
				sess := &session{server: n.sessions, conn: discardConn{onChange: sent.Done}, openedAt: time.Now(), wake: make(chan struct{}, 1), disconnected: make(chan struct{}),
					request: WatchRequest{Prefixes: []string{"settings/all/", fmt.Sprint("settings/gatekeeper/g", i, "/")}}}
				require.NoError(b, n.sessions.add(sess))
				sess.setCursor(n.fsm.lastRevision())
				go func() {
					defer n.sessions.remove(sess)
					sess.send()
				}()
			}
			value := bytes.Repeat([]byte("x"), benchValue)
			b.ReportAllocs()
			for b.Loop() {
				sent.Add(sessions)
				if _, err := n.Put(b.Context(), "settings/all/calls", value); err != nil {
					b.Fatal(err)
				}
				sent.Wait()
			}
		})
	}
}

// BenchmarkChangeToClients measures one change from the write until every client has handled it, over loopback sockets. The
// clients run in this process, and their decoding dominates.
func BenchmarkChangeToClients(b *testing.B) {
	for _, sessions := range []int{100, 400, 1000} {
		b.Run(fmt.Sprint("sessions=", sessions), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			n, err := Open(Options{Node: "a", Listener: l, Peers: []Peer{{Node: "a", Address: l.Addr().String()}}, Log: discardLogger(),
				Serve: &ServeOptions{Prefix: "settings/", HeartbeatInterval: time.Minute}})
			require.NoError(b, err)
			defer n.Close()
			first, err := n.Put(b.Context(), "settings/all/calls", nil)
			require.NoError(b, err)
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			var received, open sync.WaitGroup
			open.Add(sessions)
			for i := range sessions {
				r := WatchRequest{After: first, Prefixes: []string{"settings/all/"}, Session: SessionInfo{Name: fmt.Sprint("g", i)}}
				go WatchSession(ctx, nil, l.Addr().String(), r, nil, func(e WatchEvent) error {
					if e.Kind == Change {
						received.Done()
					} else {
						open.Done()
					}
					return nil
				})
			}
			open.Wait()
			value := bytes.Repeat([]byte("x"), benchValue)
			b.ReportAllocs()
			for b.Loop() {
				received.Add(sessions)
				if _, err := n.Put(b.Context(), "settings/all/calls", value); err != nil {
					b.Fatal(err)
				}
				received.Wait()
			}
		})
	}
}
