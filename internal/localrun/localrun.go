// Package localrun starts daemons and stand-ins as separate processes on
// loopback addresses, for the demo, scripted scenarios and benchmarks.
package localrun

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/core"
)

// OperatorKey is the operator key that the daemons of a local run accept.
const OperatorKey = "operator-key"

// Spec describes a local deployment.
type Spec struct {
	// Dir is the directory for settings and logs.
	Dir string
	// BinDir is the directory with the programs eelgrassd and eelgrass-standin.
	BinDir string
	// DataCenters names the data centres. The daemons, and the endpoints of each
	// pool, are assigned to them round robin.
	DataCenters []string
	// Daemons is the number of daemons.
	Daemons int
	// Pools describes the endpoints.
	Pools []Pool
	// InstanceListLag is the delay with which the instance list publishes changes.
	InstanceListLag time.Duration
	// Policy is the policy setting of the daemons; empty selects the default.
	Policy string
}

// Pool describes the endpoints of one pool.
type Pool struct {
	ID    core.PoolID
	Kind  string
	Count int
	// Args holds additional flags for the stand-ins.
	Args []string
}

// Cluster is a running local deployment.
type Cluster struct {
	Spec      Spec
	Table     *Process
	Objects   *Process
	Instances *Process
	Endpoints []*Process
	Daemons   []*Process

	host     string
	nextPort int
}

