// Package opapi serves the operator API over HTTP.
package opapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	goahttp "goa.design/goa/v3/http"

	"eelgrassgrade/gen/callers"
	opserver "eelgrassgrade/gen/http/operators/server"
	"eelgrassgrade/gen/operators"
	"eelgrassgrade/internal/adapter/httpapi"
	"eelgrassgrade/internal/app/confsync"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
)

// ConfigStore applies and reads configuration versions.
type ConfigStore interface {
	// Apply accepts src as the successor of version base.
	Apply(ctx context.Context, base config.Version, author string, src []byte) (confsync.Applied, error)
	// History describes the last limit versions, newest first.
	History(ctx context.Context, limit int) ([]confsync.Info, error)
	// Source returns the source of version v and its number; 0 means the version in
	// force.
	Source(ctx context.Context, v config.Version) ([]byte, config.Version, error)
}

// DaemonStatus describes one daemon.
type DaemonStatus struct {
	Instance    core.InstanceID
	DataCenter  core.DataCenterID
	Version     config.Version
	Ready       bool
	Leaving     []core.InstanceID
	Quarantined int
	// ViewAge is the age of the membership view, negative if there is none.
	ViewAge            time.Duration
	RequestsInProgress int
	// Err says why the status is unknown. It is empty if the daemon answered.
	Err string
}

// LeaveResult is the result of a leave announcement.
type LeaveResult struct {
	// Durable reports whether the table service has recorded the leave.
	Durable bool
	// DaemonsInformed is the number of daemons that confirmed the leave, out of
	// DaemonsKnown live daemons. Both include this daemon.
	DaemonsInformed int
	DaemonsKnown    int
}

// Fleet gives access to all daemons.
type Fleet interface {
	// Status describes this daemon and its peers. A peer that does not answer within
	// 1 s is described with Err set.
	Status(ctx context.Context) []DaemonStatus
	// Leave announces to all daemons that an instance leaves.
	Leave(ctx context.Context, id core.InstanceID) (LeaveResult, error)
}

var _ operators.Service = (*service)(nil)

type service struct {
	keyDigests [][]byte
	configs    ConfigStore
	fleet      Fleet
}

// Handler returns the handler of the operator API. keysSHA256 holds the hex SHA-256
// digests of the operator keys; without any, every request is refused.
func Handler(keysSHA256 []string, configs ConfigStore, fleet Fleet) http.Handler {
	s := &service{configs: configs, fleet: fleet}
	for _, k := range keysSHA256 {
		if raw, err := hex.DecodeString(k); err == nil {
			s.keyDigests = append(s.keyDigests, raw)
		}
	}
	mux := goahttp.NewMuxer()
	opserver.Mount(mux, opserver.New(operators.NewEndpoints(s), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, formatError))
	return httpapi.WithRequestID(mux)
}

func (s *service) authorize(ctx context.Context, authorization *string) error {
	if authorization != nil {
		key, _ := strings.CutPrefix(*authorization, "Bearer ")
		digest := sha256.Sum256([]byte(key))
		for _, k := range s.keyDigests {
			if subtle.ConstantTimeCompare(k, digest[:]) == 1 {
				return nil
			}
		}
	}
	return problem(ctx, &core.Error{Kind: core.Unauthorized, Step: "authentication", Ran: core.RanNot, Detail: "the request has no valid operator key"})
}

// formatError turns problems of the operator API into those of the caller API, which
// have the same fields, and formats them.
func formatError(ctx context.Context, err error) goahttp.Statuser {
	var p *operators.Problem
	if errors.As(err, &p) {
		c := callers.Problem(*p)
		err = &c
	}
	return httpapi.FormatError(ctx, err)
}

func problem(ctx context.Context, err error) error {
	p := operators.Problem(*httpapi.Problem(ctx, err))
	return &p
}

