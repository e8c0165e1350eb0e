// Package capacity computes docs/CAPACITY.md: how the cost of each mechanism grows with the size of the deployment, and
// whether it stays within its budget at the size planned for.
//
// It reads inputs (numbers of the plan) and measured series (a cost at several sizes), fits each series to the laws
// constant, logarithmic, linear and square, extrapolates to the planned size, and renders the tables of the page between
// markers. It does no I/O: files are read by its callers, measurements are made by package slopes.
package capacity
