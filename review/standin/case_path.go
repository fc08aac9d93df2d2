package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["path"] = runPath }

// runPath sends unsafe requests, whose path begins with two slashes if there is trouble, to
// a route with the prefix "/".
func runPath(b *bed) ([]string, error) {
	all := route("bobo563", "unsafe", "orders-desk", map[string]any{"prefix": "/"})
	b.writeManifest(1, []any{all}, []any{map[string]any{"name": "orders-desk", "health-check": "/health", "max-connections": 110, "protocol": "h1", "tls": false}})
	if _, err := b.addReplica("orders-desk", replicaSpec{ID: "i-1", Slots: 6, WorkMs: 30}); err != nil {
		return nil, err
	}
	d, err := b.addDaemon()
	if err != nil {
		return nil, err
	}
	if err := b.waitReady(); err != nil {
		return nil, err
	}
	target := "/lo7/2f?n=1"
	if b.trouble {
		target = "//lo7/2f?n=1"
	}
	var broken []string
	for i := range 5 {
		c, err := dial(d.callers)
		if err != nil {
			return nil, err
		}
		id := fmt.Sprintf("9c41d07be2%02d", i)
		a := c.send(&clientRequest{id: id, method: "POST", target: target, deadline: 2500 * time.Millisecond, body: []byte("amount=5")})
		c.close()
		b.record("POST %s, id %s: %s", target, id, a)
		for _, line := range b.linesOf(id) {
			if strings.Contains(line, "arrived POST ") && !strings.Contains(line, " POST "+target+" ") {
				broken = append(broken, fmt.Sprintf("the client sent POST %s; replica %s", target, line))
			}
		}
	}
	return broken, nil
}
