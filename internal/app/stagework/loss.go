package stagework

import (
	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
)

// errRefused and errPeerLost say why a coordinator counts as lost. Other causes are the
// errors of the connection to it.
var (
	errRefused  = errors.New("it refused the task: it is stopping or does not have the group")
	errPeerLost = errors.New("the daemon was lost or restarted")
)

// lossCause returns the cause of an error that says that a coordinator is lost.
func lossCause(err error) error {
	if e := core.AsError(err, "stage"); e.Err != nil {
		return e.Err
	}
	return errRefused
}

// nameLostPeer sets the cause of the error of a call that was cancelled because its daemon
// was lost.
func nameLostPeer(err error) error {
	if err == nil || !isCoordinatorLost(err) {
		return err
	}
	e := *core.AsError(err, "stage")
	e.Err = errPeerLost
	return &e
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
