package forward

import (
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/quarantine"
)

// requestState is the state of one request in progress.
type requestState struct {
	req      *Request
	route    *catalog.Route
	pool     core.PoolID
	snapshot *catalog.Snapshot
	account  core.AccountID
	rank     int
	// homes holds the regions whose endpoints may get the request.
	homes catalog.Homes
	// targetStart is the time by which the answer should start and startDeadline the
	// time at which the caller leaves if it has not started. After deadline the answer
	// is useless even if it is complete.
	targetStart, startDeadline, deadline time.Time
	// stagesDeadline is the time by which the stages must be done so that the answer
	// can start by startDeadline and be complete by deadline.
	stagesDeadline time.Time
	plan           plan
	// firstEventProbe is true if the request is to correct the estimate of the time to the
	// first event of its route.
	firstEventProbe bool
	// preferredDataCenter is the data centre of the best endpoint when the stages were
	// planned. Stage results are best produced there.
	preferredDataCenter core.DataCenterID
	fingerprint         uint64
	// parts are the parts of the prompt that other requests may have too.
	parts []quarantine.Part
	// probe is true if the request may be sent once although one of its parts is
	// quarantined.
	probe bool
	// sentTo is the endpoint that the request was sent to last, endpointRun its run then.
	sentTo      core.Endpoint
	endpointRun quarantine.EndpointRun
	inputs      *stageResults
	// stageRuns counts how often the stages were run.
	stageRuns int
	outcome   Outcome
	// coldWait is how long the request has waited for permits for cold endpoints.
	coldWait time.Duration
	// permit is the endpoint for which the request has had a permit since permitAt; empty
	// if it has none.
	permit   core.InstanceID
	permitAt time.Time
	// mayHaveRun is true if an endpoint may have run the request.
	mayHaveRun bool
	// answerStarted is true if the answer's status and header were sent to the caller.
	answerStarted bool
	// withinEvent is true while the caller has the beginning of an event without its end,
	// so that no other endpoint can go on with the stream.
	withinEvent bool
	// contentType is the content type of the answer that was started.
	contentType string
	// bodyReleased is true if the request's body is gone, so that no endpoint can get the
	// request any more.
	bodyReleased bool
}

// releaseBody gives up the body of a request that no other endpoint will get.
func (rs *requestState) releaseBody() {
	rs.bodyReleased = true
	rs.req.releaseBody()
}
