package forwarder

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/releaser"
	"github.com/flamingotack/flamingotack/internal/router"
)

// minCapacityShare is the share of the calls from which on servers of the target version count
// as capacity. Below it, mostly cold ones would make the service look larger or colder than it
// is.
const minCapacityShare = 0.5

// rolloutPlan returns the plan of a service's rollout, or nil.
func (f *Forwarder) rolloutPlan(service string) *releaser.Plan {
	if f.RolloutPlan == nil {
		return nil
	}
	return f.RolloutPlan(service)
}

// pickVersion picks the node for an attempt during a rollout: one of the target version for the
// decided share of the calls, as long as such nodes have room, and one of another version for
// the rest. If none of them takes calls, a node of the other group is picked. Retries go to other
// versions until the rollout is completed, also at share 1: the servers of the target version may
// all refuse the call while the old ones have room. The caller must hold f.mu.
func (f *Forwarder) pickVersion(now time.Time, p *releaser.Plan, c *exchanger.Call, tried []string) (router.Candidate, router.Verdict) {
	target, others := f.splitByVersion(p, f.candidates[c.Service])
	share := p.ShareAt(now)
	switch {
	case p.Completed:
		return f.pickFirst(now, c, tried, target, others)
	case p.Undecided && len(others) == 0:
		// The nodes beside the servers of the target version know whether it may run calls.
		return f.pickFirst(now, c, tried, target)
	case share <= 0:
		return f.pickFirst(now, c, tried, others)
	case len(tried) == 0 && f.random.Float64() < share && f.router.HasRoom(now, target):
		return f.pickFirst(now, c, tried, target, others)
	default:
		return f.pickFirst(now, c, tried, others, target)
	}
}

// pickFirst picks a node of the first group that has one. The caller must hold f.mu.
func (f *Forwarder) pickFirst(now time.Time, c *exchanger.Call, tried []string, groups ...[]router.Candidate) (picked router.Candidate, verdict router.Verdict) {
	request := f.routerRequest(now, c)
	for _, candidates := range groups {
		picked, verdict = f.router.Pick(now, f.random, candidates, request, tried)
		if verdict == router.VerdictPicked {
			return picked, verdict
		}
	}
	return picked, verdict
}

// countsVersion reports whether a server of a version counts as capacity of its service: those of
// the target version while they get most calls, the others until they get none. The caller must
// hold f.mu.
func (f *Forwarder) countsVersion(now time.Time, service, version string) bool {
	plan := f.rolloutPlan(service)
	switch {
	case plan == nil:
		return true
	case version == plan.TargetVersion:
		return plan.ShareAt(now) >= minCapacityShare || plan.Undecided
	default:
		return plan.ShareAt(now) < 1
	}
}

// splitByVersion returns the candidates of the target version and those of others, without those
// of versions that get no calls. A candidate whose version is not known counts among the others;
// it refuses calls if its server has the target version and no decision allows them. The caller
// must hold f.mu.
func (f *Forwarder) splitByVersion(p *releaser.Plan, candidates []router.Candidate) (target, others []router.Candidate) {
	for _, candidate := range candidates {
		version := ""
		if r, found := f.loads[candidate.Name]; found && r.incarnation == candidate.Incarnation {
			version = r.load.Version
		}
		switch {
		case version != "" && !p.Allows(version):
		case version == p.TargetVersion:
			target = append(target, candidate)
		default:
			others = append(others, candidate)
		}
	}
	return target, others
}
