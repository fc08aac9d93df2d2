package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
	"unsafe"
)

// commands tell a replica to make a part of its answer, until the daemon reads no more of it,
// or the rest.
var commands = make(chan string, 10)

// runReplica is the process of a replica: ID, ADDRESS, and the size of its answers in bytes.
// It prints what it runs. Its answers have no length and end with their channel; they are made
// as fast as the commands on its standard input say.
func runReplica(args []string) {
	id, address := args[0], args[1]
	size, err := strconv.Atoi(args[2])
	check(err)
	l, err := net.Listen("tcp", address)
	check(err)
	fmt.Println("listening")
	go func() {
		for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
			commands <- lines.Text()
		}
	}()
	for {
		c, err := l.Accept()
		check(err)
		go serveReplica(c, id, size)
	}
}

// serveReplica serves one request on a channel.
func serveReplica(c net.Conn, id string, size int) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if want := r.Header.Get(names.Expect); want != "" && want != id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", names.Instance, id, names.NotExecuted)
		return
	}
	requestID := r.Header.Get(names.RequestID)
	fmt.Println("runs", requestID)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3e1b.07.%s\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n\r\n", names.RequestID, requestID, names.Seal, id)
	tcp := c.(*net.TCPConn)
	_ = tcp.SetWriteBuffer(16 << 10)
	sent, widest := 0, 0
	for command := range commands {
		for sent < size {
			n, err := c.Write(answerBytes(sent, min(4<<10, size-sent)))
			sent += n
			if err != nil {
				fmt.Println("broken", requestID, sent)
				return
			}
			if command != "part" {
				continue
			}
			// The rest is made while the bytes so far are under way.
			for unacknowledged(tcp) > 0 {
				time.Sleep(100 * time.Microsecond)
			}
			widest = max(widest, peerWindow(tcp))
			if sent < 256<<10 || widest-peerWindow(tcp) < 16<<10 {
				continue
			}
			// The daemon's machine has all bytes, the daemon has not read the last ones.
			time.Sleep(200 * time.Millisecond)
			if unacknowledged(tcp) == 0 && widest-peerWindow(tcp) >= 16<<10 {
				fmt.Println("unread", requestID, sent)
				break
			}
		}
		if sent == size {
			break
		}
	}
	fmt.Println("whole", requestID, sent)
}

// peerWindow returns the number of bytes that the peer's machine takes at present
// (tcpi_snd_wnd of struct tcp_info): what its process has not read makes it smaller.
func peerWindow(c *net.TCPConn) int {
	raw, err := c.SyscallConn()
	check(err)
	var info [256]byte
	length := uint32(len(info))
	check(raw.Control(func(fd uintptr) {
		_, _, _ = syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO, uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&length)), 0)
	}))
	const offset = 228
	if length < offset+4 {
		giveUp("the system does not tell the window")
	}
	return int(binary.NativeEndian.Uint32(info[offset:]))
}

// answerBytes returns a part of the bytes of each answer.
func answerBytes(from, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + (from+i)/64%26)
	}
	return b
}

// unacknowledged returns the number of sent bytes that the peer's machine has not
// acknowledged.
func unacknowledged(c *net.TCPConn) int {
	raw, err := c.SyscallConn()
	check(err)
	n := int32(0)
	check(raw.Control(func(fd uintptr) {
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n)))
	}))
	return int(n)
}

// goDark makes an address silent, like that of a machine that is gone: whoever connects gets
// no answer. The listener's queue is full and nobody accepts.
func goDark(address string) {
	host, portText, err := net.SplitHostPort(address)
	check(err)
	port, err := strconv.Atoi(portText)
	check(err)
	sa := &syscall.SockaddrInet4{Port: port}
	copy(sa.Addr[:], net.ParseIP(host).To4())
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	check(err)
	check(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	check(syscall.Bind(fd, sa))
	check(syscall.Listen(fd, 0))
	for range 8 {
		c, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
		if err != nil {
			return
		}
		// The channel stays open until the process ends.
		darkConns = append(darkConns, c)
	}
	fmt.Fprintln(os.Stderr, "the address still accepts channels")
	giveUp("the address does not go dark")
}

// darkConns keeps the channels that fill the queue of a dark address.
var darkConns []net.Conn
