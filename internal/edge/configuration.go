package edge

import (
	"eelgrassgrade/internal/decide/configcheck"
	"eelgrassgrade/platform"
)

// ReadConfiguration reads a configuration of the users' platform as a daemon does. Errors
// begin with a line and a column.
func ReadConfiguration(src []byte) (*configcheck.File, error) { return platform.ReadConfiguration(src) }
