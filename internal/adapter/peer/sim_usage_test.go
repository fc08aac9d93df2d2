package peer

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
)

// usageProbe is the usage source of one daemon and records the totals it gets.
type usageProbe struct {
	mu                 sync.Mutex
	local              []limits.AccountUsage
	totals             map[core.AccountID]limits.AccountUsage
	unreachableReports atomic.Int32
}

func (p *usageProbe) Snapshot() []limits.AccountUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.local
}

func (p *usageProbe) SetTotals(_ time.Time, totals []limits.AccountUsage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.totals = map[core.AccountID]limits.AccountUsage{}
	for _, u := range totals {
		p.totals[u.Account] = u
	}
}

func (p *usageProbe) PeersUnreachable(time.Time) {
	p.unreachableReports.Add(1)
}

func (p *usageProbe) total(id core.AccountID) limits.AccountUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totals[id]
}

// withProbes runs f on 8 daemons in 2 data centres. The function local returns the
// usage that daemon i reports.
func withProbes(t *testing.T, local func(i int) []limits.AccountUsage, f func(n *network, probes []*usageProbe)) {
	t.Helper()
	runInBubble(t, func(t *testing.T) {
		n := newNetwork(1, 8, 2)
		probes := make([]*usageProbe, len(n.nodes))
		for i, d := range n.nodes {
			probes[i] = &usageProbe{local: local(i)}
			d.usage, d.totals = probes[i], probes[i]
		}
		n.startAll()
		defer n.stopAll()
		time.Sleep(5 * time.Second)
		f(n, probes)
	})
}

// Guards against usage totals that omit daemons of the same data centre or, for an
// account near its limit of 100 requests/s, the daemons of other data centres.
func TestUsageTotals(t *testing.T) {
	local := func(int) []limits.AccountUsage {
		return []limits.AccountUsage{
			{Account: "busy", RequestsPerS: 20, InProgress: 2, Backlog: map[core.PoolID]float64{"p": 1}},
			{Account: "quiet", RequestsPerS: 2, TokensPerS: 10},
		}
	}
	withProbes(t, local, func(_ *network, probes []*usageProbe) {
		for i, p := range probes {
			if u := p.total("busy"); u.RequestsPerS != 160 || u.InProgress != 16 || u.Backlog != nil {
				t.Errorf("d%d: busy %+v", i, u)
			}
			if u := p.total("quiet"); u.RequestsPerS != 8 || u.TokensPerS != 40 {
				t.Errorf("d%d: quiet %+v", i, u)
			}
		}
	})
}

// Guards against shares of a pool that are computed without the accounts that have
// backlog only on other daemons.
func TestUsagePoolBacklog(t *testing.T) {
	local := func(i int) []limits.AccountUsage {
		return []limits.AccountUsage{{Account: core.AccountID(fmt.Sprint("a", i)), Backlog: map[core.PoolID]float64{"p": 2}}}
	}
	withProbes(t, local, func(_ *network, probes []*usageProbe) {
		for i, p := range probes {
			if u := p.total(""); u.Backlog["p"] != 8 {
				t.Errorf("d%d: %+v, want the weights of the 4 daemons of the data centre", i, u)
			}
		}
	})
}

// Guards against totals that still include the usage of a daemon that is gone, and
// against a daemon that does not notice that it is cut off from its peers.
func TestUsageOfLostDaemons(t *testing.T) {
	local := func(int) []limits.AccountUsage {
		return []limits.AccountUsage{{Account: "busy", RequestsPerS: 20}, {Account: "b"}, {Account: "c"}, {Account: "d"}, {Account: "e"}}
	}
	withProbes(t, local, func(n *network, probes []*usageProbe) {
		n.nodes[0].kill()
		n.nodes[1].withLock(func() { n.nodes[1].isolated = true })
		time.Sleep(8 * time.Second)
		if probes[1].unreachableReports.Load() == 0 {
			t.Error("the isolated daemon did not report that its peers are unreachable")
		}
		for i := 2; i < len(probes); i++ {
			if u := probes[i].total("busy"); u.RequestsPerS > 120 {
				t.Errorf("d%d: %+v, which includes daemons that are gone", i, u)
			}
		}
	})
}
