package follow

import "fmt"

// OptionsError reports invalid Options.
type OptionsError struct{ Reason string }

// Error implements error.
func (e *OptionsError) Error() string { return "follow: " + e.Reason }

// Advice implements advice.Error.
func (e *OptionsError) Advice() string {
	return `check "control" in the deploy file: each of its replicas needs a unique name and an address`
}

// FileError reports that a file in Options.Dir could not be read or written. The follower continues without it.
type FileError struct {
	File string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("follow: %s: %v", e.File, e.Err) }

// Unwrap returns the error of the file operation.
func (e *FileError) Unwrap() error { return e.Err }

// Advice implements advice.Error.
func (e *FileError) Advice() string {
	return "settings are still followed, but a restart without a control machine starts from the deploy file: check the disk and the permissions of the directory"
}

// DamagedError reports that a file in Options.Dir is damaged or belongs to another gatekeeper. The file is ignored and
// overwritten with the next change.
type DamagedError struct {
	File   string
	Reason string
}

// Error implements error.
func (e *DamagedError) Error() string { return fmt.Sprintf("follow: %s: %s", e.File, e.Reason) }

// Advice implements advice.Error.
func (e *DamagedError) Advice() string {
	return "no action is needed while a control machine answers: the file is ignored and overwritten; if this happens again, check the disk"
}

// CrashedError reports that the process ended each time that a candidate was being put in force.
type CrashedError struct{ Tries int }

// Error implements error.
func (e *CrashedError) Error() string {
	return fmt.Sprintf("follow: the process ended %d times while these settings were put in force", e.Tries)
}

// Advice implements advice.Error.
func (e *CrashedError) Advice() string {
	return "write the record again, or its last good value; report the output of the process at its end"
}

// NoAnswerError reports that a control machine did not answer or send a heartbeat in time.
type NoAnswerError struct{}

// Error implements error.
func (e *NoAnswerError) Error() string { return "no answer or heartbeat in time" }

// Advice implements advice.Error.
func (e *NoAnswerError) Advice() string {
	return "check that the control machine is running and reachable from this machine; another one is tried meanwhile"
}

// UnusableError reports that an event of a control machine was rejected, because it is older than the highest revision seen or
// violates the protocol.
type UnusableError struct{ Revision, Seen uint64 }

// Error implements error.
func (e *UnusableError) Error() string {
	return fmt.Sprintf("unusable event at revision %d; the highest revision seen is %d", e.Revision, e.Seen)
}

// Advice implements advice.Error.
func (e *UnusableError) Advice() string {
	return "another control machine is tried; if all of them are behind, their store was recreated: see docs/design-delivery.md, Revisions"
}
