package follow

import "fmt"

// OptionsError says that a follower can't be opened with its options.
type OptionsError struct{ What string }

func (e *OptionsError) Error() string { return "follow: " + e.What }

// Advice implements advice.Error.
func (e *OptionsError) Advice() string {
	return `look at "control" in the deploy file: each of its replicas has a name of its own and an address`
}

// FileError says that a file of the directory can't be read or written. The follower goes on without it.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("follow: %s: %v", e.File, e.Err) }

func (e *FileError) Unwrap() error { return e.Err }

// Advice implements advice.Error.
func (e *FileError) Advice() string {
	return "settings are followed all the same, but a restart without a control machine starts from the deploy file: look at the directory's disk and rights"
}

// DamagedError says that a file of the directory holds no settings of this gatekeeper. It is ignored, and written anew with the
// next change.
type DamagedError struct {
	File string
	What string
}

func (e *DamagedError) Error() string { return fmt.Sprintf("follow: %s: %s", e.File, e.What) }

// Advice implements advice.Error.
func (e *DamagedError) Advice() string {
	return "nothing to do while a control machine answers: the file is ignored and written anew; if it happens again look at the disk"
}

// CrashedError says that the process ended each time while a candidate was being put in force.
type CrashedError struct{ Tries int }

func (e *CrashedError) Error() string {
	return fmt.Sprintf("follow: the process ended %d times while these settings were put in force", e.Tries)
}

// Advice implements advice.Error.
func (e *CrashedError) Advice() string {
	return "write the record anew, or its last good value; report what the process printed when it ended"
}

// NoAnswerError says that a control machine did not answer, or sent no heartbeat, in time.
type NoAnswerError struct{}

func (e *NoAnswerError) Error() string { return "no answer in time" }

// Advice implements advice.Error.
func (e *NoAnswerError) Advice() string {
	return "see whether the control machine runs and whether this machine reaches it; another one is tried meanwhile"
}

// UnusableError says that an event of a control machine was not taken: it is older than what was seen, or breaks the protocol.
type UnusableError struct{ Revision, Seen uint64 }

func (e *UnusableError) Error() string {
	return fmt.Sprintf("it is at revision %d, and %d was seen", e.Revision, e.Seen)
}

// Advice implements advice.Error.
func (e *UnusableError) Advice() string {
	return "another control machine is tried; if all of them are behind, their store was made anew: see docs/design-delivery.md, Revisions"
}
