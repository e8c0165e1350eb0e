package scalelab

import (
	"context"

	"beammux/internal/store"
)

// transact writes both records of a change in one transaction and returns its revision.
func transact(ctx context.Context, address string, calls, limits []byte) (uint64, error) {
	return store.TransactTo(ctx, address, []store.Write{{Key: callsKey, Value: calls}, {Key: limitsKey, Value: limits}})
}
