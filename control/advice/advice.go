// Package advice says what an operator can do about an error. Errors of the fleet's parts are types of their own, each with
// an Advice; log lines and GET /api/fleet carry it beside the error.
package advice

import "errors"

// Error is an error that says what an operator can do about it, in one sentence.
type Error interface {
	error
	Advice() string
}

// Of gives the advice of the first error in a chain that has any; "" where none has.
func Of(err error) string {
	var adviser Error
	if errors.As(err, &adviser) {
		return adviser.Advice()
	}
	return ""
}
