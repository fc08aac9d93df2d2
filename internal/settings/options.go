package settings

import (
	"encoding/json"
	"flag"
	"strconv"
)

// HostedOptions are command-line options that go before the settings file. They carry what
// a platform knows of the machine and its installation beyond the values that every
// renderer of the settings file has. An empty option sets nothing.
type HostedOptions struct {
	// MaxFDs, Cold and Regions replace the settings of the same names.
	MaxFDs  int
	Cold    Cold
	Regions map[string]string
}

// Register defines the options.
func (o *HostedOptions) Register(flags *flag.FlagSet) {
	flags.Func("max-fds", "number of descriptors that the process may open, with -hosted (default max_fds in the settings)",
		ifSet(func(s string) (err error) { o.MaxFDs, err = strconv.Atoi(s); return err }))
	flags.Func("cold-overage", "factor on the rate of cold endpoints, with -hosted (default cold.overage in the settings)",
		ifSet(func(s string) (err error) { o.Cold.Overage, err = strconv.ParseFloat(s, 64); return err }))
	flags.Func("cold-slack", "requests beyond the rate of cold endpoints, with -hosted (default cold.slack in the settings)",
		ifSet(func(s string) (err error) { o.Cold.Slack, err = strconv.ParseFloat(s, 64); return err }))
	flags.Func("regions", "`JSON` object with the region of each data centre, with -hosted (default regions in the settings)",
		ifSet(func(s string) error { return json.Unmarshal([]byte(s), &o.Regions) }))
}

// ifSet returns a function that passes values on to set unless they are empty.
func ifSet(set func(string) error) func(string) error {
	return func(s string) error {
		if s == "" {
			return nil
		}
		return set(s)
	}
}

// Apply replaces the settings for which there are options.
func (o *HostedOptions) Apply(h *Hosted) {
	if o.MaxFDs != 0 {
		h.MaxFDs = o.MaxFDs
	}
	if o.Cold.Overage != 0 {
		h.Cold.Overage = o.Cold.Overage
	}
	if o.Cold.Slack != 0 {
		h.Cold.Slack = o.Cold.Slack
	}
	if o.Regions != nil {
		h.Regions = o.Regions
	}
}
