package scope

import (
	"fmt"
	"strings"
)

// KeyFault is what is wrong with a key.
type KeyFault int

// The faults of a key.
const (
	MissingPrefix  KeyFault = iota // it does not begin with Prefix
	UnknownScope                   // the part after the prefix is no kind of scope
	WrongPartCount                 // it has too few or too many parts
	InvalidName                    // the scope's name can't be one
	UnknownSection                 // there is no such section
)

// KeyError says that a key is not that of a settings record.
type KeyError struct {
	Key   string
	Fault KeyFault
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("scope: key %q %s", e.Key, e.what())
}

func (e *KeyError) what() string {
	switch e.Fault {
	case MissingPrefix:
		return fmt.Sprintf("does not begin with %q", Prefix)
	case UnknownScope:
		return "names no scope"
	case WrongPartCount:
		return "does not have the parts of a settings key"
	case InvalidName:
		return fmt.Sprintf("has a name that is empty, longer than %d bytes, or holds spaces or control characters", MaxName)
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

// NameError says that a name of a gatekeeper, or of its region, zone or service, can't stand in a key.
type NameError struct {
	Kind Kind
	Name string
}

func (e *NameError) Error() string {
	return fmt.Sprintf("scope: the %s's name %q can't stand in a key", e.Kind, e.Name)
}

// Advice implements advice.Error.
func (e *NameError) Advice() string {
	return fmt.Sprintf("choose a name of 1 to %d bytes without slashes, spaces and control characters", MaxName)
}