// Apply implements operators.Service.
func (s *service) Apply(ctx context.Context, p *operators.ApplyPayload, body io.ReadCloser) (*operators.ApplyResult, error) {
	if err := s.authorize(ctx, p.Authorization); err != nil {
		return nil, err
	}
	src, err := io.ReadAll(io.LimitReader(body, config.MaxSourceBytes+1))
	if err != nil {
		return nil, problem(ctx, &core.Error{Kind: core.Invalid, Step: "decoding", Ran: core.RanNot, Detail: "the body could not be read", Err: err})
	}
	author := ""
	if p.Author != nil {
		author = *p.Author
	}
	a, err := s.configs.Apply(ctx, config.Version(p.Base), author, src)
	if err != nil {
		return nil, problem(ctx, err)
	}
	return &operators.ApplyResult{Version: uint64(a.Info.Version), Sha256: a.Info.SHA256, PeersAcknowledged: a.PeersAcknowledged}, nil
}

// Show implements operators.Service.
func (s *service) Show(ctx context.Context, p *operators.ShowPayload) (*operators.ShowResult, io.ReadCloser, error) {
	if err := s.authorize(ctx, p.Authorization); err != nil {
		return nil, nil, err
	}
	var v uint64
	if p.Version != nil {
		v = *p.Version
	}
	src, found, err := s.configs.Source(ctx, config.Version(v))
	if err != nil {
		return nil, nil, problem(ctx, err)
	}
	res := &operators.ShowResult{Version: uint64(found), ContentType: "application/json"}
	return res, io.NopCloser(strings.NewReader(string(src))), nil
}

// History implements operators.Service.
func (s *service) History(ctx context.Context, p *operators.HistoryPayload) ([]*operators.VersionInfo, error) {
	if err := s.authorize(ctx, p.Authorization); err != nil {
		return nil, err
	}
	infos, err := s.configs.History(ctx, p.Limit)
	if err != nil {
		return nil, problem(ctx, err)
	}
	out := make([]*operators.VersionInfo, len(infos))
	for i, info := range infos {
		at := info.AppliedAt.Format(time.RFC3339)
		out[i] = &operators.VersionInfo{Version: uint64(info.Version), Sha256: info.SHA256, Author: &info.Author, AppliedAt: &at}
	}
	return out, nil
}

// Status implements operators.Service.
func (s *service) Status(ctx context.Context, p *operators.StatusPayload) (*operators.StatusResult, error) {
	if err := s.authorize(ctx, p.Authorization); err != nil {
		return nil, err
	}
	res := &operators.StatusResult{Daemons: []*operators.DaemonStatus{}}
	for _, d := range s.fleet.Status(ctx) {
		res.Daemons = append(res.Daemons, newDaemonStatus(d))
	}
	return res, nil
}

func newDaemonStatus(d DaemonStatus) *operators.DaemonStatus {
	leaving := make([]string, len(d.Leaving))
	for i, id := range d.Leaving {
		leaving[i] = string(id)
	}
	age := d.ViewAge.Milliseconds()
	if d.ViewAge < 0 {
		age = -1
	}
	status := &operators.DaemonStatus{Instance: string(d.Instance), DataCenter: string(d.DataCenter), Version: uint64(d.Version), Ready: d.Ready,
		Leaving: leaving, Quarantined: &d.Quarantined, ViewAgeMs: &age, RequestsInProgress: &d.RequestsInProgress}
	if d.Err != "" {
		status.Error = &d.Err
	}
	return status
}

// Leave implements operators.Service.
func (s *service) Leave(ctx context.Context, p *operators.LeavePayload) (*operators.LeaveResult, error) {
	if err := s.authorize(ctx, p.Authorization); err != nil {
		return nil, err
	}
	a, err := s.fleet.Leave(ctx, core.InstanceID(p.Instance))
	if err != nil {
		return nil, problem(ctx, err)
	}
	return &operators.LeaveResult{Durable: a.Durable, DaemonsInformed: a.DaemonsInformed, DaemonsKnown: a.DaemonsKnown}, nil
}
