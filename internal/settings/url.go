package settings

import (
	"fmt"
	"net/url"

	"eelgrassgrade/internal/jsonc"
)

// checkURL accepts https, and http only with the plain_text setting.
func checkURL(doc *jsonc.Document, key, raw string, plainText bool) error {
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" || (u.Scheme != "https" && u.Scheme != "http") {
		return doc.ErrorAt(key, fmt.Sprintf("%q", raw), "an https URL, or http with tls.plain_text")
	}
	if u.Scheme == "http" && !plainText {
		return doc.ErrorAt(key, "an http URL", "https, or http with tls.plain_text: true")
	}
	return nil
}
