package peer

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"eelgrassgrade/internal/app/control"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
	"eelgrassgrade/internal/decide/membership"
	"eelgrassgrade/internal/decide/quarantine"
	"eelgrassgrade/internal/testnet"
)

// recordingHandler records the requests it gets and answers with fixed values.
type recordingHandler struct {
	exchange control.ExchangeRequest
	events   control.Events
	usage    control.UsageReport
	reply    control.ExchangeReply
	body     *control.ConfigBody
	block    chan struct{}
}

func (r *recordingHandler) HandleExchange(q control.ExchangeRequest) control.ExchangeReply {
	if r.block != nil {
		<-r.block
	}
	r.exchange = q
	return r.reply
}
func (r *recordingHandler) HandlePush(e control.Events) config.Version {
	r.events = e
	return 7
}
func (r *recordingHandler) HandleConfiguration(config.Version) *control.ConfigBody { return r.body }
func (r *recordingHandler) HandleUsage(u control.UsageReport) []limits.AccountUsage {
	r.usage = u
	return u.Accounts
}
func (r *recordingHandler) HandleStatus() control.PeerStatus {
	return control.PeerStatus{Instance: "d1", Ready: true, ViewAge: control.NoAge, Leaving: []core.InstanceID{"e1"}}
}

func serve(t *testing.T, h control.Handler, server, client *tls.Config) (*Client, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	set := metrics.NewSet()
	s := NewServer(h, server, set)
	go s.Serve(ln)
	c := NewClient(ClientOptions{TLS: client, Metrics: set})
	t.Cleanup(func() { c.Close(); s.Stop(0) })
	return c, ln.Addr().String()
}

// Guards against fields that are lost in the conversion to and from messages.
func TestMessagesSurviveRoundTrip(t *testing.T) {
	suspects := []quarantine.Entry{{Fingerprint: [32]byte{1, 2, 31: 3}, Pool: "p", Crashes: 2, Remaining: time.Minute, Cleared: true}}
	leaving := []membership.Leave{{Instance: "e1", AbsentFor: 3 * time.Second}}
	r := &recordingHandler{
		reply: control.ExchangeReply{Instance: "d1", Version: 4, LeavingHash: 5, SuspectHash: 6, ViewAge: time.Second, Leaving: leaving, Suspects: suspects,
			ListAge: control.NoAge, Instances: []core.Instance{{ID: "i", Role: core.RoleDaemon, DataCenter: "x", State: core.Leaving, Address: "1.2.3.4:5", Pool: "p"}}},
		body: &control.ConfigBody{Version: 9, SHA256: "ab", Source: []byte("{}")},
	}
	c, addr := serve(t, r, nil, nil)
	ctx := context.Background()
	ex := control.ExchangeRequest{Instance: "d2", Version: 1, LeavingHash: 2, SuspectHash: 3, ViewAge: control.NoAge, WantInstances: true}
	reply, err := c.Exchange(ctx, addr, ex)
	checkEqual(t, err, r.exchange, ex)
	checkEqual(t, err, reply, r.reply)
	ev := control.Events{Instance: "d2", Address: "1.1.1.1:1", Config: r.body, Leaving: leaving, Suspects: suspects, HopsLeft: 3}
	v, err := c.Push(ctx, addr, ev)
	checkEqual(t, err, r.events, ev)
	checkEqual(t, err, v, config.Version(7))
	body, err := c.Configuration(ctx, addr, 8)
	checkEqual(t, err, body, r.body)
	us := control.UsageReport{Instance: "d2", DataCenter: "x", Summary: true,
		Accounts: []limits.AccountUsage{{Account: "a", RequestsPerS: 1.5, TokensPerS: 2.5, InProgress: 3, Backlog: map[core.PoolID]float64{"p": 4}}}}
	totals, err := c.Usage(ctx, addr, us)
	checkEqual(t, err, r.usage, us)
	checkEqual(t, err, totals, us.Accounts)
	st, err := c.Status(ctx, addr)
	checkEqual(t, err, st, r.HandleStatus())
}

func checkEqual(t *testing.T, err error, got, want any) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v\nwant %+v", got, err, want)
	}
}

