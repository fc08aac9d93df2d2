package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"eelgrassgrade/internal/core"
)

// Guards against wrong figures for the calls that daemons make to the instance
// list: reads of the list must be counted, changes at the control port must not.
func TestInstanceListCountsReads(t *testing.T) {
	l := NewInstanceList(0)
	l.LoadInitial([]core.Instance{{ID: "a"}})
	for range 3 {
		l.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	}
	control := l.ControlHandler()
	control.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPut, "/instances", strings.NewReader(`{"id":"b"}`)))
	rec := httptest.NewRecorder()
	control.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/counts", nil))
	if got, want := strings.TrimSpace(rec.Body.String()), `{"items":2,"reads":3}`; got != want {
		t.Errorf("counts %s, want %s", got, want)
	}
}
