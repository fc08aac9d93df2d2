package settings

import (
	"cmp"
	"fmt"
	"math"
	"net"
	"os"
	"syscall"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/clients"
	"eelgrassgrade/internal/jsonc"
)

// Hosted is the settings file of a daemon on a hosted platform, whose store holds
// the configuration and the list of endpoints.
type Hosted struct {
	// Instance is the name of this daemon's machine.
	Instance string `json:"instance"`
	// DataCenter is the data centre in which the daemon runs.
	DataCenter string `json:"data_center"`
	// Regions holds the region of each data centre. Requests that are restricted to
	// regions reach only endpoints in data centres that are listed here.
	Regions map[string]string `json:"regions,omitempty"`
	Listen  HostedListen      `json:"listen"`
	// Store is the address of the platform's store, host:port.
	Store string `json:"store"`
	// Peers lists the addresses of other daemons to contact at start. Some may be
	// outdated.
	Peers []string `json:"peers,omitempty"`
	// Cores and MemoryMB are the numbers of CPU cores and megabytes of memory that the
	// process may use.
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	// MaxFDs is the number of descriptors that the process may open. Default: the limit of
	// the operating system for the process.
	MaxFDs int `json:"max_fds,omitempty"`
	// CPUShare is the fraction of each core that the process gets, above 0 and at
	// most 1. Daemons prefer to forward work to daemons with a larger share.
	// Default: 1.
	CPUShare float64 `json:"cpu_share,omitempty"`
	// EndpointHeartbeatMs is the interval between the heartbeats that an endpoint
	// writes to the platform's list. Default: 1000 ms.
	EndpointHeartbeatMs int `json:"endpoint_heartbeat_ms,omitempty"`
	// StopWithinS is the time between SIGTERM and SIGKILL. Default: 8 s.
	StopWithinS float64 `json:"stop_within_s,omitempty"`
	// Repeats limits the repeated calls to a pool, over all daemons.
	Repeats Repeats `json:"repeats"`
	// Cold bounds the requests to cold endpoints, over all daemons.
	Cold Cold `json:"cold,omitzero"`
	// ClientLimits bounds what clients may hold.
	ClientLimits ClientLimits `json:"client_limits,omitzero"`
	EvenLoad     EvenLoad     `json:"even_load,omitzero"`
	Log          Log          `json:"log,omitzero"`
}

// ClientLimits bounds what clients may hold that do not keep the limits of the
// configuration. Clients that keep them meet none of the defaults.
type ClientLimits struct {
	// MemoryShare is the part of MemoryMB that requests in progress may hold: heads,
	// bodies and buffered answers. Default: 0.4.
	MemoryShare float64 `json:"memory_share,omitempty"`
	// Connections bounds the callers' connections. Default: from MemoryMB and MaxFDs.
	Connections int `json:"connections,omitempty"`
	// BodyS bounds the time in which a body must arrive, BodyPauseS the time without a byte
	// of it. Default: 60 s and 10 s.
	BodyS      float64 `json:"body_s,omitempty"`
	BodyPauseS float64 `json:"body_pause_s,omitempty"`
	// PressedPauseS replaces BodyPauseS while other requests are refused for want of
	// memory. Default: 1.5 s.
	PressedPauseS float64 `json:"pressed_pause_s,omitempty"`
	// UnreadAnswerS is the time after which the connection of a client is closed that reads
	// nothing of its answer. Default: 30 s.
	UnreadAnswerS float64 `json:"unread_answer_s,omitempty"`
}

// EvenLoad says when daemons allow for the age of what they know of endpoints' loads and
// for what other daemons send at the same time.
type EvenLoad struct {
	// AboveDaemons is the number of running daemons above which they do. Default: 0,
	// never.
	AboveDaemons int `json:"above_daemons,omitempty"`
}

// HostedListen holds listener addresses, host:port with a numeric host.
type HostedListen struct {
	// Callers serves the caller API.
	Callers string `json:"callers"`
	// Ready serves the readiness checks of the load balancer.
	Ready string `json:"ready"`
	// Peers serves the calls of other daemons.
	Peers string `json:"peers"`
	// AdvertisePeers is the address at which other daemons reach the Peers listener,
	// if it differs because of address translation or a proxy. Default: Peers.
	AdvertisePeers string `json:"advertise_peers,omitempty"`
	// Metrics serves counters and histograms as text. Default: no such listener.
	Metrics string `json:"metrics,omitempty"`
}

