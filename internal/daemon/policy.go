package daemon

import (
	"eelgrassgrade/internal/app/dispatch"
	"eelgrassgrade/internal/app/sched"
)

// schedulingPolicy returns the scheduler's policy for the policy setting.
func schedulingPolicy(policy string) string {
	switch policy {
	case sched.PolicyFIFO, sched.PolicyUnlimited:
		return policy
	default:
		return sched.PolicyDefault
	}
}

// routingPolicy returns the dispatcher's policy for the policy setting.
func routingPolicy(policy string) string {
	if policy == dispatch.PolicyRoundRobin {
		return policy
	}
	return dispatch.PolicyDefault
}
