// Package settings reads a daemon's settings file, JSON with comments, and
// checks it before the daemon starts.
package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"

	"eelgrassgrade/internal/jsonc"
)

// Daemon is the content of eelgrassd's settings file.
type Daemon struct {
	// Instance is the name of this daemon's incarnation. It must match the name in the
	// platform's instance list. Default: the value of listen.peers.
	Instance string `json:"instance,omitempty"`
	// DataCenter is the data centre in which the daemon runs.
	DataCenter string `json:"data_center"`
	// Listen holds the addresses of the listeners: host:port with an IP address.
	Listen Listen `json:"listen"`
	// Table, Objects and Instances configure the platform's table service, object store
	// and instance list.
	Table     Platform `json:"table"`
	Objects   Platform `json:"objects"`
	Instances Platform `json:"instances"`
	// OperatorKeysSHA256 lists the hex SHA-256 digests of the operators' keys.
	OperatorKeysSHA256 []string `json:"operator_keys_sha256"`
	// Peers lists peer addresses of other daemons, host:port with an IP address. They
	// are used at start if the platform is down. Default: none.
	Peers []string `json:"peers,omitempty"`
	TLS   TLS      `json:"tls"`
	// DrainWaitMs is the time between turning not ready and closing the listeners, in
	// which the load balancer stops sending requests. Default: 2000 ms.
	DrainWaitMs *int `json:"drain_wait_ms,omitempty"`
	// DrainTimeoutMs limits the wait for requests in progress at a stop.
	// Default: 600000 ms.
	DrainTimeoutMs int `json:"drain_timeout_ms,omitempty"`
	// Policy is "default" or, for comparative measurements, a baseline that replaces
	// parts of the scheduling or routing policy: "fifo", "round_robin" or "unlimited".
	// Default: "default".
	Policy string `json:"policy,omitempty"`
}

// Listen holds listener addresses.
type Listen struct {
	// Callers serves the caller API.
	Callers string `json:"callers"`
	// Operators serves the operator API, health and metrics.
	Operators string `json:"operators"`
	// Peers serves the calls of other daemons.
	Peers string `json:"peers"`
}

// Platform configures the client of one of the platform's services.
type Platform struct {
	URL string `json:"url"`
	// Name is the name of the table or bucket. Default: eelgrassgrade.
	Name string `json:"name,omitempty"`
	// AccessKeyFile and SecretKeyFile name the files with the credentials. Without
	// them, requests are signed with a fixed test identity.
	AccessKeyFile string `json:"access_key_file,omitempty"`
	SecretKeyFile string `json:"secret_key_file,omitempty"`
	// TimeoutMs limits the duration of one call. Default: 1000 ms.
	TimeoutMs int `json:"timeout_ms,omitempty"`
}

// TLS names certificate files. They are reloaded when they change.
type TLS struct {
	// PlainText allows listeners and connections without TLS. Default: false.
	PlainText bool `json:"plain_text,omitempty"`
	// CertFile and KeyFile hold this daemon's certificate, for callers, operators and peers.
	CertFile string `json:"cert_file,omitempty"`
	KeyFile  string `json:"key_file,omitempty"`
	// PeerCAFile holds the certificate authorities that sign daemons' certificates.
	PeerCAFile string `json:"peer_ca_file,omitempty"`
	// EndpointCAFile and PlatformCAFile hold the certificate authorities of endpoints
	// and of the platform. Default: the system's authorities.
	EndpointCAFile string `json:"endpoint_ca_file,omitempty"`
	PlatformCAFile string `json:"platform_ca_file,omitempty"`
}

// Defaults of optional keys.
const (
	defaultDrainWaitMs       = 2000
	defaultDrainTimeoutMs    = 600_000
	defaultPlatformTimeoutMs = 1000
	defaultResourceName      = "eelgrassgrade"
	maxPlatformTimeoutMs     = 60_000
)

// Load reads and checks the file at path.
func Load(path string) (*Daemon, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, src)
}

// Parse parses src, which was read from file, fills in defaults and checks the
// settings. The error is a *jsonc.Error.
func Parse(file string, src []byte) (*Daemon, error) {
	doc, err := jsonc.Parse(file, src)
	if err != nil {
		return nil, err
	}
	d := &Daemon{}
	if err := doc.Decode(d); err != nil {
		return nil, err
	}
	d.setDefaults()
	if err := d.check(doc); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) setDefaults() {
	if d.DrainWaitMs == nil {
		wait := defaultDrainWaitMs
		d.DrainWaitMs = &wait
	}
	if d.DrainTimeoutMs == 0 {
		d.DrainTimeoutMs = defaultDrainTimeoutMs
	}
	if d.Policy == "" {
		d.Policy = "default"
	}
	for _, p := range []*Platform{&d.Table, &d.Objects, &d.Instances} {
		if p.Name == "" {
			p.Name = defaultResourceName
		}
		if p.TimeoutMs == 0 {
			p.TimeoutMs = defaultPlatformTimeoutMs
		}
	}
}

