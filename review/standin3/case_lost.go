package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// caseLost: a replica is lost for good, machine and all, in the middle of an answer that has
// no length, while the client reads slowly. The client must not get the part as a whole.
func caseLost() {
	const size = 24 << 20
	b := newBed()
	address := freePorts("127.0.32.1", 1)[0]
	const id = "i-7f3a91c2"
	events := make(chan string, 100)
	cmd := exec.Command(os.Args[0], "replica", id, address, fmt.Sprint(size))
	commands, err := cmd.StdinPipe()
	check(err)
	replica := b.start("replica "+id, func(line string) { b.log("replica %s: %s", id, line); events <- line }, cmd)
	tell := func(command string) {
		_, err := fmt.Fprintln(commands, command)
		check(err)
	}
	await(events, "listening")
	b.store.put("servers", id, entry("docs", address, "quimper-a", "ready", 8, time.Now()))
	b.store.put("op", "config", manifest(1, []map[string]any{{"name": "docs", "hostname": "docs.example", "prefix": "/docs/", "route-type": "unsafe",
		"timeout-ms": 30000, "target-latency-ms": 2000, "priority": 1, "attempts": 1, "backend": "docs"}},
		[]map[string]any{{"name": "docs", "health-check": "/health"}}))
	d := b.startDaemons(1)[0]

	c, err := net.DialTimeout("tcp", d.front, time.Second)
	check(err)
	defer c.Close()
	check(c.SetDeadline(time.Now().Add(30 * time.Second)))
	_ = c.(*net.TCPConn).SetReadBuffer(32 << 10)
	const requestID = "9c41d07be2a35f68"
	fmt.Fprintf(c, "POST /docs/2f HTTP/1.1\r\nHost: docs.example\r\n%s: %s\r\n%s: 30000\r\nAuthorization: Bearer %s\r\nContent-Length: 5\r\n\r\nhello", names.RequestID, requestID, names.Deadline, testKey)
	b.log("client: sent %s", requestID)
	tell("part")
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), nil)
	check(err)
	b.log("client: status %d, seal %q, length %d, encoding %v", resp.StatusCode, resp.Header.Get(names.Seal), resp.ContentLength, resp.TransferEncoding)
	read, wrong := int64(0), false
	readSome := func(n int64) error {
		for n > 0 {
			part := make([]byte, min(n, 16<<10))
			m, err := resp.Body.Read(part)
			wrong = wrong || string(part[:m]) != string(answerBytes(int(read), m))
			read, n = read+int64(m), n-int64(m)
			if err != nil {
				return err
			}
		}
		return nil
	}
	// The client reads slowly, so the daemon waits for it.
	check(readSome(64 << 10))
	arrived := made(await(events, "unread"))
	b.log("client: has read %d bytes and reads slowly; the replica has sent %d bytes, all of which have reached the daemon's machine; the daemon has not read the last ones", read, arrived)
	if b.trouble {
		check(replica.cmd.Process.Kill())
		<-replica.done
		goDark(address)
		b.log("the replica is lost for good: its process has ended, and its machine answers no more")
		time.Sleep(3 * time.Second)
		// Three status report intervals of silence have passed.
		time.Sleep(time.Second)
		b.store.remove("servers", id)
		b.log("store: the replica's entry has expired")
	}
	if !b.trouble {
		tell("rest")
	}
	err = readSome(size + 1)
	complete := err == io.EOF
	b.log("client: the answer ended after %d of %d bytes: %v; complete by its framing: %v; bytes as sent: %v", read, size, err, complete, !wrong)
	b.finish(complete && read != size || wrong || !b.trouble && !complete, "the client got %d of %d bytes of the replica's answer, which looks complete: %v", read, size, complete)
}

// made returns the number of bytes that a line of the replica names.
func made(line string) int64 {
	n, err := strconv.ParseInt(line[strings.LastIndexByte(line, ' ')+1:], 10, 64)
	check(err)
	return n
}

// await waits for a line that begins with one of the words.
func await(lines <-chan string, words ...string) string {
	for end := time.After(20 * time.Second); ; {
		select {
		case line := <-lines:
			for _, word := range words {
				if strings.HasPrefix(line, word) {
					return line
				}
			}
		case <-end:
			giveUp("no line " + strings.Join(words, " or "))
		}
	}
}
