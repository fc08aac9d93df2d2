package localrun

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
)

// State is the saved state of a deployment that runs in the background.
type State struct {
	Processes []ProcessState `json:"processes"`
}

// ProcessState is the saved state of one process.
type ProcessState struct {
	ID         core.InstanceID `json:"id"`
	PID        int             `json:"pid"`
	Path       string          `json:"path"`
	Args       []string        `json:"args"`
	Address    string          `json:"address"`
	Control    string          `json:"control"`
	Peer       string          `json:"peer,omitempty"`
	DataCenter string          `json:"data_center,omitempty"`
	Pool       core.PoolID     `json:"pool,omitempty"`
}

// Save writes the state of the cluster to a file that StopSaved reads.
func (c *Cluster) Save(file string) error {
	var s State
	for _, p := range c.AllProcesses() {
		s.Processes = append(s.Processes, ProcessState{p.ID, p.cmd.Process.Pid, p.program, p.args, p.Address, p.ControlAddress, p.PeerAddress, p.DataCenter, p.Pool})
	}
	return writeJSON(file, s)
}

const (
	// stopTimeout is the time between SIGTERM and SIGKILL.
	stopTimeout      = 15 * time.Second
	stopPollInterval = 50 * time.Millisecond
)

// StopSaved stops the processes of a saved state, in reverse order of their start,
// and removes the file.
func StopSaved(file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var s State
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	for i := len(s.Processes) - 1; i >= 0; i-- {
		if err := s.Processes[i].stop(); err != nil {
			return fmt.Errorf("%s: %w", s.Processes[i].ID, err)
		}
	}
	return os.Remove(file)
}

// isRunning reports whether the process that was started is still running. It
// compares the command line, because another program may have got the PID.
func (p ProcessState) isRunning() bool {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", p.PID))
	if err != nil {
		return false
	}
	return strings.TrimRight(string(b), "\x00") == strings.Join(append([]string{p.Path}, p.Args...), "\x00")
}

func (p ProcessState) stop() error {
	if !p.isRunning() {
		return nil
	}
	if err := syscall.Kill(p.PID, syscall.SIGTERM); err != nil && !errors.Is(err, syscall.ESRCH) {
		return err
	}
	for end := time.Now().Add(stopTimeout); p.isRunning(); time.Sleep(stopPollInterval) {
		if time.Now().After(end) {
			return syscall.Kill(p.PID, syscall.SIGKILL)
		}
	}
	return nil
}

// PoolsFromLists returns the stand-ins for every pool of a lists file: the number
// engines for a pool of engines and the number others for any other pool.
func PoolsFromLists(listsFile string, engines, others int) ([]Pool, error) {
	src, err := os.ReadFile(filepath.Clean(listsFile))
	if err != nil {
		return nil, err
	}
	s, err := config.Compile(listsFile, src, 1)
	if err != nil {
		return nil, err
	}
	var pools []Pool
	for _, id := range slices.Sorted(maps.Keys(s.Lists.Pools)) {
		p := s.Lists.Pools[id]
		pool := Pool{ID: id, Kind: p.Kind, Count: others, Args: []string{"-slots", fmt.Sprint(p.Slots)}}
		if p.Kind == config.KindEngine {
			pool.Count = engines
			pool.Args = append(pool.Args, fmt.Sprintf("-checks-fencing=%t", p.ChecksFencing), "-model", p.Model)
		}
		pools = append(pools, pool)
	}
	return pools, nil
}