func (d *Daemon) check(doc *jsonc.Document) error {
	if d.DataCenter == "" {
		return doc.ErrorAt("data_center", "no value", "the name of a data centre")
	}
	seen := map[string]string{}
	for _, l := range []struct{ key, addr string }{
		{"listen.callers", d.Listen.Callers}, {"listen.operators", d.Listen.Operators}, {"listen.peers", d.Listen.Peers},
	} {
		host, _, err := net.SplitHostPort(l.addr)
		if err != nil || net.ParseIP(host) == nil {
			return doc.ErrorAt(l.key, fmt.Sprintf("%q", l.addr), "host:port with an IP address as host")
		}
		if other, dup := seen[l.addr]; dup {
			return doc.ErrorAt(l.key, "the address of "+other, "a different address for each listener")
		}
		seen[l.addr] = l.key
	}
	if err := d.checkPeers(doc); err != nil {
		return err
	}
	for _, p := range []struct{ key, url string }{
		{"table.url", d.Table.URL}, {"objects.url", d.Objects.URL}, {"instances.url", d.Instances.URL},
	} {
		if err := checkURL(doc, p.key, p.url, d.TLS.PlainText); err != nil {
			return err
		}
	}
	return d.checkOptions(doc)
}

// maxPeers limits the peers setting. Of so many peers, some respond at any time.
const maxPeers = 64

func (d *Daemon) checkPeers(doc *jsonc.Document) error {
	if len(d.Peers) > maxPeers {
		return doc.ErrorAt("peers", fmt.Sprintf("%d addresses", len(d.Peers)), "at most 64 addresses")
	}
	for i, addr := range d.Peers {
		host, _, err := net.SplitHostPort(addr)
		if err != nil || net.ParseIP(host) == nil {
			return doc.ErrorAt(fmt.Sprintf("peers[%d]", i), fmt.Sprintf("%q", addr), "host:port with an IP address as host")
		}
	}
	return nil
}

// checkOptions checks the TLS, drain, key, platform and policy settings.
func (d *Daemon) checkOptions(doc *jsonc.Document) error {
	if !d.TLS.PlainText && (d.TLS.CertFile == "" || d.TLS.KeyFile == "" || d.TLS.PeerCAFile == "") {
		return doc.ErrorAt("tls", "no certificate files", "cert_file, key_file and peer_ca_file, or plain_text: true")
	}
	if d.TLS.PlainText && d.TLS.CertFile != "" {
		return doc.ErrorAt("tls.plain_text", "true together with cert_file", "either plain_text: true or certificate files, not both")
	}
	if *d.DrainWaitMs < 0 || *d.DrainWaitMs > 600_000 {
		return doc.ErrorAt("drain_wait_ms", fmt.Sprint(*d.DrainWaitMs), "0 to 600000 ms")
	}
	if d.DrainTimeoutMs < 0 {
		return doc.ErrorAt("drain_timeout_ms", fmt.Sprint(d.DrainTimeoutMs), "0 (the default) or more, in ms")
	}
	for i, k := range d.OperatorKeysSHA256 {
		if raw, err := hex.DecodeString(k); err != nil || len(raw) != sha256.Size {
			return doc.ErrorAt(fmt.Sprintf("operator_keys_sha256[%d]", i), "a value that is not a SHA-256 digest", "the SHA-256 digest of a key as 64 hexadecimal digits")
		}
	}
	for key, p := range map[string]Platform{"table": d.Table, "objects": d.Objects, "instances": d.Instances} {
		if p.TimeoutMs < 1 || p.TimeoutMs > maxPlatformTimeoutMs {
			return doc.ErrorAt(key+".timeout_ms", fmt.Sprint(p.TimeoutMs), "1 to 60000 ms")
		}
		if (p.AccessKeyFile == "") != (p.SecretKeyFile == "") {
			return doc.ErrorAt(key, "only one of the two key files", "both access_key_file and secret_key_file, or neither")
		}
	}
	switch d.Policy {
	case "default", "fifo", "round_robin", "unlimited":
	default:
		return doc.ErrorAt("policy", fmt.Sprintf("%q", d.Policy), "default, fifo, round_robin, unlimited")
	}
	return nil
}