// Guards against a daemon that accepts calls from, or makes calls to, a peer whose
// certificate was not signed by the peers' authority.
func TestMutualTLS(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	server := &tls.Config{Certificates: []tls.Certificate{ours.cert}, ClientCAs: ours.pool, ClientAuth: tls.RequireAndVerifyClientCert}
	for name, c := range map[string]struct {
		client *tls.Config
		ok     bool
	}{
		"both":           {&tls.Config{Certificates: []tls.Certificate{ours.cert}, RootCAs: ours.pool}, true},
		"no certificate": {&tls.Config{RootCAs: ours.pool}, false},
		"foreign client": {&tls.Config{Certificates: []tls.Certificate{other.cert}, RootCAs: ours.pool}, false},
		"foreign server": {&tls.Config{Certificates: []tls.Certificate{ours.cert}, RootCAs: other.pool}, false},
		"plain text":     {nil, false},
	} {
		client, addr := serve(t, &recordingHandler{}, server, c.client)
		if _, err := client.Status(context.Background(), addr); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}

type authority struct {
	pool *x509.CertPool
	cert tls.Certificate
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(crand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return authority{pool, tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}}
}

// Guards against configurations that are sent uncompressed, and against a message
// bound that the largest allowed configuration exceeds.
func TestConfigurationIsCompressed(t *testing.T) {
	r := &recordingHandler{body: &control.ConfigBody{Version: 1, Source: bytes.Repeat([]byte("account "), 40_000)}}
	largest := eventsToWire(control.Events{Config: &control.ConfigBody{SHA256: strings.Repeat("a", 64), Source: make([]byte, config.MaxSourceBytes)}})
	if size := proto.Size(largest); size > maxConfigMessageBytes {
		t.Errorf("the largest configuration makes a message of %d bytes, more than the bound", size)
	}
	c, addr := serve(t, r, nil, nil)
	if _, err := c.Push(context.Background(), addr, control.Events{Config: r.body}); err != nil {
		t.Fatal(err)
	}
	if body, err := c.Configuration(context.Background(), addr, 0); err != nil || len(body.Source) != len(r.body.Source) {
		t.Fatal(err)
	}
	if sent := c.pool.traffic.sentBytes.Get(); sent == 0 || sent > uint64(len(r.body.Source)/10) {
		t.Errorf("%d bytes were sent for two configurations of %d bytes", sent, len(r.body.Source))
	}
}

// Guards against a call without a timeout, and against a pool that grows without
// bound or keeps connections to daemons that are gone.
func TestCallsAndConnectionsAreBounded(t *testing.T) {
	r := &recordingHandler{block: make(chan struct{})}
	c, addr := serve(t, r, nil, nil)
	if _, err := c.Exchange(context.Background(), addr, control.ExchangeRequest{}); err == nil {
		t.Error("a call to a daemon that does not answer succeeded")
	}
	close(r.block)
	c.pool.maxSize = 2
	for _, a := range []string{"127.0.0.1:1", "127.0.0.1:2", addr} {
		c.Status(context.Background(), a)
	}
	if len(c.pool.conns) != 2 {
		t.Errorf("%d connections in a pool of at most 2", len(c.pool.conns))
	}
	c.Retain([]string{addr})
	if len(c.pool.conns) != 1 || c.pool.conns[addr] == nil {
		t.Errorf("Retain kept the connections %v", c.pool.conns)
	}
}

// Guards against a status that reports a daemon as not answering because the last
// attempt to connect was made before the daemon listened.
func TestStatusWaitsForReconnect(t *testing.T) {
	addr := testnet.FreeAddress(t)
	c := NewClient(ClientOptions{Metrics: metrics.NewSet()})
	defer c.Close()
	if _, err := c.Exchange(t.Context(), addr, control.ExchangeRequest{}); err == nil {
		t.Fatal("an exchange succeeded although no daemon listens")
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(&recordingHandler{}, nil, metrics.NewSet())
	go s.Serve(ln)
	defer s.Stop(0)
	if _, err := c.Status(t.Context(), addr); err != nil {
		t.Errorf("status of a daemon that has just started: %v", err)
	}
}