// Repeats is the repeat budget: in each window, repeated calls may number up to Ratio
// times the requests plus FixedAllowance.
type Repeats struct {
	// Ratio is the number of repeated calls allowed per request.
	Ratio float64 `json:"ratio"`
	// FixedAllowance is the number of repeated calls allowed per window regardless
	// of the number of requests.
	FixedAllowance float64 `json:"slack"`
	// WindowS is the length of the window in seconds.
	WindowS float64 `json:"window_s"`
}

// Cold bounds the requests to an endpoint that is cold: in any second it gets up to
// Overage times the requests per second that its pool's configuration names, plus Slack.
// It applies to pools whose configuration names such a figure.
type Cold struct {
	// Overage is a factor. Default: 1.
	Overage float64 `json:"overage,omitempty"`
	// Slack is a number of requests. Default: 0.
	Slack float64 `json:"slack,omitempty"`
}

// Log limits the volume of the log.
type Log struct {
	// LinesPerS is the number of log lines per second above which the lines of
	// successful requests are dropped. Default: 200.
	LinesPerS int `json:"lines_per_s,omitempty"`
}

const (
	defaultStopWithinS         = 8
	defaultLinesPerS           = 200
	defaultEndpointHeartbeatMs = 1000
	defaultColdOverage         = 1
)

// defaultClientLimits holds the defaults that do not depend on the machine.
var defaultClientLimits = ClientLimits{MemoryShare: 0.4, BodyS: 60, BodyPauseS: 10, PressedPauseS: 1.5, UnreadAnswerS: 30}

// LoadHosted reads and checks the file at path. change, if given, changes the settings
// before defaults are filled in.
func LoadHosted(path string, change ...func(*Hosted)) (*Hosted, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseHosted(path, src, change...)
}

// ParseHosted parses src, which was read from file, fills in defaults and checks the
// settings.
func ParseHosted(file string, src []byte, change ...func(*Hosted)) (*Hosted, error) {
	doc, err := jsonc.Parse(file, src)
	if err != nil {
		return nil, err
	}
	h := &Hosted{}
	if err := doc.Decode(h); err != nil {
		return nil, err
	}
	for _, f := range change {
		f(h)
	}
	if h.StopWithinS == 0 {
		h.StopWithinS = defaultStopWithinS
	}
	if h.EndpointHeartbeatMs == 0 {
		h.EndpointHeartbeatMs = defaultEndpointHeartbeatMs
	}
	if h.Listen.AdvertisePeers == "" {
		h.Listen.AdvertisePeers = h.Listen.Peers
	}
	if h.Log.LinesPerS == 0 {
		h.Log.LinesPerS = defaultLinesPerS
	}
	if h.CPUShare == 0 {
		h.CPUShare = 1
	}
	if h.Cold.Overage == 0 {
		h.Cold.Overage = defaultColdOverage
	}
	if err := h.ClientLimits.complete(h.MemoryMB, &h.MaxFDs); err != nil {
		return nil, err
	}
	if err := h.check(doc); err != nil {
		return nil, err
	}
	return h, nil
}

// maxClientMemoryShare leaves memory for the process itself and for garbage.
const maxClientMemoryShare = 0.6

// complete sets the defaults of the limits for clients and of the number of descriptors.
func (c *ClientLimits) complete(memoryMB int, maxFDs *int) error {
	if *maxFDs == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return errors.Annotatef(err, "read the limit of descriptors")
		}
		*maxFDs = int(min(limit.Cur, math.MaxInt32))
	}
	d := defaultClientLimits
	c.MemoryShare = cmp.Or(c.MemoryShare, d.MemoryShare)
	c.Connections = cmp.Or(c.Connections, clients.MaxConnections(int64(memoryMB)<<20, *maxFDs))
	c.BodyS, c.BodyPauseS = cmp.Or(c.BodyS, d.BodyS), cmp.Or(c.BodyPauseS, d.BodyPauseS)
	c.PressedPauseS, c.UnreadAnswerS = cmp.Or(c.PressedPauseS, d.PressedPauseS), cmp.Or(c.UnreadAnswerS, d.UnreadAnswerS)
	return nil
}

