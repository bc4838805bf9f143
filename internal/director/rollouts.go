package director

import (
	"time"

	"github.com/cockroachdb/errors"
)

// maxRolloutDuration is the longest duration of a rollout that is accepted.
const maxRolloutDuration = 24 * time.Hour

// Rollout is an operator's order that the calls of a service move to backend servers of a
// version.
type Rollout struct {
	// Era and Revision identify the order.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// Service is the service and TargetVersion the version.
	Service       string `json:"service"`
	TargetVersion string `json:"targetVersion"`
	// Duration is the time from the order to its deadline.
	Duration time.Duration `json:"duration"`
}

// Validate returns an error that names the first field that is missing or out of range.
func (r *Rollout) Validate() error {
	switch {
	case r.Service == "":
		return errors.New("rollout has no service")
	case r.TargetVersion == "":
		return errors.Newf("rollout of service %q has no target version", r.Service)
	case r.Duration <= 0 || r.Duration > maxRolloutDuration:
		return errors.Newf("rollout of service %q has the duration %s, expected up to %s", r.Service, r.Duration, maxRolloutDuration)
	}
	return nil
}

// ContinuedBy reports whether another order is this one, possibly written again after the
// directory has lost it.
func (r *Rollout) ContinuedBy(o *Rollout) bool {
	same := r.Service == o.Service && r.TargetVersion == o.TargetVersion && r.Duration == o.Duration
	return same && (r.Revision == o.Revision || r.Era != o.Era)
}
