package registers

import "fmt"

// TooLarge says that a value is over its topic's bound. It was not taken.
type TooLarge struct {
	Topic      Topic
	Origin     string
	Bytes, Max int
}

func (e *TooLarge) Error() string {
	return fmt.Sprintf("registers: %s of %s has %d bytes, over %d", e.Topic, e.Origin, e.Bytes, e.Max)
}

// Advice implements advice.Error.
func (e *TooLarge) Advice() string {
	return "name fewer rules or numbers in the section of this topic, or look whether " + e.Origin + " runs the same version"
}

// BadOrigin says that a register names no possible origin.
type BadOrigin struct{ Bytes int }

func (e *BadOrigin) Error() string {
	return fmt.Sprintf("registers: an origin's name of %d bytes; it must have 1 to %d", e.Bytes, maxNameLength)
}

// Advice implements advice.Error.
func (e *BadOrigin) Advice() string {
	return "something that is no gatekeeper talks on the gossip port: look who, and set key_file"
}

// Crowded says that registers of too many origins are held already.
type Crowded struct {
	Origin string
	Max    int
}

func (e *Crowded) Error() string {
	return fmt.Sprintf("registers: no room for %s: %d origins are held", e.Origin, e.Max)
}

// Advice implements advice.Error.
func (e *Crowded) Advice() string {
	return "more gatekeepers than this version carries, or names that change at each start: give each a name that stays"
}

// Doubled says that somebody else publishes under this member's name, with a later start than its own.
type Doubled struct {
	Origin          string
	Start, OwnStart uint64
}

func (e *Doubled) Error() string {
	return fmt.Sprintf("registers: %s of start %d publishes under the name of this member, which started at %d", e.Origin, e.Start, e.OwnStart)
}

// Advice implements advice.Error.
func (e *Doubled) Advice() string {
	return "two gatekeepers have one name: give each its own; or this machine's clock was set back: set it right and restart"
}

// Unset says that a topic was published that this book does not carry.
type Unset struct{ Topic Topic }

func (e *Unset) Error() string { return fmt.Sprintf("registers: topic %s is not carried", e.Topic) }

// Advice implements advice.Error.
func (e *Unset) Advice() string {
	return "a defect of this program: report it with the version; nothing was told to the fleet"
}
