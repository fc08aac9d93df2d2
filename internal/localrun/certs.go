package localrun

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
)

// certificateLifetime is far longer than any local run.
const certificateLifetime = 24 * time.Hour

// CertificateFiles holds the paths of the PEM files of a certificate, its key and
// the certificate authority.
type CertificateFiles struct{ CA, Cert, Key string }

// WriteCertificates creates a certificate authority and a certificate for
// 127.0.0.1 that is valid for servers and clients. It writes them to dir.
func WriteCertificates(dir string) (CertificateFiles, error) {
	f := CertificateFiles{CA: filepath.Join(dir, "ca.pem"), Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, errors.Trace(err)
	}
	notAfter := time.Now().Add(certificateLifetime)
	ca := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "local authority"}, NotAfter: notAfter, IsCA: true, BasicConstraintsValid: true}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return f, errors.Trace(err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, errors.Trace(err)
	}
	leaf := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: notAfter, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	if err != nil {
		return f, errors.Trace(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return f, errors.Trace(err)
	}
	for _, b := range []struct {
		file, kind string
		der        []byte
	}{{f.CA, "CERTIFICATE", caDER}, {f.Cert, "CERTIFICATE", der}, {f.Key, "EC PRIVATE KEY", keyDER}} {
		if err := os.WriteFile(b.file, pem.EncodeToMemory(&pem.Block{Type: b.kind, Bytes: b.der}), 0o600); err != nil {
			return f, errors.Trace(err)
		}
	}
	return f, nil
}
