package fleetrpc

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/juju/errors"

	"eelgrassgrade/internal/adapter/fleetrpc/fleetpb"
	"eelgrassgrade/internal/app/mirror"
)

// packFrom is the size of a value from which on it is compressed, in bytes. A
// configuration of a thousand routes is hundreds of kilobytes. The first daemons
// that have it hand it to all others, over links of 10 Mbit/s at the least: in
// full it took up these links for seconds, with the exchanges on them.
const packFrom = 4 << 10

// packer keeps the last compressed value of each row, so that a change costs one
// compression and not one for each daemon that asks.
type packer struct {
	mu   sync.Mutex
	rows map[string]packed
}

type packed struct {
	version int64
	data    []byte
}

func newPacker() *packer { return &packer{rows: map[string]packed{}} }

// row returns a row as it is sent.
func (p *packer) row(table string, r mirror.Row) *fleetpb.Row {
	out := &fleetpb.Row{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
	if len(r.Value) < packFrom {
		return out
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	name := table + "/" + r.Key
	x, ok := p.rows[name]
	if !ok || x.version != r.Version {
		data, err := deflate(r.Value)
		if err != nil || len(data) >= len(r.Value) {
			return out
		}
		x = packed{r.Version, data}
		p.rows[name] = x
	}
	out.Value, out.Compression = x.data, fleetpb.Compression_COMPRESSION_DEFLATE
	return out
}

func deflate(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return b.Bytes(), nil
}

// unpack returns a row as it was before it was sent.
func unpack(r *fleetpb.Row) (mirror.Row, error) {
	out := mirror.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Deleted: r.GetDeleted()}
	switch r.GetCompression() {
	case fleetpb.Compression_COMPRESSION_UNSPECIFIED:
		return out, nil
	case fleetpb.Compression_COMPRESSION_DEFLATE:
	default:
		return out, errors.Errorf("row %s: compression %v is not known", out.Key, r.GetCompression())
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(out.Value)), maxMessage+1))
	if err != nil {
		return out, errors.Annotatef(err, "row %s", out.Key)
	}
	if len(value) > maxMessage {
		return out, errors.Errorf("row %s is larger than %d bytes", out.Key, maxMessage)
	}
	out.Value = value
	return out, nil
}
