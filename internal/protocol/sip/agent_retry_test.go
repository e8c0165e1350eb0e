package sip_test

import (
	"strings"
	"testing"
	"time"

	"beammux/control/retry"
	"beammux/internal/protocol/sip"
	. "beammux/internal/protocol/sip/siptest"
)

// setRetryLimits applies limits under which a call waits 300 ms before its second and last attempt.
func setRetryLimits(t *testing.T, b *fixture) {
	t.Helper()
	siteSettings := settings(5 * time.Second)
	p, faults := retry.Compile(&retry.File{Defaults: retry.Values{retry.Attempts: 2, retry.RetryWait: 300000}},
		retry.Rules{Names: []string{"menu-view"}, Classes: siteSettings.Classes, AttemptsCap: 5, ReleaseGuard: 300000})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	b.core.SetLimits(p)
}

// refusingNoAgent refuses set-ups like a server that has a free processor but no free agent. Such a server is skipped and not
// gated.
func refusingNoAgent(p *UserAgent, e ReceivedMessage) {
	if IsMethod("INVITE")(e.Msg) {
		e.SendBack(p.Reply(e.Msg, 503, "No", "").Set("X-Diagnosis", "atb"))
	}
}

// Guards against an INVITE that is retransmitted over UDP during the wait before the second attempt being taken for another
// attempt or another call: each server receives it in one transaction.
func TestRetransmissionDuringRetryWait(t *testing.T) {
	servers := []*UserAgent{New(t, refusingNoAgent), New(t, refusingNoAgent)}
	b := newFixture(t, 5*time.Second, host("s-1", servers[0].URI("UDP"), 0), host("s-2", servers[1].URI("UDP"), 1))
	setRetryLimits(t, b)
	caller := New(t, nil)
	invite := caller.Invite("UDP", "abc", "4711", "").Set("X-Dest", "0")
	send := caller.Send("UDP", b.agent.Addr("UDP"), invite)
	servers[0].Wait("ACK to the refusal", IsMethod("ACK")) // now the call waits for its second attempt
	for range 5 {
		send(invite)
	}
	servers[1].Wait("second attempt", IsMethod("INVITE"))
	caller.Wait("refusal", Status(503, "INVITE"))
	for i, s := range servers {
		if n := s.Transactions(IsMethod("INVITE")); n != 1 {
			t.Errorf("server %d received %d INVITE transactions, want 1", i, n)
		}
	}
	if first, second := servers[0].Wait("", IsMethod("INVITE")).ReceivedAt, servers[1].Wait("", IsMethod("INVITE")).ReceivedAt; second.Sub(first) < 300*time.Millisecond {
		t.Errorf("second attempt after %v, want at least 300 ms", second.Sub(first))
	}
}

// A CANCEL that arrives during the wait before the second attempt ends the call: it gets 487, and there is no second attempt.
func TestCancelDuringRetryWait(t *testing.T) {
	forEachTransport(t, func(t *testing.T, proto string) {
		servers := []*UserAgent{New(t, refusingNoAgent), New(t, refusingNoAgent)}
		b := newFixture(t, 5*time.Second, host("s-1", servers[0].URI(proto), 0), host("s-2", servers[1].URI(proto), 1))
		setRetryLimits(t, b)
		caller := New(t, nil)
		invite := caller.Invite(proto, "abc", "4711", "").Set("X-Dest", "0")
		send := caller.Send(proto, b.agent.Addr(proto), invite)
		servers[0].Wait("ACK to the refusal", IsMethod("ACK"))
		send(sip.Request("CANCEL", invite.URI).Set("Via", invite.Get("Via")).Set("From", invite.Get("From")).
			Set("To", invite.Get("To")).Set("Call-ID", "abc").Set("CSeq", "1 CANCEL"))
		caller.Wait("487", Status(487, "INVITE"))
		other := caller.Invite(proto, "next", "4712", "").Set("X-Dest", "1") // once it has made its two attempts, the wait of the first call is over
		caller.Send(proto, b.agent.Addr(proto), other)
		servers[0].Wait("second attempt of the next call", func(m *sip.Message) bool {
			return IsMethod("INVITE")(m) && strings.Contains(m.URI, "4712")
		})
		if n := servers[1].Count(func(m *sip.Message) bool { return IsMethod("INVITE")(m) && strings.Contains(m.URI, "4711") }); n != 0 {
			t.Errorf("a cancelled call was sent again")
		}
	})
}

// cancelOf returns the CANCEL for an INVITE.
func cancelOf(invite *sip.Message) *sip.Message {
	return sip.Request("CANCEL", invite.URI).Set("Via", invite.Get("Via")).Set("From", invite.Get("From")).
		Set("To", invite.Get("To")).Set("Call-ID", invite.Get("Call-ID")).Set("CSeq", "1 CANCEL")
}

