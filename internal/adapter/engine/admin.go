package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"eelgrassgrade/internal/app/commands"
	"eelgrassgrade/internal/core"
)

const (
	// fencingHeader carries the fencing token of a command.
	fencingHeader = "X-Fencing-Token"
	// maxAdminAnswerBytes bounds the answer of an admin endpoint.
	maxAdminAnswerBytes = 64 << 10
)

var _ commands.Engines = (*Admin)(nil)

// Admin reads the state of engines and sends them commands over their admin
// endpoints. It is safe for concurrent use.
type Admin struct{ transport *Transport }

// NewAdmin returns an Admin that uses the transport's connections.
func NewAdmin(t *Transport) *Admin { return &Admin{transport: t} }

// State implements commands.Engines.
func (a *Admin) State(ctx context.Context, e core.Endpoint) (commands.EngineState, error) {
	var s commands.EngineState
	body, err := a.do(ctx, e, http.MethodGet, "/admin/state", nil, 0)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, adminError(e, "the engine's state document is not valid JSON", err)
	}
	return s, nil
}

// Load implements commands.Engines.
func (a *Admin) Load(ctx context.Context, e core.Endpoint, c commands.Command, token uint64) error {
	body, err := json.Marshal(c)
	if err != nil {
		return adminError(e, "the command cannot be encoded", err)
	}
	_, err = a.do(ctx, e, http.MethodPost, "/admin/load", body, token)
	return err
}

func (a *Admin) do(ctx context.Context, e core.Endpoint, method, path string, body []byte, token uint64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, a.transport.scheme+"://"+e.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, adminError(e, "the HTTP request for the engine cannot be built", err)
	}
	// Without GetBody net/http does not resend the command. A resent command could
	// leave after the lease has expired.
	req.GetBody = nil
	if token > 0 {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set(fencingHeader, strconv.FormatUint(token, 10))
	}
	resp, err := a.transport.client.Do(req)
	if err != nil {
		return nil, adminError(e, "the engine does not answer", err)
	}
	defer resp.Body.Close()
	if !validStatus(resp) || resp.StatusCode >= http.StatusMultipleChoices {
		return nil, adminError(e, "the engine answered "+resp.Status, nil)
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminAnswerBytes))
	if err != nil {
		return nil, adminError(e, "the engine's answer could not be read", err)
	}
	return answer, nil
}

func adminError(e core.Endpoint, detail string, err error) *core.Error {
	return &core.Error{Kind: core.Upstream, Step: "engine command", Peer: string(e.ID), Detail: detail, Err: err}
}
