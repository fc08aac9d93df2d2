package forward

import (
	"context"
	"net/http"
	"testing"

	"eelgrassgrade/internal/core"
)

// Guards against the text of an error in the middle of a stream, and against a stream that
// ends as if it were complete: the first endpoint breaks off after it has begun, and the
// next one answers with an error.
func TestAnErrorOfTheNextEndpointIsNotPartOfTheStream(t *testing.T) {
	const begun = "id: 1\ndata: x\n\n"
	const failure = "HTTP/1.1 500 Internal Server Error\r\n\r\n{\"error\": \"out of memory\"}"
	for name, next := range map[string]endpointBehavior{
		"server error":           {status: http.StatusInternalServerError, body: failure},
		"bad gateway":            {status: http.StatusBadGateway, body: failure},
		"client error":           {status: http.StatusBadRequest, body: failure},
		"refusal":                {status: http.StatusServiceUnavailable, body: failure, notStarted: true},
		"inputs gone":            {status: http.StatusConflict, body: failure, notStarted: true, inputsGone: true},
		"success without a mark": {body: failure, forged: true},
		"error as a success":     {body: failure, header: http.Header{"Content-Type": {"application/json"}}},
		"no answer":              {err: unknownOutcomeError()},
		"no connection":          {err: connectionError()},
	} {
		for _, route := range []string{"resume", "staged-resume"} {
			t.Run(name+", "+route, func(t *testing.T) {
				withFakePlatform(t, 4, func(p *fakePlatform) {
					p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
						if n == 1 {
							return endpointBehavior{body: begun + "id: 2\nda", breaksOff: true, header: http.Header{"Content-Type": {"text/event-stream"}}}
						}
						return next
					}
					got := p.serve(context.Background(), route, onePiecePerStage)
					if got.body != begun || !got.cut || got.err == nil {
						t.Errorf("the caller got %q, cut %v, error %v; want %q and a cut connection", got.body, got.cut, got.err, begun)
					}
				})
			})
		}
	}
}
