package forward

import (
	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/core"
)

// fingerprint identifies the content of a request: its account, host, method, target
// and body.
func fingerprint(r *Request, account core.AccountID) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Host, r.Target, r.Method, string(account)} {
		d.WriteString(s)
		d.WriteString("\x00")
	}
	d.Write(r.Body)
	return d.Sum64()
}
