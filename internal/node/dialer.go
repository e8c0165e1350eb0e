package node

import (
	"context"
	"fmt"
	"strings"

	"beammux/internal/protocol/sip"
	"beammux/internal/routing"
)

// dialer selects the protocol by the form of a server's address: SIP URIs go to the SIP agent, all other addresses to the
// platform's dialer.
type dialer struct {
	platform *sip.PlatformDialer
	agent    *sip.Agent
}

// MaxConns implements routing.Dialer.
func (d *dialer) MaxConns(addr string) int { return d.dialerFor(addr).MaxConns(addr) }

// Announces implements routing.Dialer.
func (d *dialer) Announces(addr string) bool { return d.dialerFor(addr).Announces(addr) }

// Endpoint implements routing.Dialer.
func (d *dialer) Endpoint(addr string) string { return d.dialerFor(addr).Endpoint(addr) }

// Dial implements routing.Dialer.
func (d *dialer) Dial(ctx context.Context, addr string, events routing.ServerEvents) (routing.ServerConn, error) {
	return d.dialerFor(addr).Dial(ctx, addr, events)
}

// dialerFor returns the dialer that handles an address.
func (d *dialer) dialerFor(addr string) routing.Dialer {
	switch {
	case !strings.HasPrefix(addr, "sip:"):
		return d.platform
	case d.agent == nil:
		return noDialer{}
	}
	return d.agent
}

// noDialer replaces the SIP agent while the SIP front is disabled: every dial fails.
type noDialer struct{}

func (noDialer) MaxConns(string) int { return 1 }

func (noDialer) Announces(string) bool { return false }

func (noDialer) Endpoint(addr string) string { return addr }

func (noDialer) Dial(_ context.Context, addr string, _ routing.ServerEvents) (routing.ServerConn, error) {
	return nil, fmt.Errorf("server %s requires the SIP front, which is disabled", addr)
}
