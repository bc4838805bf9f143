package flamingotack

import "github.com/cockroachdb/errors"

// registerMembershipMetrics registers the metrics of heartbeats, the shared
// log and freshness.
func (n *Node) registerMembershipMetrics() (err error) {
	defer func() { err = errors.Wrap(err, "set up metrics of the membership") }()
	heartbeats, reads := &n.membership.beater.Counters, &n.membership.tailer.Counters
	for _, counter := range []struct {
		name, description string
		value             func() int64
	}{
		{"flamingotack.beats.answered", "Heartbeats of other nodes that were answered.", heartbeats.HeartbeatsAnswered.Load},
		{"flamingotack.beats.failed", "Own heartbeats without an answer.", heartbeats.HeartbeatsFailed.Load},
		{"flamingotack.beats.sent", "Own heartbeats.", heartbeats.HeartbeatsSent.Load},
		{"flamingotack.fetches", "Times that log records came from another node.", heartbeats.RecordFetches.Load},
		{"flamingotack.log.failures", "Reads of the log that failed.", reads.FailedReads.Load},
		{"flamingotack.log.lost", "Times that the log lacked records that the node needed.", reads.HistoryGaps.Load},
		{"flamingotack.log.reads", "Reads of the log.", reads.ReadsSent.Load},
		{"flamingotack.log.skipped", "Records that could not be read.", reads.SkippedRecords.Load},
		{"flamingotack.log.snapshots", "Snapshots written.", reads.SnapshotsWritten.Load},
	} {
		if err := n.meter.RegisterCounter(counter.name, counter.description, counter.value); err != nil {
			return err
		}
	}
	return n.meter.RegisterSecondsGauge("flamingotack.proof.age",
		"Age of the proof that the state is the newest; -1 without one.", n.proofAgeSeconds)
}

// proofAgeSeconds returns the age of the freshness proof in seconds; -1
// without a proof.
func (n *Node) proofAgeSeconds() float64 {
	proof := n.membership.ownership.Freshness().Proof(n.dependencies.Clock.Now())
	if !proof.HasAge {
		return -1
	}
	return proof.Age.Seconds()
}
