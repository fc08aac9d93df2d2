package peer

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
)

// BenchmarkPeerTraffic reports the messages and payload bytes that a daemon sends
// per second, including its answers, with 15 active accounts on each daemon, a
// leave every 10 s and no change of the configuration. HTTP/2 and TCP framing are
// not counted. Ignore the time per operation: the simulation runs on virtual time.
func BenchmarkPeerTraffic(b *testing.B) {
	for _, daemons := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			const duration = 60 * time.Second
			messages, bytes, oldest := 0, 0, time.Duration(0)
			for range b.N {
				messages, bytes, oldest = 0, 0, 0
				// synctest.Test needs a *testing.T, which a benchmark does not have.
				ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "traffic", F: func(t *testing.T) {
					synctest.Test(t, func(*testing.T) { messages, bytes, oldest = runTraffic(daemons, duration) })
				}}})
				if !ok {
					b.Fatal("the simulation failed")
				}
			}
			perDaemonSecond := float64(daemons) * duration.Seconds()
			b.ReportMetric(float64(messages)/perDaemonSecond, "messages/daemon/s")
			b.ReportMetric(float64(bytes)/perDaemonSecond, "B/daemon/s")
			b.ReportMetric(float64(oldest.Milliseconds()), "oldest_view_ms")
		})
	}
}

func runTraffic(daemons int, duration time.Duration) (messages, bytes int, oldest time.Duration) {
	n := newNetwork(1, daemons, 4)
	for i, d := range n.nodes {
		p := &usageProbe{}
		for k := range 15 {
			id := core.AccountID(fmt.Sprintf("account-%04d", (i*7+k*13)%200))
			p.local = append(p.local, limits.AccountUsage{Account: id, RequestsPerS: 1.25, TokensPerS: 400.5, InProgress: 2, Backlog: map[core.PoolID]float64{"generator": 1}})
		}
		d.usage, d.totals = p, p
	}
	n.startAll()
	defer n.stopAll()
	time.Sleep(5 * time.Second)
	for _, d := range n.nodes {
		d.withLock(func() { d.messages, d.bytes = 0, 0 })
	}
	for s := range int(duration / time.Second) {
		if s%10 == 0 {
			d := n.nodes[s%daemons]
			go d.ctl().Leave(context.Background(), core.InstanceID(fmt.Sprint("leaver", s)))
		}
		time.Sleep(time.Second)
		for _, d := range n.nodes {
			oldest = max(oldest, d.ctl().View().Age(time.Now()))
		}
	}
	for _, d := range n.nodes {
		d.withLock(func() { messages += d.messages; bytes += d.bytes })
	}
	return messages, bytes, oldest
}
