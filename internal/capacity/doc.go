// Package capacity computes docs/CAPACITY.md: how the cost of each mechanism grows with the size of the deployment, and
// whether the cost stays within its budget at the planned size.
//
// It parses inputs (numbers of the plan) and measured series (a cost at several sizes), fits the laws constant,
// logarithmic, linear and square to each series, extrapolates to the planned size, and renders the tables of the page
// between markers. It does no I/O: its callers read the files, and package slopes makes the measurements.
package capacity
