package settings

import (
	"fmt"
	"net/url"

	"eelgrassgrade/internal/jsonc"
)

// checkURL checks the URL raw of a setting: the scheme must be https, or http if
// plainText is set.
func checkURL(doc *jsonc.Document, key, raw string, plainText bool) error {
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" || (u.Scheme != "https" && u.Scheme != "http") {
		return doc.ErrorAt(key, fmt.Sprintf("%q", raw), "an https URL, or an http URL with tls.plain_text: true")
	}
	if u.Scheme == "http" && !plainText {
		return doc.ErrorAt(key, "an http URL", "an https URL, or an http URL with tls.plain_text: true")
	}
	return nil
}
