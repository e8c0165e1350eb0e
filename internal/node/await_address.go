package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/admin"
)

// Intervals of the attempts to listen at an address that another process has, and of their log lines.
const (
	listenInterval    = 50 * time.Millisecond
	listenLogInterval = 10 * time.Second
)

// isInUse reports whether a process can't listen at an address because another one does.
func isInUse(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, admin.ErrInUse)
}

// awaitAddress calls listen until it succeeds. During a hand-over the other process has an address that can't be shared until it ends; this
// one must be ready before that. key is the key of the deploy file that names the address.
func (n *Node) awaitAddress(ctx context.Context, key, address string, listen func() error) {
	log := n.log.WithFields(logrus.Fields{"key": key, "address": address})
	log.Warn("address in use by another process: waiting for it")
	go func() {
		began := time.Now()
		retry, report := time.NewTicker(listenInterval), time.NewTicker(listenLogInterval)
		defer retry.Stop()
		defer report.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-report.C:
				log.WithField("waited_ms", time.Since(began).Milliseconds()).Warn("address in use by another process: waiting for it")
			case <-retry.C:
				err := listen()
				switch {
				case err == nil:
					log.WithField("waited_ms", time.Since(began).Milliseconds()).Info("address is free: listening")
					return
				case !isInUse(err):
					log.WithError(err).Error("address can't be listened at")
					return
				}
			}
		}
	}()
}
