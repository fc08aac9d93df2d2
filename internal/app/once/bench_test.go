package once

import (
	"fmt"
	"testing"
	"time"

	"eelgrassgrade/internal/decide/idempotency"
)

// tableCalls returns the numbers of table writes and reads made by o.
func tableCalls(o *Once) (writes, reads int) {
	c := o.table.(*tableClient)
	return c.calls["write"], c.calls["read"]
}

// Guards against a call that uses more than the budgeted three writes and no
// read of the table service.
func TestTableCallsPerCall(t *testing.T) {
	svc, o := &service{}, newStore().newDaemon(nil)
	if _, _, err := svc.do(o, "a", "k", "body", "1"); err != nil {
		t.Fatal(err)
	}
	if w, r := tableCalls(o); w != writesPerCall || r != 0 {
		t.Errorf("%d writes and %d reads", w, r)
	}
}

func BenchmarkRun(b *testing.B) {
	svc, o := &service{}, newStore().newDaemon(nil)
	for i := 0; b.Loop(); i++ {
		svc.do(o, "a", fmt.Sprint(i), "body", "1")
	}
	w, r := tableCalls(o)
	b.ReportMetric(float64(w)/float64(b.N), "writes/op")
	b.ReportMetric(float64(r)/float64(b.N), "reads/op")
}

func BenchmarkDecide(b *testing.B) {
	now, hash := time.Now(), idempotency.HashBody([]byte("body"))
	rec := idempotency.NewClaim("t", hash, timeout, now)
	for b.Loop() {
		idempotency.Decide(&rec, hash, now)
	}
}
