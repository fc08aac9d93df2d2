package control

import (
	"context"
	"time"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
	"eelgrassgrade/internal/decide/membership"
	"eelgrassgrade/internal/decide/quarantine"
)

// NoAge is the age of a view or list that is missing or not fresh.
const NoAge time.Duration = -1

// ExchangeRequest summarizes the caller's state.
type ExchangeRequest struct {
	Instance    core.InstanceID
	Version     config.Version
	LeavingHash uint64
	SuspectHash uint64
	// ViewAge is NoAge if the caller's view is not fresh enough for dispatching.
	ViewAge time.Duration
	// WantInstances asks for the instance list.
	WantInstances bool
}

// ExchangeReply summarizes the state of the replying daemon, and carries the sets
// whose hash differs from that in the request.
type ExchangeReply struct {
	Instance    core.InstanceID
	Version     config.Version
	LeavingHash uint64
	SuspectHash uint64
	// ViewAge is NoAge if the daemon's view is not fresh enough for dispatching.
	ViewAge  time.Duration
	Leaving  []membership.Leave
	Suspects []quarantine.Entry
	// ListAge is NoAge if the daemon has no instance list.
	ListAge   time.Duration
	Instances []core.Instance
}

// ConfigBody is a configuration version. With a nil Source it only announces that
// the sender has the version.
type ConfigBody struct {
	Version config.Version
	SHA256  string
	Source  []byte
}

// Events are urgent events, which a daemon relays when it first receives them.
type Events struct {
	Instance core.InstanceID
	// Address is the sender's peer address.
	Address  string
	Config   *ConfigBody
	Leaving  []membership.Leave
	Suspects []quarantine.Entry
	// HopsLeft is the number of times that the events may still be relayed.
	HopsLeft int
	// Stopping announces that the sender stops. It is not relayed.
	Stopping bool
}

// UsageReport holds the usage of accounts on one daemon or, if Summary is set, in
// one data centre.
type UsageReport struct {
	Instance   core.InstanceID
	DataCenter core.DataCenterID
	Accounts   []limits.AccountUsage
	Summary    bool
}

// PeerStatus describes a daemon.
type PeerStatus struct {
	Instance           core.InstanceID
	DataCenter         core.DataCenterID
	Version            config.Version
	Ready              bool
	Leaving            []core.InstanceID
	Quarantined        int
	ViewAge            time.Duration
	RequestsInProgress int
	// Err is the reason why the status is unknown, or empty.
	Err string
}

// Peers calls other daemons by address. Each call returns at the latest when its
// context ends. Errors are of type *core.Error.
type Peers interface {
	Exchange(ctx context.Context, addr string, r ExchangeRequest) (ExchangeReply, error)
	Push(ctx context.Context, addr string, e Events) (config.Version, error)
	// Configuration returns nil if the peer has no version above have.
	Configuration(ctx context.Context, addr string, have config.Version) (*ConfigBody, error)
	Usage(ctx context.Context, addr string, r UsageReport) ([]limits.AccountUsage, error)
	Status(ctx context.Context, addr string) (PeerStatus, error)
	// Retain closes the connections to all addresses that are not in addrs.
	Retain(addrs []string)
}

// Handler serves the calls of other daemons.
type Handler interface {
	HandleExchange(r ExchangeRequest) ExchangeReply
	HandlePush(e Events) config.Version
	HandleConfiguration(have config.Version) *ConfigBody
	HandleUsage(r UsageReport) []limits.AccountUsage
	HandleStatus() PeerStatus
}

// InstanceLister reads the platform's instance list.
type InstanceLister interface {
	List(ctx context.Context) ([]core.Instance, error)
}

// Table is the subset of the table service used for leave records.
type Table interface {
	Get(ctx context.Context, k core.RecordKey) (core.Record, error)
	List(ctx context.Context, partition, from string, limit int32) ([]core.Record, error)
	Transact(ctx context.Context, writes ...core.Write) error
}

// Configs provides and installs the configuration in force.
type Configs interface {
	// Current returns the configuration in force, or nil.
	Current() *config.Snapshot
	// Started reports whether the start-up check is done, in which the platform or,
	// if it does not respond, several peers are asked for the current version.
	// Before that, a version from a single peer is not installed, because it may be
	// older than the one that this daemon had before a restart.
	Started() bool
	// InstallSource puts version v into force if it is higher than the current one,
	// and reports whether it did.
	InstallSource(v config.Version, sha256 string, src []byte) (bool, error)
}

// SuspectSet is the set of requests suspected of crashing endpoints.
type SuspectSet interface {
	Hash() uint64
	Entries() []quarantine.Entry
	// Merge adds entries and returns those that changed the set.
	Merge([]quarantine.Entry) (changed []quarantine.Entry)
}

// UsageSource measures the usage of accounts on this daemon.
type UsageSource interface {
	Snapshot() []limits.AccountUsage
}

// TotalsSink receives the total usage of accounts over all daemons.
type TotalsSink interface {
	// SetTotals receives the totals of the accounts in this daemon's last usage
	// report, without backlog. One further entry with an empty account ID holds, per
	// pool, the sum of the weights of all backlogged accounts in the data centre.
	SetTotals(now time.Time, totals []limits.AccountUsage)
	// PeersUnreachable is called instead of SetTotals if no other daemon has replied
	// for 2 s.
	PeersUnreachable(now time.Time)
}
