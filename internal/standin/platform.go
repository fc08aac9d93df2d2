package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"eelgrassgrade/internal/core"
)

// Table stands in for the table service. It speaks the part of the DynamoDB
// API that the daemon uses: GetItem, Query and TransactWriteItems.
type Table struct {
	faults faultState

	mu     sync.Mutex
	items  map[core.RecordKey]item
	reads  int64
	writes int64
}

// item is a DynamoDB item.
type item map[string]attribute

// attribute is a DynamoDB attribute value of type string, number or binary.
type attribute struct {
	S string `json:"S,omitempty"`
	N string `json:"N,omitempty"`
	B []byte `json:"B,omitempty"`
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{items: map[core.RecordKey]item{}} }

// tableRequest has the fields of all supported operations.
type tableRequest struct {
	Key           item
	Limit         int
	TransactItems []struct{ Put tablePut }
	Values        item `json:"ExpressionAttributeValues"`
}

type tablePut struct {
	Item      item
	Condition string `json:"ConditionExpression"`
	Values    item   `json:"ExpressionAttributeValues"`
}

// ServeHTTP implements the DynamoDB API.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http detects a closed connection only after the body has been read.
	body, err := io.ReadAll(r.Body)
	if err != nil || !t.faults.applyCallFaults(w, r) {
		return
	}
	var req tableRequest
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	_, op, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	switch op {
	case "GetItem":
		t.get(w, req)
	case "Query":
		t.query(w, req)
	case "TransactWriteItems":
		t.transact(w, req)
	default:
		http.Error(w, "unknown operation", http.StatusBadRequest)
	}
}

func recordKey(i item) core.RecordKey {
	return core.RecordKey{Partition: i["pk"].S, Sort: i["sk"].S}
}

func (t *Table) get(w io.Writer, req tableRequest) {
	t.mu.Lock()
	t.reads++
	found := t.items[recordKey(req.Key)]
	t.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]any{"Item": found})
}

func (t *Table) query(w io.Writer, req tableRequest) {
	t.mu.Lock()
	t.reads++
	found := []item{}
	for k, it := range t.items {
		if k.Partition == req.Values[":pk"].S && k.Sort >= req.Values[":from"].S {
			found = append(found, it)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a["sk"].S, b["sk"].S) })
	if req.Limit > 0 && len(found) > req.Limit {
		found = found[:req.Limit]
	}
	json.NewEncoder(w).Encode(map[string]any{"Items": found, "Count": len(found)})
}

func (t *Table) transact(w http.ResponseWriter, req tableRequest) {
	t.mu.Lock()
	reasons := t.apply(req)
	t.mu.Unlock()
	if t.faults.consume(func(f *Faults) *int { return &f.DropAnswers }) {
		abortConnection()
	}
	if reasons == nil {
		io.WriteString(w, "{}")
		return
	}
	w.WriteHeader(http.StatusBadRequest)
	json.NewEncoder(w).Encode(map[string]any{
		"__type": "com.amazonaws.dynamodb.v20120810#TransactionCanceledException", "Message": "Transaction cancelled", "CancellationReasons": reasons,
	})
}

// apply writes all items and returns nil if every condition holds. Otherwise it
// writes none and returns the cancellation reasons, one per item.
func (t *Table) apply(req tableRequest) []map[string]string {
	reasons, allHold := make([]map[string]string, len(req.TransactItems)), true
	for i, write := range req.TransactItems {
		reasons[i] = map[string]string{"Code": "None"}
		old, exists := t.items[recordKey(write.Put.Item)]
		conditionHolds := !exists
		if write.Put.Condition == "rev = :rev" {
			conditionHolds = exists && old["rev"].N == write.Put.Values[":rev"].N
		}
		if !conditionHolds {
			reasons[i]["Code"], allHold = "ConditionalCheckFailed", false
		}
	}
	if !allHold {
		return reasons
	}
	for _, write := range req.TransactItems {
		t.writes++
		t.items[recordKey(write.Put.Item)] = write.Put.Item
	}
	return nil
}

// ControlHandler returns the handler of the control port: POST /faults, GET /counts.
func (t *Table) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /faults", &t.faults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		t.mu.Lock()
		defer t.mu.Unlock()
		writeJSON(w, map[string]int64{"reads": t.reads, "writes": t.writes, "items": int64(len(t.items))})
	})
	return mux
}

// Objects stands in for the object store. It speaks the part of the S3 API
// that the daemon uses: PutObject and GetObject with path-style URLs.
type Objects struct {
	faults faultState

	mu     sync.Mutex
	data   map[string][]byte
	reads  int64
	writes int64
}

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{data: map[string][]byte{}} }

// ServeHTTP implements the S3 API.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestBody, err := io.ReadAll(r.Body)
	if err != nil || !o.faults.applyCallFaults(w, r) {
		return
	}
	switch r.Method {
	case http.MethodPut:
		o.mu.Lock()
		o.data[r.URL.Path] = requestBody
		o.writes++
		o.mu.Unlock()
		if o.faults.consume(func(f *Faults) *int { return &f.DropAnswers }) {
			abortConnection()
		}
	case http.MethodGet:
		o.mu.Lock()
		body, ok := o.data[r.URL.Path]
		o.reads++
		o.mu.Unlock()
		if !ok {
			w.Header().Set("Content-Type", "application/xml")
			w.WriteHeader(http.StatusNotFound)
			io.WriteString(w, "<Error><Code>NoSuchKey</Code><Message>no such key</Message></Error>")
			return
		}
		w.Write(body)
	default:
		http.Error(w, "unknown operation", http.StatusMethodNotAllowed)
	}
}

// ControlHandler returns the handler of the control port: POST /faults, GET /counts.
func (o *Objects) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /faults", &o.faults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		o.mu.Lock()
		defer o.mu.Unlock()
		writeJSON(w, map[string]int64{"reads": o.reads, "writes": o.writes, "items": int64(len(o.data))})
	})
	return mux
}
