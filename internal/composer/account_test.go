package composer

import (
	"testing"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/logger"
)

// idleDirectory is a directory that is not used.
type idleDirectory struct{ Directory }

// TestSocketBoundNeedsAccount guards against callers of a node without limits.memoryMb that are
// no longer accepted at limits.maxFds, as nothing evicts those that hold the sockets.
func TestSocketBoundNeedsAccount(t *testing.T) {
	for _, tt := range []struct {
		name           string
		memoryBytes    int64
		wantMaxSockets int
	}{
		{"memory of the instance is not known", 0, 0},
		{"memory of the instance is known", 184e6, 700},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := &Node{settings: Settings{Directory: idleDirectory{}, MaxSockets: 700, MemoryBytes: tt.memoryBytes, Logger: logger.New(t.Output(), "info", "n")}}
			n.table.Publish(director.NewTable(director.State{}))
			n.buildComponents()
			if got := n.acceptor.MaxSockets; got != tt.wantMaxSockets {
				t.Errorf("got a bound of %d sockets, want %d", got, tt.wantMaxSockets)
			}
			if n.acceptor.MaxConnections == 0 {
				t.Error("got no bound on connections, want one")
			}
			if got, want := n.account != nil, tt.memoryBytes > 0; got != want {
				t.Errorf("got an account: %t, want %t", got, want)
			}
		})
	}
}
