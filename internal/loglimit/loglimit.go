// Package loglimit bounds the rate of log entries that a fault can cause once for each call or connection.
package loglimit

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Rate and burst of the entries of one Limiter.
const (
	entriesPerSecond = 5
	entryBurst       = 20
)

// Limiter passes a bounded rate of entries to a log. The entry after a gap carries the number of those left out, in the field
// suppressed. It is safe for concurrent use.
type Limiter struct {
	log        logrus.FieldLogger
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

// New returns a Limiter for a log.
func New(log logrus.FieldLogger) *Limiter {
	return &Limiter{log: log, limiter: rate.NewLimiter(entriesPerSecond, entryBurst)}
}

// Info logs an entry at the info level, unless the rate is exceeded.
func (l *Limiter) Info(message string, fields logrus.Fields) {
	if log := l.entry(fields); log != nil {
		log.Info(message)
	}
}

// Warn logs an entry at the warning level, unless the rate is exceeded.
func (l *Limiter) Warn(message string, fields logrus.Fields) {
	if log := l.entry(fields); log != nil {
		log.Warn(message)
	}
}

// entry returns the log for one entry, or nil if the rate is exceeded.
func (l *Limiter) entry(fields logrus.Fields) logrus.FieldLogger {
	if !l.limiter.Allow() {
		l.suppressed.Add(1)
		return nil
	}
	log := l.log.WithFields(fields)
	if n := l.suppressed.Swap(0); n > 0 {
		log = log.WithField("suppressed", n)
	}
	return log
}