// When a caller closes its TCP connection, its set-up is cancelled at the server within 100 ms.
func TestClosedConnectionCancelsSetup(t *testing.T) {
	forEachTransport(t, func(t *testing.T, proto string) {
		server := New(t, tryingOnly)
		b := newFixture(t, 5*time.Second, host("s-1", server.URI(proto), 0))
		caller := New(t, nil)
		caller.Send("TCP", b.agent.Addr("TCP"), caller.Invite("TCP", "abc", "1", ""))
		server.Wait("INVITE", IsMethod("INVITE"))
		caller.Wait("100", Status(100, "INVITE"))
		closedAt := time.Now()
		caller.Stop()
		if e := server.Wait("CANCEL", IsMethod("CANCEL")); e.ReceivedAt.Sub(closedAt) > 100*time.Millisecond {
			t.Errorf("cancelled after %v, want at most 100 ms", e.ReceivedAt.Sub(closedAt))
		}
	})
}

// No further attempt begins if the caller closes its connection or cancels while the call waits for that attempt.
func TestNoFurtherAttemptAfterCallerLeft(t *testing.T) {
	for _, how := range []string{"close", "cancel"} {
		t.Run(how, func(t *testing.T) {
			first, second := New(t, refusing(504)), New(t, answering)
			b := newFixture(t, 5*time.Second, host("s-1", first.URI("TCP"), 0), host("s-2", second.URI("TCP"), 1))
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
			other := New(t, nil) // a later call proves that the wait for the second attempt is over
			time.Sleep(400 * time.Millisecond)
			other.Send("UDP", b.agent.Addr("UDP"), other.Invite("UDP", "later", "2", "").Set("X-Dest", "1"))
			second.Wait("INVITE", IsMethod("INVITE"))
			if n := second.Count(IsMethod("INVITE")); n != 1 {
				t.Errorf("%d INVITEs at the second server, want only that of the later call", n)
			}
		})
	}
}

// Over UDP a set-up that was cancelled before any response is not retransmitted, and a CANCEL is sent once a response arrives.
func TestCancelledInviteIsNotRetransmitted(t *testing.T) {
	server := New(t, nil)
	b := newFixture(t, 5*time.Second, host("s-1", server.URI("UDP"), 0))
	caller := New(t, nil)
	invite := caller.Invite("UDP", "abc", "1", "")
	send := caller.Send("UDP", b.agent.Addr("UDP"), invite)
	e := server.Wait("INVITE", IsMethod("INVITE"))
	send(cancelOf(invite))
	caller.Wait("487", Status(487, "INVITE"))
	n := server.Count(IsMethod("INVITE"))
	time.Sleep(10 * quickTimers.T1)                           // time for three retransmissions
	if more := server.Count(IsMethod("INVITE")); more > n+1 { // one may have been in flight
		t.Errorf("%d copies were sent after the set-up was cancelled", more-n)
	}
	e.SendBack(server.Reply(e.Msg, 180, "Ringing", ""))
	server.Wait("CANCEL", IsMethod("CANCEL"))
}

// After TurnAway a new INVITE is refused, and an earlier one is still answered.
func TestTurnAway(t *testing.T) {
	forEachTransport(t, func(t *testing.T, proto string) {
		release := make(chan struct{})
		server := New(t, func(p *UserAgent, e ReceivedMessage) {
			if IsMethod("INVITE")(e.Msg) {
				go func() { <-release; answering(p, e) }()
			}
		})
		b := newFixture(t, 5*time.Second, host("s-1", server.URI(proto), 0))
		first, second := New(t, nil), New(t, nil)
		first.Send(proto, b.agent.Addr(proto), first.Invite(proto, "abc", "1", ""))
		server.Wait("INVITE", IsMethod("INVITE"))
		b.agent.TurnAway()
		second.Send(proto, b.agent.Addr(proto), second.Invite(proto, "def", "2", ""))
		second.Wait("503", Status(503, "INVITE"))
		close(release)
		first.Wait("200", Status(200, "INVITE"))
		if n := server.Count(IsMethod("INVITE")); n != 1 {
			t.Errorf("%d INVITEs at the server, want 1", n)
		}
	})
}

// Guards against a set-up without a final response: its CANCEL is known before the core takes it, so that the core withdraws the call by
// itself, ahead of the withdrawal.
func TestCancelAheadOfTheCoreIsAnswered(t *testing.T) {
	forEachTransport(t, func(t *testing.T, proto string) {
		server := New(t, answering)
		b := newFixture(t, 2*time.Second, host("s-1", server.URI(proto), 0))
		taken := make(chan struct{})
		b.core.Post(func() { <-taken })
		caller := New(t, nil)
		invite := caller.Invite(proto, "abc", "4711", "offer")
		send := caller.Send(proto, b.agent.Addr(proto), invite)
		caller.Wait("100", Status(100, "INVITE"))
		send(cancelOf(invite))
		caller.Wait("200 to CANCEL", Status(200, "CANCEL"))
		close(taken)
		caller.Wait("487", Status(487, "INVITE"))
		if n := server.Count(IsMethod("INVITE")); n != 0 {
			t.Errorf("%d set-ups reached the server", n)
		}
	})
}
