package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, file string) authority {
	t.Helper()
	a := authority{}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: file}, NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	a.cert, a.key = sign(t, tmpl, nil, file, "")
	return a
}

// sign writes a certificate signed by parent, or self-signed if parent is nil, and its
// key.
func sign(t *testing.T, tmpl *x509.Certificate, parent *authority, certFile, keyFile string) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	signer := authority{tmpl, key}
	if parent != nil {
		signer = *parent
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, signer.cert, &key.PublicKey, signer.key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, certFile, "CERTIFICATE", der)
	if keyFile != "" {
		raw, err := x509.MarshalECPrivateKey(key)
		if err != nil {
			t.Fatal(err)
		}
		writePEM(t, keyFile, "EC PRIVATE KEY", raw)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func leaf(serial int64) *x509.Certificate {
	return &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
}

// Guards against accepting a peer without a certificate signed by the configured
// authority, and against a renewed certificate that is used only after a restart.
func TestMutualTLSAndRenewal(t *testing.T) {
	dir := t.TempDir()
	file := func(n string) string { return filepath.Join(dir, n) }
	good, other := newAuthority(t, file("ca")), newAuthority(t, file("other-ca"))
	sign(t, leaf(7), &good, file("cert"), file("key"))
	sign(t, leaf(8), &other, file("other-cert"), file("other-key"))
	cert, err1 := NewCertificate(file("cert"), file("key"))
	foreign, err2 := NewCertificate(file("other-cert"), file("other-key"))
	ca, err3 := NewAuthorities(file("ca"))
	otherCA, err4 := NewAuthorities(file("other-ca"))
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil {
		t.Fatal(err1, err2, err3, err4)
	}
	ln, err := tls.Listen("tcp", "127.0.0.1:0", ServerConfig(cert, ca))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if conn.(*tls.Conn).Handshake() == nil {
					conn.Write([]byte("x"))
				}
			}()
		}
	}()
	serial := func(cert *Certificate, roots *Authorities) (int64, error) {
		conn, err := Dialer(cert, roots, time.Second)(t.Context(), "tcp", ln.Addr().String())
		if err != nil {
			return 0, err
		}
		defer conn.Close()
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return 0, err
		}
		return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
	}
	if n, err := serial(cert, ca); n != 7 || err != nil {
		t.Errorf("connection with valid certificates: got the server certificate %d, %v, want 7", n, err)
	}
	for name, c := range map[string]struct {
		own   *Certificate
		roots *Authorities
	}{"no certificate": {nil, ca}, "certificate of another authority": {foreign, ca}, "server of another authority": {cert, otherCA}} {
		if _, err := serial(c.own, c.roots); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	sign(t, leaf(9), &good, file("cert"), file("key"))
	cert.files.lastChecked = time.Now().Add(-time.Minute)
	if n, err := serial(cert, ca); n != 9 || err != nil {
		t.Errorf("after the renewal: got the server certificate %d, %v, want 9", n, err)
	}
}
