package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"eelgrassgrade/internal/adapter/tlsfiles"
	"eelgrassgrade/internal/localrun"
	"eelgrassgrade/internal/standin"
)

// Guards against listeners or connections that fall back to plain text, against
// accepting peers without a certificate, and against TLS settings with which daemons
// cannot reach each other or the platform.
func TestDaemonsOverTLS(t *testing.T) {
	files, err := localrun.WriteCertificates(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		t.Fatal(err)
	}
	serve := func(h http.Handler) *httptest.Server {
		s := httptest.NewUnstartedServer(h)
		s.TLS = &tls.Config{Certificates: []tls.Certificate{cert}}
		s.StartTLS()
		return s
	}
	daemons := startDaemonsWith(t, 2, serve, map[string]any{"cert_file": files.Cert, "key_file": files.Key,
		"peer_ca_file": files.CA, "platform_ca_file": files.CA, "endpoint_ca_file": files.CA}, standin.NewTable())
	for _, d := range daemons {
		eventually(t, "fresh view with both daemons", func() bool { return d.control.Daemons() == 2 && d.control.ViewIsFresh(time.Now()) })
		eventually(t, "status of both daemons", func() bool {
			all := d.Status(t.Context())
			return len(all) == 2 && all[0].Err == "" && all[1].Err == ""
		})
	}
	roots, err := tlsfiles.NewAuthorities(files.CA)
	if err != nil {
		t.Fatal(err)
	}
	dial := tlsfiles.Dialer(nil, roots, time.Second)
	client := &http.Client{Transport: &http.Transport{DialTLSContext: dial, DialContext: func(context.Context, string, string) (net.Conn, error) {
		t.Error("the client opened a plain-text connection")
		return nil, net.ErrClosed
	}}}
	l := daemons[0].settings.Listen
	for _, addr := range []string{l.Callers, l.Operators} {
		resp, err := client.Get("https://" + addr + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if plain, err := http.Get("http://" + addr + "/healthz"); err == nil {
			plain.Body.Close()
			if plain.StatusCode != http.StatusBadRequest {
				t.Errorf("%s responds to plain text with %s, want 400", addr, plain.Status)
			}
		}
	}
	conn, err := dial(t.Context(), "tcp", l.Peers)
	if err == nil {
		// In TLS 1.3, the client sees the refusal of its missing certificate only at the
		// first read.
		conn.SetDeadline(time.Now().Add(time.Second))
		_, err = conn.Read(make([]byte, 1))
		conn.Close()
	}
	if err == nil {
		t.Error("the peer listener accepts a client without a certificate")
	}
}
