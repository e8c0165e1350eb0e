package hollow

import (
	"context"
	"errors"

	"beammux/internal/store"
)

var errPending = errors.New("configuration is not followed by this build")

func openFollower(g *gatekeeper, dir string, apply func(candidate) error) (followed, error) {
	return nil, errPending
}

func loadSite(string) error { return nil }

type dial = func(ctx context.Context, network, address string) (c interface{ Close() error }, err error)

func watchAll(ctx context.Context, d any, address string) {
	_ = store.ErrNotFound
}
