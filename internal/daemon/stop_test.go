package daemon

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"eelgrassgrade/internal/adapter/engine"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/standin"
)

// startServing runs n daemons with a configuration and one endpoint of each pool. endpoint
// serves the engine and the service "desk". It returns the table, whose faults can be set.
func startServing(t *testing.T, n int, endpoint http.HandlerFunc) ([]*Daemon, *standin.Table) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/embeddings" || r.URL.Path == "/v1/retrieve" {
			w.Header().Set(engine.CallHeader, r.Header.Get(engine.CallHeader))
			fmt.Fprint(w, `{"data": [{"embedding": [1]}], "documents": [{"text": "x"}]}`)
			return
		}
		endpoint(w, r)
	}))
	t.Cleanup(server.Close)
	var list []core.Instance
	for _, pool := range []core.PoolID{"encoder", "retriever", "engine", "desk"} {
		list = append(list, core.Instance{ID: core.InstanceID(pool), Role: core.RoleEndpoint, Pool: pool, State: core.Live, DataCenter: "dc0", Address: server.Listener.Addr().String()})
	}
	table := standin.NewTable()
	daemons := startDaemonsWith(t, n, httptest.NewServer, map[string]any{"plain_text": true}, table, list...)
	eventually(t, "fresh views", func() bool {
		for _, d := range daemons {
			if !d.control.ViewIsFresh(time.Now()) || d.control.Daemons() != n || len(d.control.View().Endpoints["engine"]) == 0 {
				return false
			}
		}
		return true
	})
	src := fmt.Sprintf(`{"accounts": {"a": {"plan": "p", "keys_sha256": ["%x"]}}, "plans": {"p": {"pipelines": ["*"], "services": ["*"]}}, "ranks": {},
		"pools": {"encoder": {"kind": "encoder"}, "retriever": {"kind": "retriever"}, "engine": {"kind": "engine", "slots": 4}, "desk": {"kind": "service", "slots": 4}},
		"pipelines": {"text": {"stages": [{"name": "e", "pool": "encoder"}, {"name": "r", "pool": "retriever"}, {"name": "g", "pool": "engine", "max_tokens": 9}]}},
		"services": {"desk": {"pool": "desk", "operations": {"lookup": {"repeatable": true}, "deposit": {}}}}}`, sha256.Sum256([]byte("key")))
	if _, err := daemons[0].config.Apply(t.Context(), 0, "test", []byte(src)); err != nil {
		t.Fatal(err)
	}
	for _, d := range daemons {
		eventually(t, "ready", d.ready)
	}
	return daemons, table
}

// post sends a request and returns its status and body, or the error.
func post(d *Daemon, path, body string) string {
	r, err := http.NewRequest("POST", "http://"+d.settings.Listen.Callers+path, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Idempotency-Key", "k")
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, " ", string(b), err)
}

// Guards against requests that get no answer, or a stream without an error, because they
// outlast the stop.
func TestRequestsThatOutlastTheStopAreAnswered(t *testing.T) {
	daemons, _ := startServing(t, 1, func(w http.ResponseWriter, r *http.Request) {
		// The context ends with the connection only after the body is read.
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), `"stream":true`) {
			w.Header().Set(engine.CallHeader, r.Header.Get(engine.CallHeader))
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "data: {\"index\":0,\"choices\":[{\"text\":\"x\"}]}\n\n")
			w.(http.Flusher).Flush()
		}
		<-r.Context().Done()
	})
	d := daemons[0]
	want := map[string]string{
		"/v1/pipelines/text/requests {\"input\":\"x\"}":                 `502 {"type"`,
		"/v1/pipelines/text/requests {\"input\":\"y\",\"stream\":true}": "event: error",
		"/v1/services/desk/lookup {}":                                   `502 {"type"`,
		"/v1/services/desk/deposit {}":                                  `"ran":"unknown"`,
	}
	got := make(chan string, len(want))
	for request := range want {
		path, body, _ := strings.Cut(request, " ")
		go func() { got <- request + ": " + post(d, path, body) }()
	}
	eventually(t, "requests in progress", func() bool { return d.inFlight.Load() == int64(len(want)) })
	d.settings.DrainTimeoutMs = 200
	stopped := make(chan error, 1)
	go func() {
		err := d.stop()
		d.callers.Close() // as the end of the process does
		stopped <- err
	}()
	for range want {
		select {
		case answer := <-got:
			request, rest, _ := strings.Cut(answer, ": ")
			if !strings.Contains(rest, want[request]) {
				t.Errorf("%s, want %s", answer, want[request])
			}
		case <-time.After(5 * time.Second):
			t.Fatal("a request is not answered")
		}
	}
	if err := <-stopped; err == nil {
		t.Error("the stop does not report that requests were left")
	}
}

// Guards against outcomes of calls that are lost at the end of a stop because requests took
// all of its time: a caller that repeats the call must get the recorded answer.
func TestOutcomesAreRecordedAfterRequestsThatOutlastTheStop(t *testing.T) {
	var table *standin.Table
	set := func(outage bool) {
		body, err := json.Marshal(standin.Faults{Outage: outage})
		if err != nil {
			t.Error(err)
		}
		table.ControlHandler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/faults", strings.NewReader(string(body))))
	}
	daemons, table := startServing(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil || r.URL.Path != "/deposit" {
			<-r.Context().Done()
			return
		}
		set(true)
		w.Header().Set(engine.CallHeader, r.Header.Get(engine.CallHeader))
		fmt.Fprint(w, "{}")
	})
	d := daemons[0]
	if a := post(d, "/v1/services/desk/deposit", "{}"); !strings.HasPrefix(a, "200") {
		t.Fatal(a)
	}
	go post(d, "/v1/services/desk/lookup", "{}")
	eventually(t, "a request in progress", func() bool { return d.inFlight.Load() == 1 })
	// The retries of the outcome are now more than a second apart.
	time.Sleep(2 * time.Second)
	d.settings.DrainTimeoutMs = 1
	time.AfterFunc(50*time.Millisecond, func() { set(false) })
	if err := d.stop(); err == nil {
		t.Error("the stop does not report that requests were left")
	}
	if a := post(daemons[1], "/v1/services/desk/deposit", "{}"); !strings.HasPrefix(a, "200") {
		t.Errorf("the call is repeated: %s", a)
	}
}

// Guards against operators' requests that are dropped because they are read after the
// shutdown began.
func TestOperatorsRequestsDuringTheStopAreAnswered(t *testing.T) {
	d := startDaemons(t, 1)[0]
	var conn net.Conn
	eventually(t, "operators' server", func() bool {
		var err error
		conn, err = net.Dial("tcp", d.settings.Listen.Operators)
		return err == nil
	})
	defer conn.Close()
	// Connections are accepted in order: the answer on a later one shows that conn, too, is
	// accepted. The system resets those that are not when the listener closes.
	later := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := later.Get("http://" + d.settings.Listen.Operators + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- d.stop() }()
	eventually(t, "operators' listener closed", func() bool {
		c, err := net.Dial("tcp", d.settings.Listen.Operators)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	fmt.Fprint(conn, "GET /healthz HTTP/1.1\r\nHost: d\r\n\r\n")
	if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
		t.Errorf("an operator's request during the stop: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
