package router

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// digestPicks returns a digest of many picks under changing reports and outcomes.
func digestPicks(extend func(*Report), pick func(r *Router, now time.Time, random Random, all []Candidate) (Candidate, Verdict)) string {
	random, events := rand.New(rand.NewPCG(5, 6)), rand.New(rand.NewPCG(7, 8))
	r := &Router{Domain: "d0", Region: "r0", SpilloverUtilization: 0.95}
	all := newCandidates(23)
	digest := fnv.New64a()
	now := epoch
	var inFlight []string
	for i := range 20_000 {
		now = now.Add(time.Duration(events.IntN(3000)) * time.Microsecond)
		switch events.IntN(4) {
		case 0:
			report := Report{Incarnation: "1", Sequence: uint64(i + 1), Limit: events.IntN(20), Running: events.IntN(20), Queued: events.IntN(4), LowestAdmittedPriority: exchanger.PriorityLow, Failing: events.IntN(8) == 0, Draining: events.IntN(30) == 0}
			extend(&report)
			r.Report(now, all[events.IntN(len(all))].Name, report)
		case 1:
			if len(inFlight) > 0 {
				r.RecordOutcome(now, inFlight[0], Outcome(events.IntN(4)), events.Float64())
				inFlight = inFlight[1:]
			}
		default:
			c, v := pick(r, now, random, all)
			fmt.Fprintln(digest, c.Name, v)
			if v == VerdictPicked {
				inFlight = append(inFlight, c.Name)
			}
		}
	}
	return fmt.Sprintf("%x", digest.Sum64())
}
