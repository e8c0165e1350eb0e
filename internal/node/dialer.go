package node

import (
	"context"
	"fmt"
	"strings"

	"beammux/internal/protocol/sip"
	"beammux/internal/routing"
)

// dialer picks the dialect by the form of a server's address.
type dialer struct {
	platform *sip.PlatformDialer
	agent    *sip.Agent
}

// Lines implements routing.Dialer.
func (d *dialer) MaxConns(addr string) int { return d.dialect(addr).MaxConns(addr) }

// Dial implements routing.Dialer.
func (d *dialer) Dial(ctx context.Context, addr string, events routing.ServerEvents) (routing.ServerConn, error) {
	return d.dialect(addr).Dial(ctx, addr, events)
}

func (d *dialer) dialect(addr string) routing.Dialer {
	switch {
	case !strings.HasPrefix(addr, "sip:"):
		return d.platform
	case d.agent == nil:
		return noDialer{}
	}
	return d.agent
}

// noDialer stands for the SIP front while that is off.
type noDialer struct{}

func (noDialer) MaxConns(string) int { return 1 }

func (noDialer) Dial(_ context.Context, addr string, _ routing.ServerEvents) (routing.ServerConn, error) {
	return nil, fmt.Errorf("server %s needs the SIP front, which is off", addr)
}
