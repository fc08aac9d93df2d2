package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const drainTime = 2 * time.Second

// channel is a client's kept channel.
type channel struct {
	bed    *bed
	daemon *daemon
	conn   net.Conn
	r      *bufio.Reader
}

func openChannel(b *bed, d *daemon) (*channel, error) {
	conn, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{b, d, conn, bufio.NewReader(conn)}, nil
}

// send sends a request and reads its answer to the end.
func (c *channel) send(method, path, id, body string, deadline time.Duration, header map[string]string) (status int, answer string, err error) {
	var q strings.Builder
	fmt.Fprintf(&q, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n", method, path, host, names["id"], id, names["deadline"], deadline.Milliseconds(), key)
	for k, v := range header {
		fmt.Fprintf(&q, "%s: %s\r\n", k, v)
	}
	if body != "" {
		fmt.Fprintf(&q, "Content-Length: %d\r\n", len(body))
	}
	q.WriteString("\r\n" + body)
	c.bed.rec.write("sent %s %s to %s on a channel from %s", id, path, c.daemon.name, c.conn.LocalAddr())
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err = io.WriteString(c.conn, q.String()); err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(c.r, &http.Request{Method: method}); err == nil {
			var b strings.Builder
			status = resp.StatusCode
			_, err = io.Copy(&b, resp.Body)
			answer = b.String()
		}
	}
	c.bed.rec.write("answered %s: status %d, %d bytes, error %v", id, status, len(answer), err)
	return status, answer, err
}

// caseDrain: a replica whose answers end with their channel drains. It serves for longer than
// the drain time, then takes no new channels and ends its answers in order.
func caseDrain(b *bed, trouble bool) (string, error) {
	const streams, events = 32, 25
	var mu sync.Mutex
	whole := map[string]string{}
	b.onWhole = func(p *replica, id string, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			whole[id] = p.name
		}
		b.rec.write("replica %s has written the whole answer to %s and closes its channel in order, error %v", p.name, id, err)
	}
	m := stagedManifest(7)
	m["routes"] = append(m["routes"].([]any), map[string]any{"name": "quick", "hostname": host, "prefix": "/quick/", "route-type": "stream", "timeout-ms": 9000, "target-latency-ms": 2000,
		"priority": 1, "backend": "models", "attempts": 1, "public": false, "affinity": false, "stream-resume": false, "gap-target-ms": 500})
	b.store.put("op", "config", m)
	var models []*replica
	err := addStagedReplicas(b, 4, func(p *replica) {
		if p.service == "models" {
			p.unframed, p.events, p.eventGap = true, events, 180*time.Millisecond
			models = append(models, p)
		}
	})
	if err != nil {
		return "", err
	}
	if err := b.startDaemons(3); err != nil {
		return "", err
	}
	if err := b.waitReady(10 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(contact)
	type outcome struct {
		id     string
		status int
		answer string
		err    error
	}
	outcomes := make([]outcome, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			o := &outcomes[i]
			o.id = fmt.Sprintf("stream-%d", i)
			c, err := openChannel(b, b.daemons[i%3])
			if err != nil {
				o.err = err
				return
			}
			defer c.conn.Close()
			// The channel is a kept one: it has carried a request before.
			if status, _, err := c.send(http.MethodGet, "/look/up", fmt.Sprintf("look-%d", i), "", 2*time.Second, nil); status != 200 || err != nil {
				o.err = fmt.Errorf("the first request on the channel: %d %v", status, err)
				return
			}
			o.status, o.answer, o.err = c.send(http.MethodPost, "/quick/ask", o.id, "question", 8*time.Second,
				map[string]string{names["model"]: "m", names["tokens"]: "200,80", names["prompt"]: fmt.Sprintf("a1:100,b%d:100", i)})
		})
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	if trouble {
		models[0].drain(drainTime + 500*time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	lost, complete := 0, 0
	for _, o := range outcomes {
		switch {
		case o.status == 200 && o.err == nil && o.answer == wholeStream(o.id, events):
			complete++
		case whole[o.id] != "":
			lost++
			b.rec.write("%s: the client had %d of %d bytes, and its channel ended without the end of the answer: %v", o.id, len(o.answer), len(wholeStream(o.id, events)), o.err)
		default:
			b.rec.write("%s: status %d, error %v, not written whole by a replica", o.id, o.status, o.err)
		}
	}
	fmt.Printf("%d of %d streams complete, %d lost although their replica ended them in order\n", complete, streams, lost)
	if complete+lost < streams/2 {
		return "", fmt.Errorf("only %d of %d streams were served", complete+lost, streams)
	}
	if lost > 3 {
		return fmt.Sprintf("LOST: %d requests on kept channels were passed on to a sound replica, and their channels were closed without a complete answer; 3 are allowed", lost), nil
	}
	return "", nil
}
