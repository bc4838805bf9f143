package flamingotack

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/flamingotack/flamingotack/internal/dispatcher"
	"github.com/flamingotack/flamingotack/internal/messenger"
)

// peerServer answers other nodes.
type peerServer struct {
	messenger.DRPCNodeUnimplementedServer
	dispatcher.Server

	node *Node
}

// Ping shows that the connection carries messages.
func (p *peerServer) Ping(context.Context, *messenger.PingRequest) (*messenger.PingResponse, error) {
	return &messenger.PingResponse{}, nil
}

// Run runs a request on the backend server beside the node.
func (p *peerServer) Run(m *messenger.RunRequest, stream messenger.DRPCNode_RunStream) error {
	return p.Server.Run(m, stream)
}

// Suspect takes the digests of requests that crash backend servers.
func (p *peerServer) Suspect(_ context.Context, m *messenger.SuspectRequest) (*messenger.SuspectResponse, error) {
	p.node.guard.suspects.merge(m)
	return &messenger.SuspectResponse{}, nil
}

func (n *Node) servePeers(g *run.Group) {
	mux := drpcmux.New()
	server := &peerServer{
		Server: dispatcher.Server{
			Clock:       n.edges.Clock,
			Handler:     n.guard,
			Incarnation: n.self.Incarnation,
			LocalLoad:   n.guard.load,
		},
		node: n,
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		if err := messenger.DRPCRegisterNode(mux, server); err != nil {
			return errors.Wrap(err, "register drpc service")
		}
		return drpcserver.New(mux).Serve(ctx, n.listeners.peer)
	}, func(error) { cancel() })
}