func (h *Hosted) check(doc *jsonc.Document) error {
	if h.Instance == "" {
		return doc.ErrorAt("instance", "no value", "the name of this machine")
	}
	if h.DataCenter == "" {
		return doc.ErrorAt("data_center", "no value", "the name of a data centre")
	}
	addresses := []struct{ key, addr string }{
		{"listen.callers", h.Listen.Callers}, {"listen.ready", h.Listen.Ready}, {"listen.peers", h.Listen.Peers},
		{"listen.advertise_peers", h.Listen.AdvertisePeers}, {"store", h.Store},
	}
	if h.Listen.Metrics != "" {
		addresses = append(addresses, struct{ key, addr string }{"listen.metrics", h.Listen.Metrics})
	}
	for i, p := range h.Peers {
		addresses = append(addresses, struct{ key, addr string }{fmt.Sprintf("peers[%d]", i), p})
	}
	if len(h.Peers) > maxPeers {
		return doc.ErrorAt("peers", fmt.Sprintf("%d addresses", len(h.Peers)), "at most 64 addresses")
	}
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a.addr)
		if err != nil || net.ParseIP(host) == nil {
			return doc.ErrorAt(a.key, fmt.Sprintf("%q", a.addr), "host:port with an IP address as host")
		}
	}
	switch {
	case h.Cores < 1:
		return doc.ErrorAt("cores", fmt.Sprint(h.Cores), "1 or more")
	case h.CPUShare < 0 || h.CPUShare > 1:
		return doc.ErrorAt("cpu_share", fmt.Sprint(h.CPUShare), "more than 0, at most 1")
	case h.MemoryMB < 1:
		return doc.ErrorAt("memory_mb", fmt.Sprint(h.MemoryMB), "1 or more, in MB")
	case h.EndpointHeartbeatMs < 1:
		return doc.ErrorAt("endpoint_heartbeat_ms", fmt.Sprint(h.EndpointHeartbeatMs), "1 ms or more")
	case h.StopWithinS < 1:
		return doc.ErrorAt("stop_within_s", fmt.Sprint(h.StopWithinS), "1 s or more")
	case h.Repeats.Ratio < 0 || h.Repeats.FixedAllowance < 0:
		return doc.ErrorAt("repeats", "a negative number", "0 or more")
	case h.Repeats.WindowS <= 0:
		return doc.ErrorAt("repeats.window_s", fmt.Sprint(h.Repeats.WindowS), "more than 0 s")
	case h.Cold.Overage < 0 || h.Cold.Slack < 0:
		return doc.ErrorAt("cold", "a negative number", "0 or more")
	case h.MaxFDs < 1:
		return doc.ErrorAt("max_fds", fmt.Sprint(h.MaxFDs), "1 or more")
	case h.ClientLimits.MemoryShare < 0 || h.ClientLimits.MemoryShare > maxClientMemoryShare:
		return doc.ErrorAt("client_limits.memory_share", fmt.Sprint(h.ClientLimits.MemoryShare), "more than 0, at most 0.6")
	case h.ClientLimits.Connections < 1:
		return doc.ErrorAt("client_limits.connections", fmt.Sprint(h.ClientLimits.Connections), "1 or more")
	case min(h.ClientLimits.BodyS, h.ClientLimits.BodyPauseS, h.ClientLimits.PressedPauseS, h.ClientLimits.UnreadAnswerS) < 0:
		return doc.ErrorAt("client_limits", "a negative time", "more than 0 s")
	case h.EvenLoad.AboveDaemons < 0:
		return doc.ErrorAt("even_load.above_daemons", fmt.Sprint(h.EvenLoad.AboveDaemons), "0 or more daemons")
	case h.Log.LinesPerS < 1:
		return doc.ErrorAt("log.lines_per_s", fmt.Sprint(h.Log.LinesPerS), "1 or more")
	}
	return nil
}

// RegionOf returns the region of a data centre, or "" if the settings do not name it.
func (h *Hosted) RegionOf(dc core.DataCenterID) core.RegionID {
	return core.RegionID(h.Regions[string(dc)])
}
