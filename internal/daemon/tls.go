package daemon

import (
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/juju/errors"

	"eelgrassgrade/internal/adapter/engine"
	"eelgrassgrade/internal/adapter/tlsfiles"
	"eelgrassgrade/internal/settings"
)

const dialTimeout = time.Second

// tlsMaterial holds this daemon's certificate and the certificate authorities named in
// the settings. If plain text is allowed, certificate is nil.
type tlsMaterial struct {
	certificate *tlsfiles.Certificate
	peerCAs     *tlsfiles.Authorities
	endpointCAs *tlsfiles.Authorities
	platformCAs *tlsfiles.Authorities
}

func newTLS(s settings.TLS) (*tlsMaterial, error) {
	m := &tlsMaterial{}
	if s.PlainText {
		return m, nil
	}
	var err error
	if m.certificate, err = tlsfiles.NewCertificate(s.CertFile, s.KeyFile); err != nil {
		return nil, err
	}
	for _, a := range []struct {
		file   string
		target **tlsfiles.Authorities
	}{{s.PeerCAFile, &m.peerCAs}, {s.EndpointCAFile, &m.endpointCAs}, {s.PlatformCAFile, &m.platformCAs}} {
		if a.file == "" {
			continue
		}
		if *a.target, err = tlsfiles.NewAuthorities(a.file); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// listen returns a listener on addr, with TLS unless plain text is allowed.
func (m *tlsMaterial) listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil || m.certificate == nil {
		return ln, err
	}
	return tls.NewListener(ln, tlsfiles.ServerConfig(m.certificate, nil, "http/1.1")), nil
}

// endpointDialer returns the TLS dialer for endpoints, or nil for plain text.
func (m *tlsMaterial) endpointDialer() engine.DialTLS {
	if m.certificate == nil {
		return nil
	}
	return engine.DialTLS(tlsfiles.Dialer(m.certificate, m.endpointCAs, dialTimeout))
}

// platformClient returns an HTTP client for the platform. With a zero timeout, only
// the context of a request limits its duration.
func (m *tlsMaterial) platformClient(timeout time.Duration) *http.Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxPlatformConnections,
		MaxConnsPerHost:     maxPlatformConnections,
		IdleConnTimeout:     time.Minute,
	}
	if m.certificate != nil {
		t.DialTLSContext = tlsfiles.Dialer(m.certificate, m.platformCAs, dialTimeout)
	}
	return &http.Client{Timeout: timeout, Transport: t}
}

// maxPlatformConnections limits the connections to one platform service.
const maxPlatformConnections = 16

// loadCredentials reads the credentials for a platform service. If the settings name
// no files, requests are signed with a fixed test identity.
func loadCredentials(p settings.Platform) (aws.CredentialsProvider, error) {
	if p.AccessKeyFile == "" {
		return credentials.NewStaticCredentialsProvider("local", "local", ""), nil
	}
	access, err := os.ReadFile(p.AccessKeyFile)
	if err != nil {
		return nil, errors.Annotate(err, "access_key_file")
	}
	secret, err := os.ReadFile(p.SecretKeyFile)
	if err != nil {
		return nil, errors.Annotate(err, "secret_key_file")
	}
	return credentials.NewStaticCredentialsProvider(strings.TrimSpace(string(access)), strings.TrimSpace(string(secret)), ""), nil
}
