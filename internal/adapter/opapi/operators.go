// Package opapi serves the operator API, health and metrics over HTTP.
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

// Lists is the configuration as the operator API needs it.
type Lists interface {
	Apply(ctx context.Context, base config.Version, author string, src []byte) (confsync.Applied, error)
	History(ctx context.Context, limit int) ([]confsync.Info, error)
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
	// ViewAge is the age of the membership view; negative means none.
	ViewAge            time.Duration
	RequestsInProgress int
	// Err says why the status is unknown, or is empty.
	Err string
}

// Announced is the result of a leave announcement.
type Announced struct {
	// Durable says whether the table service has recorded it.
	Durable  bool
	Informed int
	Known    int
}

// Fleet is the view of all daemons.
type Fleet interface {
	// Status describes this daemon and the peers that answer within 1 s.
	Status(ctx context.Context) []DaemonStatus
	// Leave announces that an instance leaves.
	Leave(ctx context.Context, id core.InstanceID) (Announced, error)
}

var _ operators.Service = (*service)(nil)

type service struct {
	keys  [][]byte
	lists Lists
	fleet Fleet
}

// Handler returns the operator API's handler. keysSHA256 holds the hex digests
// of the operators' keys; none means that every request is refused.
func Handler(keysSHA256 []string, lists Lists, fleet Fleet) http.Handler {
	s := &service{lists: lists, fleet: fleet}
	for _, k := range keysSHA256 {
		if raw, err := hex.DecodeString(k); err == nil {
			s.keys = append(s.keys, raw)
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
		for _, k := range s.keys {
			if subtle.ConstantTimeCompare(k, digest[:]) == 1 {
				return nil
			}
		}
	}
	return problem(ctx, &core.Error{Kind: core.Unauthorized, Step: "authentication", Ran: core.RanNot, Detail: "the key is no operator's key"})
}

// formatError turns the operator API's problems into the caller API's form.
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
	a, err := s.lists.Apply(ctx, config.Version(p.Base), author, src)
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
	src, found, err := s.lists.Source(ctx, config.Version(v))
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
	infos, err := s.lists.History(ctx, p.Limit)
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
		res.Daemons = append(res.Daemons, statusOf(d))
	}
	return res, nil
}

func statusOf(d DaemonStatus) *operators.DaemonStatus {
	leaving := make([]string, len(d.Leaving))
	for i, id := range d.Leaving {
		leaving[i] = string(id)
	}
	age := d.ViewAge.Milliseconds()
	if d.ViewAge < 0 {
		age = -1
	}
	out := &operators.DaemonStatus{Instance: string(d.Instance), DataCenter: string(d.DataCenter), Version: uint64(d.Version), Ready: d.Ready,
		Leaving: leaving, Quarantined: &d.Quarantined, ViewAgeMs: &age, RequestsInProgress: &d.RequestsInProgress}
	if d.Err != "" {
		out.Error = &d.Err
	}
	return out
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
	return &operators.LeaveResult{Durable: a.Durable, DaemonsInformed: a.Informed, DaemonsKnown: a.Known}, nil
}
