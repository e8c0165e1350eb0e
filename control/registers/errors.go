package registers

import "fmt"

// TooLarge reports that a value exceeds the size bound of its topic. The value was rejected.
type TooLarge struct {
	Topic      Topic
	Origin     string
	Bytes, Max int
}

func (e *TooLarge) Error() string {
	return fmt.Sprintf("registers: value of topic %s from %s has %d bytes, the limit is %d", e.Topic, e.Origin, e.Bytes, e.Max)
}

// Advice implements advice.Error.
func (e *TooLarge) Advice() string {
	return "configure fewer rules or numbers in the section of this topic, or check whether " + e.Origin + " runs the same version"
}

// BadOrigin reports that the name of a register's origin is empty or too long.
type BadOrigin struct{ Bytes int }

func (e *BadOrigin) Error() string {
	return fmt.Sprintf("registers: origin name has %d bytes, must have 1 to %d", e.Bytes, maxNameLength)
}

// Advice implements advice.Error.
func (e *BadOrigin) Advice() string {
	return "a program that is not a gatekeeper sends to the gossip port: find it, and set key_file"
}

// Crowded reports that a register was rejected because its topic already holds the greatest number of origins.
type Crowded struct {
	Origin string
	Max    int
}

func (e *Crowded) Error() string {
	return fmt.Sprintf("registers: register from %s rejected: %d origins are held already", e.Origin, e.Max)
}

// Advice implements advice.Error.
func (e *Crowded) Advice() string {
	return "there are more gatekeepers than this version supports, or their names change at each start: give each a permanent name"
}

// Doubled reports that another process publishes under this member's name, with a later start than its own.
type Doubled struct {
	Origin          string
	Start, OwnStart uint64
}

func (e *Doubled) Error() string {
	return fmt.Sprintf("registers: another process publishes as %s with start %d, this member has start %d", e.Origin, e.Start, e.OwnStart)
}

// Advice implements advice.Error.
func (e *Doubled) Advice() string {
	return "two gatekeepers have the same name: give each its own; or this machine's clock was set back: correct it and restart"
}

// Unset reports that a value was put under a topic that has no spec.
type Unset struct{ Topic Topic }

func (e *Unset) Error() string { return fmt.Sprintf("registers: topic %s has no spec", e.Topic) }

// Advice implements advice.Error.
func (e *Unset) Advice() string {
	return "this is a bug: report it with the version; nothing was published to the fleet"
}
