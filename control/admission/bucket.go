package admission

import (
	"math"

	"beammux/control"
)

// roundingTolerance is the part of a token that a bucket may lack because of floating-point rounding.
const roundingTolerance = 1e-6

// buckets are the two buckets of a controller. The type is a value: a copy simulates future operations.
type buckets struct{ sessions, snapshots bucket }

func newBuckets(l Limits) buckets {
	return buckets{newBucket(l.SessionsPerSecond, l.SessionsBurst), newBucket(l.SnapshotsPerSecond, l.SnapshotsBurst)}
}

func (b *buckets) advance(now control.Micros) {
	b.sessions.advance(now)
	b.snapshots.advance(now)
}

// hasTokens reports whether there is a token for a session and, if it needs a snapshot, one for that too.
func (b *buckets) hasTokens(snapshot bool) bool {
	return b.sessions.hasToken() && (!snapshot || b.snapshots.hasToken())
}

func (b *buckets) take(snapshot bool) {
	b.sessions.take()
	if snapshot {
		b.snapshots.take()
	}
}

// readyAt returns the time from which on the buckets hold the tokens for a session.
func (b *buckets) readyAt(snapshot bool) control.Micros {
	at := b.sessions.readyAt()
	if snapshot {
		at = max(at, b.snapshots.readyAt())
	}
	return at
}

// spacing returns the shortest time between the slots of two sessions; snapshots means that both need one.
func (b *buckets) spacing(snapshots bool) control.Micros {
	spacing := b.sessions.spacing()
	if snapshots {
		spacing = max(spacing, b.snapshots.spacing())
	}
	return spacing
}

// bucket is a token bucket. Without a rate it always holds a token.
type bucket struct {
	perMicro, burst, tokens float64
	updatedAt               control.Micros
	started                 bool
}

func newBucket(perSecond float64, burst int) bucket {
	b := bucket{perMicro: perSecond / 1e6, burst: float64(max(burst, MinBurst))}
	b.tokens = b.burst
	return b
}

func (b *bucket) limited() bool { return b.perMicro > 0 }

func (b *bucket) advance(now control.Micros) {
	if b.started {
		b.tokens = min(b.burst, b.tokens+b.perMicro*float64(now-b.updatedAt))
	}
	b.started, b.updatedAt = true, now
}

func (b *bucket) hasToken() bool { return !b.limited() || b.tokens >= 1-roundingTolerance }

func (b *bucket) take() {
	if b.limited() {
		b.tokens--
	}
}

func (b *bucket) readyAt() control.Micros {
	if b.hasToken() {
		return b.updatedAt
	}
	return b.updatedAt + control.Micros(math.Ceil((1-b.tokens)/b.perMicro))
}

func (b *bucket) spacing() control.Micros {
	if !b.limited() {
		return 0
	}
	return control.Micros(math.Ceil(1 / b.perMicro))
}
