package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// sentAnswer is an answer of an endpoint. The last one is kept, because the
// fault SwapAnswers sends it in place of the next answer.
type sentAnswer struct {
	callID string
	body   []byte
}

// duplicateLinger is the time for which a connection stays open after a
// duplicated answer, so that a client that reuses the connection reads the
// second copy as the answer to its next call.
const duplicateLinger = 50 * time.Millisecond

// sendAnswer sends v as JSON, subject to the faults SwapAnswers, Duplicate and
// Truncate.
func (e *Endpoint) sendAnswer(c call, v any) {
	body, _ := json.Marshal(v)
	a := sentAnswer{c.id, append(body, '\n')}
	e.mu.Lock()
	previous := e.lastAnswer
	e.lastAnswer = a
	e.mu.Unlock()
	if e.faults.consume(func(f *Faults) *int { return &f.SwapAnswers }) {
		e.swaps.Add(1)
		if a = previous; a.callID == "" {
			a = sentAnswer{"other/stage/1", []byte("{}\n")}
		}
	}
	if e.faults.consume(func(f *Faults) *int { return &f.Duplicate }) {
		e.duplicates.Add(1)
		sendAnswerTwice(c.w, a)
		return
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(callHeader, a.callID)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	if e.faults.consume(func(f *Faults) *int { return &f.Truncate }) {
		e.truncated.Add(1)
		c.w.Write(a.body[:len(a.body)/2])
		http.NewResponseController(c.w).Flush()
		abortConnection()
	}
	c.w.Write(a.body)
}

// sendAnswerTwice writes two copies of the response to the connection.
func sendAnswerTwice(w http.ResponseWriter, a sentAnswer) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		abortConnection()
	}
	raw := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", callHeader, a.callID, len(a.body), a.body)
	fmt.Fprint(conn, raw+raw)
	time.AfterFunc(duplicateLinger, func() { conn.Close() })
}
