package core

import (
	"context"

	"github.com/juju/errors"
)

// ErrStopping is the cause with which the contexts of requests are cancelled that outlast
// the stop of the daemon.
const ErrStopping = errors.ConstError("the daemon ends")

// WithoutCaller returns a context with the values of ctx that goes on when the caller
// leaves. It ends with the daemon, unless the caller has left before, and when cancel is
// called.
func WithoutCaller(ctx context.Context) (_ context.Context, cancel context.CancelFunc) {
	detached, cancelCause := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if context.Cause(ctx) == ErrStopping {
			cancelCause(ErrStopping)
		}
	})
	return detached, func() {
		stop()
		cancelCause(nil)
	}
}
