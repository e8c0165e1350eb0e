package scope

import (
	"fmt"
	"strings"
)

// KeyFault is the reason why a key is invalid.
type KeyFault int

// The reasons why a key is invalid.
const (
	MissingPrefix  KeyFault = iota // the key does not begin with Prefix
	UnknownScope                   // the part after the prefix is not a kind of scope
	WrongPartCount                 // the key has too few or too many parts
	InvalidName                    // the name of the scope is invalid
	UnknownSection                 // the section does not exist
)

// KeyError reports that a key is not the key of a settings record.
type KeyError struct {
	Key   string
	Fault KeyFault
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("scope: key %q %s", e.Key, e.description())
}

// description returns the predicate of the error text: what is wrong with the key.
func (e *KeyError) description() string {
	switch e.Fault {
	case MissingPrefix:
		return fmt.Sprintf("does not begin with %q", Prefix)
	case UnknownScope:
		return "names no scope"
	case WrongPartCount:
		return "does not have the parts of a settings key"
	case InvalidName:
		return fmt.Sprintf("has a name that is empty, longer than %d bytes, or holds spaces or control characters", MaxNameLength)
	}
	return "names no section"
}

// Advice implements advice.Error.
func (e *KeyError) Advice() string {
	switch e.Fault {
	case UnknownScope:
		return "the scope is one of " + strings.Join(kindNames[:], ", ") + ": for instance settings/zone/NAME/limits"
	case InvalidName:
		return "write the name of the region, zone, service or gatekeeper as its deploy file has it"
	case UnknownSection:
		return "the section is one of " + strings.Join(sections, ", ")
	}
	return "write settings/all/SECTION, or settings/SCOPE/NAME/SECTION with SCOPE one of " + strings.Join(kindNames[1:], ", ")
}

// NameError reports that the name of a gatekeeper, or of its region, zone or service, is not valid in a key.
type NameError struct {
	Kind Kind
	Name string
}

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("scope: the %s's name %q is not valid in a key", e.Kind, e.Name)
}

// Advice implements advice.Error.
func (e *NameError) Advice() string {
	return fmt.Sprintf("choose a name of 1 to %d bytes without slashes, spaces and control characters", MaxNameLength)
}
