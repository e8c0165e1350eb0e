// Package advice connects errors with advice for the operator. The errors of the fleet packages are types of their own
// with an Advice method; log lines and GET /api/fleet show the advice beside the error.
package advice

import "errors"

// Error is an error with one sentence of advice on what an operator can do about it.
type Error interface {
	error
	Advice() string
}

// Of returns the advice of the first error in a chain that has any, or "" if none has.
func Of(err error) string {
	var adviser Error
	if errors.As(err, &adviser) {
		return adviser.Advice()
	}
	return ""
}
