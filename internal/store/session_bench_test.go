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

// discard is a session's connection that takes everything at once and counts what changes it was sent.
type discard struct {
	net.Conn
	got func()
}

func (d discard) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte(`{"event":{"kind":"change"`)) {
		d.got()
	}
	return len(p), nil
}
func (d discard) Close() error                     { return nil }
func (d discard) SetWriteDeadline(time.Time) error { return nil }

const benchValue = 2 << 10 // bytes of a change, about a deploy file's section

// BenchmarkChangeInServer is one change from the write until the server has written it to every session, without sockets:
// what raft, the history, the dispatch and the sessions cost. Allocations are of all that.
func BenchmarkChangeInServer(b *testing.B) {
	for _, sessions := range []int{100, 400, 1000} {
		b.Run(fmt.Sprint("sessions=", sessions), func(b *testing.B) {
			n, err := Open(Options{Node: "a", Log: quiet(), Serve: &ServeOptions{Prefix: "settings/", HeartbeatInterval: time.Hour}})
			require.NoError(b, err)
			defer n.Close()
			_, err = n.Put(b.Context(), "settings/all/calls", nil)
			require.NoError(b, err)
			var sent sync.WaitGroup
			for i := range sessions {
				one := &session{server: n.sessions, conn: discard{got: sent.Done}, since: time.Now(), wake: make(chan struct{}, 1), gone: make(chan struct{}),
					request: WatchRequest{Prefixes: []string{"settings/all/", fmt.Sprint("settings/gatekeeper/g", i, "/")}}}
				require.NoError(b, n.sessions.add(one))
				one.setCursor(n.fsm.lastRevision())
				go func() {
					defer n.sessions.remove(one)
					one.send()
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

// BenchmarkChangeToClients is one change from the write until every client has handled it, over loopback sockets with
// clients in this process, which decode it. It is dominated by them.
func BenchmarkChangeToClients(b *testing.B) {
	for _, sessions := range []int{100, 400, 1000} {
		b.Run(fmt.Sprint("sessions=", sessions), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			n, err := Open(Options{Node: "a", Listener: l, Peers: []Peer{{Node: "a", Address: l.Addr().String()}}, Log: quiet(),
				Serve: &ServeOptions{Prefix: "settings/", HeartbeatInterval: time.Minute}})
			require.NoError(b, err)
			defer n.Close()
			first, err := n.Put(b.Context(), "settings/all/calls", nil)
			require.NoError(b, err)
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			var heard, open sync.WaitGroup
			open.Add(sessions)
			for i := range sessions {
				r := WatchRequest{After: first, Prefixes: []string{"settings/all/"}, Session: SessionInfo{Name: fmt.Sprint("g", i)}}
				go WatchSession(ctx, nil, l.Addr().String(), r, nil, func(e WatchEvent) error {
					if e.Kind == Change {
						heard.Done()
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
				heard.Add(sessions)
				if _, err := n.Put(b.Context(), "settings/all/calls", value); err != nil {
					b.Fatal(err)
				}
				heard.Wait()
			}
		})
	}
}
