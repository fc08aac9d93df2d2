// Package tlsfiles builds TLS configurations from certificate files. It reloads files
// that have changed, so that renewing a certificate needs no restart.
package tlsfiles

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// checkInterval is the minimum time between two checks whether a file has changed.
const checkInterval = time.Second

// cachedFile caches the parsed content of one file or of a certificate and its key.
type cachedFile[T any] struct {
	paths []string
	parse func() (T, error)

	mu          sync.Mutex
	value       T
	modTime     time.Time
	lastChecked time.Time
}

// get returns the parsed content. If a changed file cannot be read or parsed, it
// returns the previous content, since the file may be only partly written.
func (f *cachedFile[T]) get() (T, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.lastChecked.IsZero()
	if !first && time.Since(f.lastChecked) < checkInterval {
		return f.value, nil
	}
	modTime, err := latestModTime(f.paths)
	if err == nil && (first || modTime.After(f.modTime)) {
		var v T
		if v, err = f.parse(); err == nil {
			f.value, f.modTime = v, modTime
		}
	}
	if err != nil && first {
		return f.value, err
	}
	f.lastChecked = time.Now()
	return f.value, nil
}

// latestModTime returns the latest modification time of the files.
func latestModTime(paths []string) (time.Time, error) {
	var latest time.Time
	for _, p := range paths {
		st, err := os.Stat(p)
		if err != nil {
			return latest, errors.Annotatef(err, "certificate file %s", p)
		}
		if st.ModTime().After(latest) {
			latest = st.ModTime()
		}
	}
	return latest, nil
}

// Certificate is a certificate with its key.
type Certificate struct{ files cachedFile[*tls.Certificate] }

// NewCertificate reads the files, so that errors in them are found at startup.
func NewCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{}
	c.files.paths = []string{certFile, keyFile}
	c.files.parse = func() (*tls.Certificate, error) {
		cert, err := tls.LoadX509KeyPair(certFile, keyFile)
		return &cert, errors.Annotatef(err, "certificate %s with key %s", certFile, keyFile)
	}
	_, err := c.files.get()
	return c, err
}

// Authorities is a set of trusted certificate authorities.
type Authorities struct{ file cachedFile[*x509.CertPool] }

// NewAuthorities reads the PEM file, so that errors in it are found at startup.
func NewAuthorities(caFile string) (*Authorities, error) {
	a := &Authorities{}
	a.file.paths = []string{caFile}
	a.file.parse = func() (*x509.CertPool, error) {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, errors.Annotatef(err, "file of certificate authorities %s", caFile)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("file of certificate authorities %s contains no PEM certificate", caFile)
		}
		return pool, nil
	}
	_, err := a.file.get()
	return a, err
}

// ServerConfig returns a configuration for listeners. If clientCAs is not nil, clients
// must present a certificate signed by one of these authorities.
func ServerConfig(c *Certificate, clientCAs *Authorities, protocols ...string) *tls.Config {
	cfg := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.files.get() },
	}
	if clientCAs != nil {
		// ClientCAs would fix the authorities when the listener starts, so
		// VerifyConnection checks the chain against the current ones.
		cfg.ClientAuth = tls.RequireAnyClientCert
		cfg.VerifyConnection = func(s tls.ConnectionState) error {
			return verifyClient(s, clientCAs)
		}
	}
	return cfg
}

// DialFunc dials a TLS connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a function that dials addr (host:port) and requires a server
// certificate for that host, signed by one of roots or, if roots is nil, by one of
// the system's authorities. A non-nil clientCert is presented to servers that request
// a certificate. Each connection uses the current content of the files.
func Dialer(clientCert *Certificate, roots *Authorities, timeout time.Duration, protocols ...string) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, errors.Trace(err)
		}
		cfg := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: host, NextProtos: protocols}
		if clientCert != nil {
			cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return clientCert.files.get() }
		}
		if roots != nil {
			if cfg.RootCAs, err = roots.file.get(); err != nil {
				return nil, err
			}
		}
		d := tls.Dialer{NetDialer: &net.Dialer{Timeout: timeout}, Config: cfg}
		return d.DialContext(ctx, network, addr)
	}
}

func verifyClient(s tls.ConnectionState, roots *Authorities) error {
	pool, err := roots.file.get()
	if err != nil {
		return err
	}
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	for _, c := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err = s.PeerCertificates[0].Verify(opts)
	return errors.Annotate(err, "client certificate")
}
