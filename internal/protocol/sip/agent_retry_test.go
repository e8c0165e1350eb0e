package sip_test

import (
	"strings"
	"testing"
	"time"

	"beammux/control/retry"
	"beammux/internal/protocol/sip"
	. "beammux/internal/protocol/sip/siptest"
)

// limited puts limits in force at which a call waits 300 ms before its second and last attempt.
func limited(t *testing.T, b *bench) {
	t.Helper()
	set := settings(5 * time.Second)
	p, faults := retry.Compile(&retry.File{Defaults: retry.Values{retry.Attempts: 2, retry.RetryWait: 300000}},
		retry.Rules{Names: []string{"menu-view"}, Classes: set.Classes, AttemptsCap: 5, ReleaseGuard: 300000})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	b.core.SetLimits(p)
}

// noAgent turns a set-up away as a server does that has a processor but no agent: it is passed over and not gated.
func noAgent(p *UserAgent, e ReceivedMessage) {
	if IsMethod("INVITE")(e.Msg) {
		e.SendBack(p.Reply(e.Msg, 503, "No", "").Set("X-Diagnosis", "atb"))
	}
}

// An INVITE that is repeated over UDP while its call waits for its second attempt is no further attempt, and no second
// call: each server hears of it in one transaction, and the caller gets one answer.
func TestRetransmissionDuringTheWait(t *testing.T) {
	servers := []*UserAgent{New(t, noAgent), New(t, noAgent)}
	b := newBench(t, 5*time.Second, host("s-1", servers[0].URI("UDP"), 0), host("s-2", servers[1].URI("UDP"), 1))
	limited(t, b)
	caller := New(t, nil)
	invite := caller.Invite("UDP", "abc", "4711", "").Set("X-Dest", "0")
	send := caller.Send("UDP", b.agent.Addr("UDP"), invite)
	servers[0].Wait("ACK to the refusal", IsMethod("ACK")) // from here the call waits
	for range 5 {
		send(invite)
	}
	servers[1].Wait("second attempt", IsMethod("INVITE"))
	caller.Wait("refusal", Status(503, "INVITE"))
	for i, s := range servers {
		if n := s.Transactions(IsMethod("INVITE")); n != 1 {
			t.Errorf("server %d heard %d INVITE transactions, want 1", i, n)
		}
	}
	if first, second := servers[0].Wait("", IsMethod("INVITE")).ReceivedAt, servers[1].Wait("", IsMethod("INVITE")).ReceivedAt; second.Sub(first) < 300*time.Millisecond {
		t.Errorf("second attempt after %v, want 300 ms at least", second.Sub(first))
	}
}

// A CANCEL that comes during the wait ends the call: 487 at once, and no second attempt.
func TestCancelDuringTheWait(t *testing.T) {
	each(t, func(t *testing.T, proto string) {
		servers := []*UserAgent{New(t, noAgent), New(t, noAgent)}
		b := newBench(t, 5*time.Second, host("s-1", servers[0].URI(proto), 0), host("s-2", servers[1].URI(proto), 1))
		limited(t, b)
		caller := New(t, nil)
		invite := caller.Invite(proto, "abc", "4711", "").Set("X-Dest", "0")
		send := caller.Send(proto, b.agent.Addr(proto), invite)
		servers[0].Wait("ACK to the refusal", IsMethod("ACK"))
		send(sip.Request("CANCEL", invite.URI).Set("Via", invite.Get("Via")).Set("From", invite.Get("From")).
			Set("To", invite.Get("To")).Set("Call-ID", "abc").Set("CSeq", "1 CANCEL"))
		caller.Wait("487", Status(487, "INVITE"))
		other := caller.Invite(proto, "next", "4712", "").Set("X-Dest", "1") // by its two attempts the wait is over
		caller.Send(proto, b.agent.Addr(proto), other)
		servers[0].Wait("second attempt of the next call", func(m *sip.Message) bool {
			return IsMethod("INVITE")(m) && strings.Contains(m.URI, "4712")
		})
		if n := servers[1].Count(func(m *sip.Message) bool { return IsMethod("INVITE")(m) && strings.Contains(m.URI, "4711") }); n != 0 {
			t.Errorf("a cancelled call was sent again")
		}
	})
}

func cancelOf(invite *sip.Message) *sip.Message {
	return sip.Request("CANCEL", invite.URI).Set("Via", invite.Get("Via")).Set("From", invite.Get("From")).
		Set("To", invite.Get("To")).Set("Call-ID", invite.Get("Call-ID")).Set("CSeq", "1 CANCEL")
}

