package beater

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/connector"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/messenger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	restoreDelay   = time.Second
	restoreTimeout = 3 * time.Second
	// loneRounds is how many rounds a state must be the only one on offer
	// before it is taken from a single peer.
	loneRounds = 3
)

type (
	// candidate is a state that a peer offers.
	candidate struct {
		address string
		state   *folder.State
		digest  [sha256.Size]byte
		floor   uint64
	}

	// DigestError says that two peers offer different states of one offset.
	DigestError struct {
		// Offset is that of the states.
		Offset uint64
		// Peers are the two addresses.
		Peers [2]string
	}
)

// Error names the peers.
func (e *DigestError) Error() string {
	return "peers " + e.Peers[0] + " and " + e.Peers[1] + " have different states of the same offset"
}

// Start takes the state from the peers at those addresses while the log brings
// none, until ctx ends. Two peers must agree, or one must be alone for a few
// rounds.
func (b *Beater) Start(ctx context.Context, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	timekeeper.Sleep(ctx, restoreDelay)
	for round := 1; ctx.Err() == nil && b.Tailer.State().Offset == 0; round++ {
		c, err := choose(b.gather(ctx, addresses), round >= loneRounds)
		switch {
		case err != nil:
			b.Logger.Errorf("Can't start from peers: %v.", err)
		case c != nil && b.Tailer.Restore(c.state, c.floor):
			b.Logger.Infof("Started from %s without the log.", c.address)
			return
		}
		timekeeper.Sleep(ctx, restoreDelay)
	}
}

// offer asks one peer for its state and checks its digest.
func (b *Beater) offer(ctx context.Context, address string) (c *candidate, err error) {
	defer func() { err = errors.Wrapf(err, "state of %s", address) }()
	response, err := connector.Call(ctx, b.Connector, address, restoreTimeout, func(ctx context.Context, c messenger.DRPCNodeClient) (*messenger.RestoreResponse, error) {
		return c.Restore(ctx, &messenger.RestoreRequest{})
	})
	if err != nil {
		return nil, err
	}
	c = &candidate{address: address, digest: sha256.Sum256(response.GetState()), floor: response.GetFloor()}
	if !bytes.Equal(c.digest[:], response.GetDigest()) {
		return nil, errors.New("the digest is wrong")
	}
	if err := json.Unmarshal(response.GetState(), &c.state); err != nil {
		return nil, err
	}
	if c.state.Manifest != nil {
		if err := c.state.Manifest.Validate(); err != nil {
			return nil, err
		}
	}
	if c.state.Offset != response.GetOffset() || c.state.Version != response.GetVersion() {
		return nil, errors.Newf("offset and version of %s are not those told", c.state)
	}
	return c, nil
}

func (b *Beater) gather(ctx context.Context, addresses []string) (list []*candidate) {
	answers := make(chan *candidate, len(addresses))
	for _, address := range addresses {
		go func() {
			c, err := b.offer(ctx, address)
			if err != nil {
				b.Logger.Warnf("Can't start from a peer: %v.", err)
			}
			answers <- c
		}()
	}
	for range addresses {
		if c := <-answers; c != nil && c.state.Offset > 0 {
			list = append(list, c)
		}
	}
	return list
}

// choose returns the newest state on which two peers agree; with lone, the
// newest one.
func choose(list []*candidate, lone bool) (best *candidate, err error) {
	for i, a := range list {
		agreed := lone
		for j, c := range list {
			if i == j || a.state.Offset != c.state.Offset {
				continue
			}
			if a.digest != c.digest {
				return nil, &DigestError{Offset: a.state.Offset, Peers: [2]string{a.address, c.address}}
			}
			agreed = true
		}
		if agreed && (best == nil || a.state.Offset > best.state.Offset) {
			best = a
		}
	}
	return best, nil
}
