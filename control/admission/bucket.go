package admission

import (
	"math"

	"beammux/control"
)

// roundOff is how much a bucket may lack of a token that it should hold by its own arithmetic.
const roundOff = 1e-6

// buckets are the two of a controller. They are a value: a copy is a trial of what is to come.
type buckets struct{ sessions, snapshots bucket }

func newBuckets(l Limits) buckets {
	return buckets{newBucket(l.SessionsPerSecond, l.SessionsBurst), newBucket(l.SnapshotsPerSecond, l.SnapshotsBurst)}
}

func (b *buckets) advance(now control.Micros) {
	b.sessions.advance(now)
	b.snapshots.advance(now)
}

// hold reports whether there is a token for a session, and one for a snapshot if it needs one.
func (b *buckets) hold(snapshot bool) bool {
	return b.sessions.holds() && (!snapshot || b.snapshots.holds())
}

func (b *buckets) spend(snapshot bool) {
	b.sessions.spend()
	if snapshot {
		b.snapshots.spend()
	}
}

// ready is the time from which on the buckets hold the tokens for a session.
func (b *buckets) ready(snapshot bool) control.Micros {
	at := b.sessions.ready()
	if snapshot {
		at = max(at, b.snapshots.ready())
	}
	return at
}

// spacing is the least time between the slots of two sessions, of which both may need snapshots.
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
	at                      control.Micros
	begun                   bool
}

func newBucket(perSecond float64, burst int) bucket {
	b := bucket{perMicro: perSecond / 1e6, burst: float64(max(burst, MinBurst))}
	b.tokens = b.burst
	return b
}

func (b *bucket) bounds() bool { return b.perMicro > 0 }

func (b *bucket) advance(now control.Micros) {
	if b.begun {
		b.tokens = min(b.burst, b.tokens+b.perMicro*float64(now-b.at))
	}
	b.begun, b.at = true, now
}

func (b *bucket) holds() bool { return !b.bounds() || b.tokens >= 1-roundOff }

func (b *bucket) spend() {
	if b.bounds() {
		b.tokens--
	}
}

func (b *bucket) ready() control.Micros {
	if b.holds() {
		return b.at
	}
	return b.at + control.Micros(math.Ceil((1-b.tokens)/b.perMicro))
}

func (b *bucket) spacing() control.Micros {
	if !b.bounds() {
		return 0
	}
	return control.Micros(math.Ceil(1 / b.perMicro))
}
