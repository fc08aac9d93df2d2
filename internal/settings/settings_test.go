package settings

import (
	"strings"
	"testing"
)

const validSettings = `{
  "data_center": "north", // a comment
  "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
  "table": {"url": "http://127.0.0.1:4"}, "objects": {"url": "http://127.0.0.1:5"}, "instances": {"url": "http://127.0.0.1:6"},
  "tls": {"plain_text": true}
}`

// Guards against a daemon that starts with invalid settings. Each error names the
// file, the line, the key, what was found and what is allowed.
func TestInvalidSettingsNameLineAndKey(t *testing.T) {
	if _, err := Parse("d.jsonc", []byte(validSettings)); err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, new, want string }{
		{"unknown key", `"data_center"`, `"data_centre": "x", "data_center"`, `d.jsonc:2: key "data_centre": found an unknown key, allowed: data_center,`},
		{"duplicate key", `"data_center"`, `"data_center": "x", "data_center"`, `d.jsonc:2: key "data_center": found the key a second time`},
		{"wrong type", `"north"`, `5`, `d.jsonc:2: key "data_center": found a number`},
		{"wrong unit", `"plain_text": true`, `"plain_text": true}, "drain_wait_ms": "2s", "x": {`, `drain_wait_ms`},
		{"host name", `127.0.0.1:1`, `localhost:1`, `d.jsonc:3: key "listen.callers": found "localhost:1", allowed: host:port with an IP address as host`},
		{"duplicate address", `127.0.0.1:2`, `127.0.0.1:1`, `d.jsonc:3: key "listen.operators": found the address of listen.callers`},
		{"http URL without plain_text", `"plain_text": true`, `"cert_file": "c", "key_file": "k", "peer_ca_file": "p"`, `d.jsonc:4: key "table.url": found an http URL`},
		{"plain_text with certificate", `"plain_text": true`, `"plain_text": true, "cert_file": "c"`, `d.jsonc:5: key "tls.plain_text": found true together with cert_file`},
		{"peer without port", `"tls"`, `"peers": ["10.0.0.1:7", "10.0.0.1"], "tls"`, `key "peers[1]": found "10.0.0.1", allowed: host:port with an IP address as host`},
		{"no certificates", `{"plain_text": true}`, `{}`, `table.url`},
		{"operator key not hashed", `"data_center"`, `"operator_keys_sha256": ["secret"], "data_center"`, `d.jsonc:2: key "operator_keys_sha256[0]": found a value that is not a SHA-256 digest`},
		{"secret key file missing", `"http://127.0.0.1:4"`, `"http://127.0.0.1:4", "access_key_file": "a"`, `key "table": found only one of the two key files`},
		{"negative timeout", `"http://127.0.0.1:6"`, `"http://127.0.0.1:6", "timeout_ms": -1`, `key "instances.timeout_ms": found -1`},
		{"broken JSON", `"north",`, `"north"`, `broken JSON`},
	}
	for _, c := range cases {
		_, err := Parse("d.jsonc", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.name, err, c.want)
		}
	}
}