// Start starts the platform stand-ins, the endpoints and the daemons, and waits
// until all processes accept connections. The daemons do not become ready before
// the first lists are applied.
func Start(ctx context.Context, spec Spec) (*Cluster, error) {
	c := &Cluster{Spec: spec, host: loopbackHost(), nextPort: firstPort}
	if err := os.MkdirAll(spec.Dir, 0o755); err != nil {
		return nil, err
	}
	if err := c.planProcesses(); err != nil {
		return nil, err
	}
	for _, p := range c.AllProcesses() {
		if err := p.Start(); err != nil {
			c.Stop()
			return nil, err
		}
	}
	for _, p := range c.AllProcesses() {
		if err := p.WaitListening(ctx); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

// AllProcesses returns every process of the cluster.
func (c *Cluster) AllProcesses() []*Process {
	all := []*Process{c.Table, c.Objects, c.Instances}
	all = append(all, c.Endpoints...)
	return append(all, c.Daemons...)
}

// FindProcess returns the process with the given ID, or nil.
func (c *Cluster) FindProcess(id core.InstanceID) *Process {
	for _, p := range c.AllProcesses() {
		if p.ID == id {
			return p
		}
	}
	return nil
}

// PoolEndpoints returns the endpoints of a pool.
func (c *Cluster) PoolEndpoints(id core.PoolID) []*Process {
	var found []*Process
	for _, p := range c.Endpoints {
		if p.Pool == id {
			found = append(found, p)
		}
	}
	return found
}

// Stop ends all processes: the daemons gracefully, then the others at once.
func (c *Cluster) Stop() {
	var wg sync.WaitGroup
	for _, p := range c.Daemons {
		wg.Go(func() { p.Terminate(10 * time.Second) })
	}
	wg.Wait()
	for _, p := range c.AllProcesses() {
		p.Kill()
	}
}

// planProcesses assigns addresses and arguments to all processes and writes their
// settings and the initial instance list.
func (c *Cluster) planProcesses() error {
	program := filepath.Join(c.Spec.BinDir, "eelgrass-standin")
	c.Table = c.newStandIn(program, "table", "table", nil)
	c.Objects = c.newStandIn(program, "objects", "objects", nil)
	var list []core.Instance
	for _, pool := range c.Spec.Pools {
		for i := range pool.Count {
			p := c.newStandIn(program, fmt.Sprintf("%s-%d", pool.ID, i), pool.Kind, pool.Args)
			p.Pool, p.DataCenter = pool.ID, c.Spec.DataCenters[i%len(c.Spec.DataCenters)]
			c.Endpoints = append(c.Endpoints, p)
			list = append(list, core.Instance{ID: p.ID, Role: core.RoleEndpoint, DataCenter: core.DataCenterID(p.DataCenter), State: core.Live, Address: p.Address, Pool: pool.ID})
		}
	}
	for i := range c.Spec.Daemons {
		p := &Process{ID: core.InstanceID(fmt.Sprintf("daemon-%d", i)), Address: c.nextFreeAddress(), ControlAddress: c.nextFreeAddress(), PeerAddress: c.nextFreeAddress(),
			DataCenter: c.Spec.DataCenters[i%len(c.Spec.DataCenters)], program: filepath.Join(c.Spec.BinDir, "eelgrassd")}
		p.logFile = filepath.Join(c.Spec.Dir, string(p.ID)+".log")
		c.Daemons = append(c.Daemons, p)
		list = append(list, core.Instance{ID: p.ID, Role: core.RoleDaemon, DataCenter: core.DataCenterID(p.DataCenter), State: core.Live, Address: p.PeerAddress})
	}
	file := filepath.Join(c.Spec.Dir, "instances.json")
	if err := writeJSON(file, list); err != nil {
		return err
	}
	c.Instances = c.newStandIn(program, "instances", "instances", []string{"-instances", file, "-lag", c.Spec.InstanceListLag.String()})
	return c.writeSettings()
}

func (c *Cluster) newStandIn(program, id, kind string, args []string) *Process {
	p := &Process{ID: core.InstanceID(id), Address: c.nextFreeAddress(), ControlAddress: c.nextFreeAddress(), program: program, logFile: filepath.Join(c.Spec.Dir, id+".log")}
	p.args = append([]string{"-kind", kind, "-listen", p.Address, "-control", p.ControlAddress}, args...)
	return p
}

func (c *Cluster) writeSettings() error {
	digest := sha256.Sum256([]byte(OperatorKey))
	for _, p := range c.Daemons {
		s := map[string]any{
			"instance": p.ID, "data_center": p.DataCenter,
			"listen":               map[string]string{"callers": p.Address, "operators": p.ControlAddress, "peers": p.PeerAddress},
			"table":                map[string]string{"url": "http://" + c.Table.Address},
			"objects":              map[string]string{"url": "http://" + c.Objects.Address},
			"instances":            map[string]string{"url": "http://" + c.Instances.Address},
			"operator_keys_sha256": []string{hex.EncodeToString(digest[:])},
			"tls":                  map[string]bool{"plain_text": true},
			"drain_wait_ms":        200,
		}
		if c.Spec.Policy != "" {
			s["policy"] = c.Spec.Policy
		}
		file := filepath.Join(c.Spec.Dir, string(p.ID)+".jsonc")
		if err := writeJSON(file, s); err != nil {
			return err
		}
		p.args = []string{"-settings", file}
	}
	return nil
}

func writeJSON(file string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, b, 0o644)
}

// clusterCount is the number of clusters that this process has started.
var clusterCount atomic.Uint32

const (
	firstPort = 20000
	// lastPort is below the range of ephemeral ports. An outgoing connection could
	// otherwise take a port after it was chosen and before the process listens.
	lastPort = 30000
)

// loopbackHost returns a loopback IP address that is unlikely to be in use by
// another cluster on the machine. It depends on the process ID and clusterCount.
func loopbackHost() string {
	n := uint32(os.Getpid())*31 + clusterCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+n>>16&0x7f, n>>8&0xff, 1+n&0x7f)
}

// nextFreeAddress returns the cluster's host with the next port that is free.
func (c *Cluster) nextFreeAddress() string {
	for ; c.nextPort < lastPort; c.nextPort++ {
		addr := fmt.Sprintf("%s:%d", c.host, c.nextPort)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		ln.Close()
		c.nextPort++
		return addr
	}
	panic("no free port on " + c.host)
}

// ApplyLists applies the lists to the version base at the first daemon and waits
// until all daemons are ready.
func (c *Cluster) ApplyLists(ctx context.Context, base int, lists []byte) error {
	url := fmt.Sprintf("http://%s/v1/lists?base=%d&author=local", c.Daemons[0].ControlAddress, base)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(lists)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var problem struct{ Detail string }
		json.NewDecoder(resp.Body).Decode(&problem)
		return fmt.Errorf("apply lists: %s: %s", resp.Status, problem.Detail)
	}
	return c.WaitReady(ctx)
}

// WaitReady waits until all daemons are ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, d := range c.Daemons {
		if err := d.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}
