package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/settings"
	"eelgrassgrade/internal/standin"
	"eelgrassgrade/internal/testnet"
)

// startDaemons runs n daemons on loopback addresses, with a simulated platform, until
// the test ends.
func startDaemons(t *testing.T, n int) []*Daemon {
	t.Helper()
	return startDaemonsWith(t, n, httptest.NewServer, map[string]any{"plain_text": true}, standin.NewTable())
}

// startDaemonsWith is startDaemons with servers of the platform created by serve, and with
// the given TLS settings, table and endpoints.
func startDaemonsWith(t *testing.T, n int, serve func(http.Handler) *httptest.Server, tlsSettings map[string]any, tableService *standin.Table, endpoints ...core.Instance) []*Daemon {
	t.Helper()
	list := standin.NewInstanceList(0)
	for _, e := range endpoints {
		list.Set(e)
	}
	table, objects, listServer := serve(tableService), serve(standin.NewObjects()), serve(list)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, n)
	t.Cleanup(func() {
		cancel()
		for range n {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
		table.Close()
		objects.Close()
		listServer.Close()
	})
	var all []*Daemon
	for i := range n {
		s := map[string]any{
			"instance": fmt.Sprint("d", i), "data_center": fmt.Sprint("dc", i%2), "drain_wait_ms": 0,
			"listen": map[string]string{"callers": testnet.FreeAddress(t), "operators": testnet.FreeAddress(t), "peers": testnet.FreeAddress(t)},
			"table":  map[string]string{"url": table.URL}, "objects": map[string]string{"url": objects.URL}, "instances": map[string]string{"url": listServer.URL},
			"operator_keys_sha256": []string{}, "tls": tlsSettings,
		}
		src, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := settings.Parse("test", src)
		if err != nil {
			t.Fatal(err)
		}
		list.Set(core.Instance{ID: core.InstanceID(fmt.Sprint("d", i)), Role: core.RoleDaemon, State: core.Live, DataCenter: core.DataCenterID(fmt.Sprint("dc", i%2)), Address: parsed.Listen.Peers})
		d, err := New(parsed, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, d)
		go func() { ended <- d.Run(ctx) }()
	}
	return all
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 20 s: %s", what)
		}
	}
}

// Guards against wrong wiring of components in New: a configuration version, a leave
// and the status must pass between real daemons over gRPC.
func TestDaemonsExchangeState(t *testing.T) {
	daemons := startDaemons(t, 3)
	ctx := context.Background()
	for _, d := range daemons {
		eventually(t, "fresh views with 3 daemons", func() bool { return d.control.ViewIsFresh(time.Now()) && d.control.Daemons() == 3 })
		if d.ready() {
			t.Error("a daemon without a configuration is ready")
		}
	}
	a, err := daemons[0].config.Apply(ctx, 0, "test", []byte("{}"))
	if err != nil || a.PeersAcknowledged != 2 {
		t.Fatalf("%+v, %v", a, err)
	}
	l, err := daemons[1].Leave(ctx, "endpoint-1")
	if err != nil || l.DaemonsInformed != 3 || l.DaemonsKnown != 3 || !l.Durable {
		t.Fatalf("%+v, %v", l, err)
	}
	for _, d := range daemons {
		eventually(t, "ready with version 1", func() bool { return d.ready() && d.config.Current().Version == 1 })
		status := d.Status(ctx)
		if len(status) != 3 {
			t.Fatalf("status of %d daemons, want 3", len(status))
		}
		for _, s := range status {
			if s.Err != "" || s.Version != 1 || len(s.Leaving) != 1 || s.Leaving[0] != "endpoint-1" {
				t.Errorf("%+v", s)
			}
		}
	}
}
