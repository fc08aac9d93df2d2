package fleetrpc

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrassgrade/internal/adapter/fleetrpc/fleetpb"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/permits"
	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/ratelimit"
)

// BenchmarkExchange measures both sides of an exchange. The client has 97 connections, the
// number that each of 195 daemons opens.
func BenchmarkExchange(b *testing.B) {
	const peers = 97
	status := &fleet.Status{Member: fleet.Member{ID: "d", Address: "d", DataCenter: "x", Millicores: 192}, Incarnation: time.Now().UnixNano(),
		Tables: map[string]core.CopyPosition{"op": at(11), "servers": at(4711), "eelgrass-daemons": at(815)}}
	for i := range 6 {
		status.Loads = append(status.Loads, fleet.EndpointLoad{Endpoint: core.InstanceID(fmt.Sprint("i-7f3a91c", i)), Running: i, PrefillTokens: 1000 * i})
	}
	var addresses []string
	for i := range peers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		self := fleet.Member{ID: core.InstanceID(fmt.Sprint("p", i)), Address: l.Addr().String()}
		f := fleet.New(fleet.Options{Self: self, Events: fakePorts{}, Now: time.Now, Source: func() *fleet.Status { return status }, OnStatus: func(*fleet.Status) {}})
		s := NewServer(f, nil, stagework.NewCoordinator(b.Context(), fakePorts{}, neverPaused, fakePorts{}, fakePorts{}, fakePorts{}, time.Now), fakePorts{}, time.Now)
		go s.Serve(l)
		defer s.Stop()
		addresses = append(addresses, self.Address)
	}
	c := NewClient(time.Now)
	for _, a := range addresses {
		if _, err := c.Exchange(b.Context(), a, status); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	before := cpuTime(b)
	for i := 0; b.Loop(); i++ {
		if _, err := c.Exchange(b.Context(), addresses[i%peers], status); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPermit measures both sides of a request for a permit.
func BenchmarkPermit(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := NewServer(nil, nil, nil, fakePorts{}, time.Now)
	go s.Serve(l)
	defer s.Stop()
	c := NewClient(time.Now)
	now := time.Now()
	req := &permits.Request{From: "edge-quimper-a-1", Limit: fleet.EndpointLimit{Endpoint: "i-7f3a91c2aa", StartedMs: now.UnixMilli(),
		Observation: ratelimit.Observation{PerSecond: 2.5, SentAt: now.Add(-time.Second), ReceivedAt: now}}}
	bytesEachWay := proto.Size(&fleetpb.PermitRequest{From: string(req.From), Limit: limitToPB(now, req.Limit)})
	b.ReportAllocs()
	before := cpuTime(b)
	for b.Loop() {
		if _, err := c.RequestPermit(b.Context(), l.Addr().String(), req); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(bytesEachWay), "request-bytes")
}
