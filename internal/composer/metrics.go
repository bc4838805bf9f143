package composer

import "github.com/cockroachdb/errors"

// registerMetrics registers the metrics of the node's components.
func (n *Node) registerMetrics() (err error) {
	defer func() { err = errors.Wrap(err, "register metrics of the node") }()
	for _, c := range []struct {
		name, description string
		value             func() int64
	}{
		{"flamingotack.revision", "Revision of the configuration in force.", func() int64 { return int64(n.table.Load().State.Revision) }},
		{"flamingotack.restores", "Restores of the directory from an older copy that were seen.", n.rewriter.restores.Load},
		{"flamingotack.rewrites", "Records that were written again after a restore of the directory.", n.rewriter.rewrites.Load},
		{"flamingotack.peers.changes", "Changes of the other nodes and of the links to them.", func() int64 { return int64(n.linker.PeersVersion()) }},
		{"flamingotack.links.lost", "Links to other nodes that broke or went silent.", n.linker.LostLinks.Load},
		{"flamingotack.links.refused", "Connections to the port for other nodes that were closed before they told a name, to make room or as they sent too much.", n.linker.RefusedHandshakes},
		{"flamingotack.connections.dropped", "Connections of callers that were closed to make room.", n.acceptor.DroppedConnections.Load},
		{"flamingotack.connections.failed", "Connections of callers that could not be accepted.", n.acceptor.AcceptFailures.Load},
		{"flamingotack.memory.evicted", "Connections of callers that were evicted as memory was short and no data had arrived for long.", n.account.Evictions},
		{"flamingotack.memory.collections", "Garbage collections that were run as parts of bodies that nobody held any more occupied too much memory.", n.account.Collections},
		{"flamingotack.memory.transit", "Calls of other nodes and answers to them that ended as memory was short.", n.linker.RefusedForMemory.Load},
		{"flamingotack.memory.refused", "Requests of callers that were refused as memory was short.", n.acceptor.MemoryRefusals.Load},
		{"flamingotack.parse.refused", "Requests of callers that were refused as too many others with very many header lines or long bodies in chunks were being read.", n.acceptor.ParseRefusals.Load},
		{"flamingotack.memory.unread", "Answers to callers that were replaced, and connections that were closed with answers to send, as memory was short.", n.acceptor.DroppedResponses.Load},
		{"flamingotack.unbegun", "Requests that were not begun, as their callers had left.", n.acceptor.AbandonedRequests.Load},
		{"flamingotack.repeats", "Calls that were sent to another node after the first one.", n.forwarder.Retries.Load},
		{"flamingotack.server.loads.malformed", "Answers of the backend server whose load figures could not be parsed.", n.guardian.MalformedLoads},
		{"flamingotack.server.loads.rejected", "Times at which the work figure of the backend server ceased to agree with measured run times.", n.guardian.RejectedLoads},
		{"flamingotack.server.loads.polled", "Health checks that were sent to the backend server for its load alone.", n.guardian.LoadPolls},
		{"flamingotack.runs", "Calls that were sent to the backend server.", n.guardian.CallsSent.Load},
		{"flamingotack.server.suspicions", "Times at which the backend server may have started anew without a heartbeat that told it.", n.guardian.RestartSuspicions.Load},
		{"flamingotack.answers.invalid", "Answers of the backend server that were none.", n.guardian.Backend.InvalidResponses.Load},
	} {
		if err := n.settings.Meter.RegisterCounter(c.name, c.description, c.value); err != nil {
			return err
		}
	}
	for _, g := range []struct {
		name, description string
		value             func() int64
	}{
		{"flamingotack.memory.held", "Memory in bytes that requests and answers hold.", n.account.UsedBytes},
		{"flamingotack.memory.parts", "Memory in bytes that parts of bodies occupy, those included that no garbage collection has freed yet.", n.account.PartBytes},
		{"flamingotack.connections.open", "Connections of callers.", func() int64 { return int64(n.acceptor.OpenConnections()) }},
		{"flamingotack.config.omitted", "Customers, routes and services that the configuration in force leaves out as invalid.", func() int64 { return int64(n.table.Load().Omitted().Total()) }},
		{"flamingotack.era", "Era of the directory from which the configuration in force was read.", func() int64 { return int64(n.table.Load().State.Era) }},
		{"flamingotack.links.up", "Links to other nodes that stand.", func() int64 { return int64(n.linker.ConnectedPeerCount()) }},
		{"flamingotack.server.queued", "Calls that wait for a slot of the backend server.", func() int64 { return int64(n.guardian.QueuedCalls()) }},
		{"flamingotack.server.failing", "1 while many runs on the backend server end badly.", n.failingValue},
		{"flamingotack.rollout.state", "Rollout of the node's service: 0 none, 1 running, 2 completed, 3 rolled back.", n.rolloutState},
		{"flamingotack.rollout.share", "Calls of the node's service that go to the target version of its rollout, in percent.", n.rolloutShare},
		{"flamingotack.rollout.exposure", "Calls that ran on the target version since the order, as far as the node knows.", n.rolloutExposure},
		{"flamingotack.server.work", "Time that work takes on the instance of the backend server, in percent of the usual time; 0 if the server does not report it.", n.guardian.WorkPercent},
		{"flamingotack.suspects", "Requests that ran when a backend server crashed and have not ended well since.", func() int64 { return int64(n.guardian.SuspectCount()) }},
		{"flamingotack.delegate", "1 on a node that holds rates and follows the directory for others.", n.delegateValue},
	} {
		if err := n.settings.Meter.RegisterGauge(g.name, g.description, g.value); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) failingValue() int64 {
	return boolToInt(n.guardian.Failing())
}

func (n *Node) delegateValue() int64 {
	return boolToInt(n.linker.Delegates().IsDelegate())
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
