package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
)

// Guards against requests that are accepted while the daemon does not know which
// endpoints are leaving, and against a refusal that does not say "not run".
func TestRefusesWithoutFreshView(t *testing.T) {
	g := New(func() *config.Snapshot { return nil }, nil, nil)
	g.RequireFreshView(func(time.Time) bool { return false })
	_, first := g.RunPipeline(context.Background(), Caller{}, PipelineRequest{}, nil)
	_, second := g.CallService(context.Background(), Caller{}, ServiceRequest{})
	for _, err := range []error{first, second} {
		var e *core.Error
		if !errors.As(err, &e) || e.Step != "membership" || e.Kind != core.Unavailable || e.Ran != core.RanNot || e.RetryAfter <= 0 {
			t.Errorf("got %v", err)
		}
	}
}
