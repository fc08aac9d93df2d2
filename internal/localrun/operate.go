package localrun

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"eelgrassgrade/internal/core"
)

// PoolID names an endpoint pool.
type PoolID = core.PoolID

// CallOperatorAPI calls the operator API of daemon d and returns the body of the
// answer. A status of 300 or above is an error.
func (c *Cluster) CallOperatorAPI(ctx context.Context, d *Process, method, path, body string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.ControlAddress+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= http.StatusMultipleChoices {
		err = fmt.Errorf("%s %s at %s: %s: %s", method, path, d.ID, resp.Status, answer)
	}
	return answer, err
}

// SetListedState sets the state of a process in the platform's instance list to
// "live" or "leaving", or removes the process from the list if state is "gone".
func (c *Cluster) SetListedState(p *Process, state string) error {
	method, path := http.MethodPut, "/instances"
	instance := core.Instance{ID: p.ID, Role: core.RoleEndpoint, DataCenter: core.DataCenterID(p.DataCenter), State: core.InstanceState(state), Address: p.Address, Pool: p.Pool}
	if p.PeerAddress != "" {
		instance.Role, instance.Address = core.RoleDaemon, p.PeerAddress
	}
	if state == "gone" {
		method, path = http.MethodDelete, "/instances/"+string(p.ID)
	}
	body, err := json.Marshal(instance)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://"+c.Instances.ControlAddress+path, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("change of the instance list was refused: %s", resp.Status)
	}
	return nil
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return p.cmd != nil
	}
}
