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

// minCompressedBytes is the size from which on the value of a row is compressed. A
// configuration of a thousand routes has hundreds of kilobytes. The first daemons that
// have it send it to all others over links that may have only 10 Mbit/s. Uncompressed, it
// filled these links for seconds and delayed the status exchanges.
const minCompressedBytes = 4 << 10

// rowCompressor compresses large rows. It caches the last compressed value of each row, so
// that a change is compressed once and not for each daemon that pulls it.
type rowCompressor struct {
	mu sync.Mutex
	// rows holds the compressed values by table and key.
	rows map[string]compressedRow
}

// compressedRow is a value and its compressed form. The value is that of the table's row, of
// which no copy is made.
type compressedRow struct{ value, data []byte }

func newRowCompressor() *rowCompressor { return &rowCompressor{rows: map[string]compressedRow{}} }

// toPB converts a row to its message and compresses a large value if that makes it smaller.
func (c *rowCompressor) toPB(table string, r mirror.Row) *fleetpb.Row {
	row := &fleetpb.Row{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
	if len(r.Value) < minCompressedBytes {
		return row
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := table + "/" + r.Key
	cached, ok := c.rows[key]
	if !ok || !bytes.Equal(cached.value, r.Value) {
		data, err := deflateBytes(r.Value)
		if err != nil || len(data) >= len(r.Value) {
			return row
		}
		cached = compressedRow{r.Value, data}
		c.rows[key] = cached
	}
	row.Value, row.Compression = cached.data, fleetpb.Compression_COMPRESSION_DEFLATE
	return row
}

func deflateBytes(value []byte) ([]byte, error) {
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

// rowFromPB converts a message to a row and decompresses its value.
func rowFromPB(r *fleetpb.Row) (mirror.Row, error) {
	row := mirror.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Deleted: r.GetDeleted()}
	switch r.GetCompression() {
	case fleetpb.Compression_COMPRESSION_UNSPECIFIED:
		return row, nil
	case fleetpb.Compression_COMPRESSION_DEFLATE:
	default:
		return row, errors.Errorf("row %q has the unknown compression %v", row.Key, r.GetCompression())
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(row.Value)), maxMessageBytes+1))
	if err != nil {
		return row, errors.Annotatef(err, "decompress row %q", row.Key)
	}
	if len(value) > maxMessageBytes {
		return row, errors.Errorf("row %q has more than %d bytes when decompressed", row.Key, maxMessageBytes)
	}
	row.Value = value
	return row, nil
}
