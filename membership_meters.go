package flamingotack

import "github.com/cockroachdb/errors"

// meterMembership makes the counts of the shared state visible as metrics.
func (n *Node) meterMembership() (err error) {
	defer func() { err = errors.Wrap(err, "set up metrics of the membership") }()
	beats, reads := &n.membership.beater.Counts, &n.membership.tailer.Counters
	for _, c := range []struct {
		name, description string
		value             func() int64
	}{
		{"flamingotack.beats.answered", "Heartbeats of other nodes that were answered.", beats.Answered.Load},
		{"flamingotack.beats.failed", "Own heartbeats without an answer.", beats.Failed.Load},
		{"flamingotack.beats.sent", "Own heartbeats.", beats.Sent.Load},
		{"flamingotack.fetches", "Times that log records came from another node.", beats.Fetched.Load},
		{"flamingotack.log.failures", "Reads of the log that failed.", reads.FailedReads.Load},
		{"flamingotack.log.lost", "Times that the log lacked records that the node needed.", reads.HistoryGaps.Load},
		{"flamingotack.log.reads", "Reads of the log.", reads.ReadsSent.Load},
		{"flamingotack.log.skipped", "Records that could not be read.", reads.SkippedRecords.Load},
		{"flamingotack.log.snapshots", "Snapshots written.", reads.SnapshotsWritten.Load},
	} {
		if err := n.meter.RegisterCounter(c.name, c.description, c.value); err != nil {
			return err
		}
	}
	return n.meter.RegisterSecondsGauge("flamingotack.proof.age",
		"Age of the proof that the state is the newest; -1 without one.", n.proofAge)
}

// proofAge returns seconds.
func (n *Node) proofAge() float64 {
	proof := n.membership.tenure.Freshness().Proof(n.edges.Clock.Now())
	if !proof.Proved {
		return -1
	}
	return proof.Age.Seconds()
}
