package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
)

const embeddingDimensions = 8

func computeEmbedding(c call) (any, error) {
	var req struct{ Input string }
	if err := json.Unmarshal(c.body, &req); err != nil {
		return nil, err
	}
	h := fnv.New64a()
	io.WriteString(h, req.Input)
	sum, v := h.Sum64(), make([]float64, embeddingDimensions)
	for i := range v {
		v[i] = float64(sum>>(8*i)&0xff) / 255
	}
	return map[string]any{"data": []any{map[string]any{"index": 0, "embedding": v}}}, nil
}

// DocumentText returns the text of document i that a retriever stand-in returns
// for the query.
func DocumentText(query string, i int) string { return fmt.Sprintf("document %d on %.40s", i, query) }

func findDocuments(c call) (any, error) {
	var req struct {
		Query string
		TopK  int `json:"top_k"`
	}
	if err := json.Unmarshal(c.body, &req); err != nil {
		return nil, err
	}
	docs := make([]map[string]string, req.TopK)
	for i := range docs {
		docs[i] = map[string]string{"id": fmt.Sprintf("doc-%d", i), "text": DocumentText(req.Query, i)}
	}
	return map[string]any{"documents": docs}, nil
}

func rankDocuments(c call) (any, error) {
	var req struct {
		Documents []string
		TopN      int `json:"top_n"`
	}
	if err := json.Unmarshal(c.body, &req); err != nil {
		return nil, err
	}
	results := []map[string]any{}
	for i := range min(req.TopN, len(req.Documents)) {
		results = append(results, map[string]any{"index": len(req.Documents) - 1 - i, "relevance_score": 1 / float64(i+1)})
	}
	return map[string]any{"results": results}, nil
}

// applyOperation records an effect of a plain service and answers with its number.
func (e *Endpoint) applyOperation(c call) (any, error) {
	e.mu.Lock()
	order := len(e.effects) + 1
	e.effects = append(e.effects, Effect{Order: order, Operation: c.r.PathValue("operation"),
		Key: c.r.Header.Get("Idempotency-Key"), Call: c.id, Body: string(c.body)})
	e.mu.Unlock()
	if e.faults.consume(func(f *Faults) *int { return &f.DropAnswers }) {
		abortConnection()
	}
	return map[string]any{"operation": c.r.PathValue("operation"), "number": order}, nil
}