// A caller that closes its TCP connection has gone: its set-up is cancelled at the server within 0.1 s.
func TestClosedConnectionGivesTheSetupUp(t *testing.T) {
	each(t, func(t *testing.T, proto string) {
		server := New(t, silent)
		b := newBench(t, 5*time.Second, host("s-1", server.URI(proto), 0))
		caller := New(t, nil)
		caller.Send("TCP", b.agent.Addr("TCP"), caller.Invite("TCP", "abc", "1", ""))
		server.Wait("INVITE", IsMethod("INVITE"))
		caller.Wait("100", Status(100, "INVITE"))
		left := time.Now()
		caller.Stop()
		if e := server.Wait("CANCEL", IsMethod("CANCEL")); e.ReceivedAt.Sub(left) > 100*time.Millisecond {
			t.Errorf("cancelled after %v", e.ReceivedAt.Sub(left))
		}
	})
}

// And no further attempt begins for one who closed, or cancelled, while its call waited for it.
func TestNoFurtherAttemptForOneWhoLeft(t *testing.T) {
	for _, how := range []string{"close", "cancel"} {
		t.Run(how, func(t *testing.T) {
			first, second := New(t, refusing(504)), New(t, answering)
			b := newBench(t, 5*time.Second, host("s-1", first.URI("TCP"), 0), host("s-2", second.URI("TCP"), 1))
			caller := New(t, nil)
			invite := caller.Invite("TCP", "abc", "1", "").Set("X-Dest", "0")
			send := caller.Send("TCP", b.agent.Addr("TCP"), invite)
			first.Wait("ACK", IsMethod("ACK"))
			if how == "close" {
				caller.Stop()
			} else {
				send(cancelOf(invite))
				caller.Wait("487", Status(487, "INVITE"))
			}
			other := New(t, nil) // a later call shows that the guard's time has passed
			time.Sleep(400 * time.Millisecond)
			other.Send("UDP", b.agent.Addr("UDP"), other.Invite("UDP", "later", "2", "").Set("X-Dest", "1"))
			second.Wait("INVITE", IsMethod("INVITE"))
			if n := second.Count(IsMethod("INVITE")); n != 1 {
				t.Errorf("%d INVITEs at the second server, want that of the later call alone", n)
			}
		})
	}
}

// Over UDP a set-up that was given up before any response is not sent again, and it is cancelled once a response comes.
func TestGivenUpIsNotRetransmitted(t *testing.T) {
	server := New(t, nil)
	b := newBench(t, 5*time.Second, host("s-1", server.URI("UDP"), 0))
	caller := New(t, nil)
	invite := caller.Invite("UDP", "abc", "1", "")
	send := caller.Send("UDP", b.agent.Addr("UDP"), invite)
	e := server.Wait("INVITE", IsMethod("INVITE"))
	send(cancelOf(invite))
	caller.Wait("487", Status(487, "INVITE"))
	n := server.Count(IsMethod("INVITE"))
	time.Sleep(10 * quick.T1)                                 // three copies would be due
	if more := server.Count(IsMethod("INVITE")); more > n+1 { // one may have been on its way
		t.Errorf("%d copies went out after it was given up", more-n)
	}
	e.SendBack(server.Reply(e.Msg, 180, "Ringing", ""))
	server.Wait("CANCEL", IsMethod("CANCEL"))
}

// Once it is to turn away, an INVITE is refused at once, and one that came before is still answered.
func TestTurnAway(t *testing.T) {
	each(t, func(t *testing.T, proto string) {
		release := make(chan struct{})
		server := New(t, func(p *UserAgent, e ReceivedMessage) {
			if IsMethod("INVITE")(e.Msg) {
				go func() { <-release; answering(p, e) }()
			}
		})
		b := newBench(t, 5*time.Second, host("s-1", server.URI(proto), 0))
		first, second := New(t, nil), New(t, nil)
		first.Send(proto, b.agent.Addr(proto), first.Invite(proto, "abc", "1", ""))
		server.Wait("INVITE", IsMethod("INVITE"))
		b.agent.TurnAway()
		second.Send(proto, b.agent.Addr(proto), second.Invite(proto, "def", "2", ""))
		second.Wait("503", Status(503, "INVITE"))
		close(release)
		first.Wait("200", Status(200, "INVITE"))
		if n := server.Count(IsMethod("INVITE")); n != 1 {
			t.Errorf("%d INVITEs at the server", n)
		}
	})
}
