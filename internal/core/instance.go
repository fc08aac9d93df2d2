package core

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// The states of an instance.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// InstanceRole says whether an instance is a daemon or an endpoint.
type InstanceRole string

// The roles of an instance.
const (
	RoleDaemon   InstanceRole = "daemon"
	RoleEndpoint InstanceRole = "endpoint"
)

// Instance is one entry of the instance list.
type Instance struct {
	ID         InstanceID    `json:"id"`
	Role       InstanceRole  `json:"role"`
	DataCenter DataCenterID  `json:"data_center"`
	State      InstanceState `json:"state"`
	// Address is host:port: an endpoint's serving address, or a daemon's peer address.
	Address string `json:"address"`
	// Pool is the pool of an endpoint, or empty.
	Pool PoolID `json:"pool,omitempty"`
}

// Endpoint returns the instance as an endpoint.
func (i Instance) Endpoint() Endpoint {
	return Endpoint{ID: i.ID, Pool: i.Pool, DataCenter: i.DataCenter, Address: i.Address}
}
