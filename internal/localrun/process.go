package localrun

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"eelgrassgrade/internal/core"
)

// Process is a process of a cluster. It can be stopped and started again.
type Process struct {
	ID core.InstanceID
	// Address is the serving address: a daemon's for callers, a stand-in's for
	// daemons. ControlAddress is a daemon's operator address or a stand-in's
	// control port.
	Address        string
	ControlAddress string
	// PeerAddress is a daemon's address for other daemons, and empty for stand-ins.
	PeerAddress string
	DataCenter  string
	Pool        core.PoolID

	program string
	args    []string
	logFile string
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
}

const pollInterval = 20 * time.Millisecond

// waitUntil polls done until it returns true. If ctx ends first, it returns an
// error that begins with failure.
func waitUntil(ctx context.Context, failure string, done func() bool) error {
	for !done() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", failure, ctx.Err())
		}
	}
	return nil
}

// readyClient limits the time of a health check: a paused process accepts
// connections but does not answer.
var readyClient = &http.Client{Timeout: 500 * time.Millisecond}

// WaitReady waits until the daemon's /readyz answers 200.
func (p *Process) WaitReady(ctx context.Context) error {
	return waitUntil(ctx, string(p.ID)+" did not become ready", func() bool {
		resp, err := readyClient.Get("http://" + p.ControlAddress + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// WaitListening waits until the process accepts connections.
func (p *Process) WaitListening(ctx context.Context) error {
	return waitUntil(ctx, string(p.ID)+" does not accept connections", func() bool {
		conn, err := net.DialTimeout("tcp", p.ControlAddress, time.Second)
		if err != nil {
			return false
		}
		conn.Close()
		return true
	})
}

// Start starts the process, or restarts it after it has ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	p.cmd = exec.Command(p.program, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	// In its own process group, the process does not get an interrupt from the
	// terminal. Only this program gets it and stops the processes in order.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		p.exitErr = p.cmd.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.cmd.Process.Signal(s)
}

// Wait waits up to d for the process to end and returns its exit error.
func (p *Process) Wait(d time.Duration) error {
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(d):
		return fmt.Errorf("%s is still running after %s", p.ID, d)
	}
}

// Terminate sends SIGTERM, waits up to d for the process to end and returns its
// exit error.
func (p *Process) Terminate(d time.Duration) error {
	if p.cmd == nil {
		return nil
	}
	p.Signal(syscall.SIGTERM)
	return p.Wait(d)
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Continue resumes a process that Pause suspended.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Restart kills the process, starts it again at the same addresses and waits
// until it accepts connections.
func (p *Process) Restart(ctx context.Context) error {
	p.Kill()
	if err := p.Start(); err != nil {
		return err
	}
	return p.WaitListening(ctx)
}

// ControlGet requests a path at ControlAddress and decodes the JSON answer.
func (p *Process) ControlGet(path string, into any) error {
	resp, err := http.Get("http://" + p.ControlAddress + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", p.ID, path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// ControlPost posts body as JSON to a path at ControlAddress.
func (p *Process) ControlPost(path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+p.ControlAddress+path, "application/json", strings.NewReader(string(b)))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return fmt.Errorf("%s %s: %s", p.ID, path, resp.Status)
	}
	return nil
}
