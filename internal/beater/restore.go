package beater

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/connector"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/messenger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// bootstrapDelay is the time before each round of BootstrapFromPeers.
	bootstrapDelay = time.Second
	restoreTimeout = 3 * time.Second
	// firstSingleOfferRound is the round from which on the offer of a single
	// peer is enough.
	firstSingleOfferRound = 3
)

type (
	// stateOffer is a state that a peer offers.
	stateOffer struct {
		address string
		state   *folder.State
		digest  [sha256.Size]byte
		floor   uint64
	}

	// StateMismatchError reports that two peers offer different states with the
	// same offset.
	StateMismatchError struct {
		// Offset is the offset of both states.
		Offset uint64
		// Peers are the addresses of the two peers.
		Peers [2]string
	}
)

// Error returns a message that names both peers and the offset.
func (e *StateMismatchError) Error() string {
	return fmt.Sprintf("peers %s and %s have different states at offset %d", e.Peers[0], e.Peers[1], e.Offset)
}

// BootstrapFromPeers takes the state from the peers at those addresses as long as
// the log delivers none, until ctx ends. Two peers must offer the same state;
// from round firstSingleOfferRound on, the newest offer of a single peer is enough.
func (b *Beater) BootstrapFromPeers(ctx context.Context, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	timekeeper.Sleep(ctx, bootstrapDelay)
	for round := 1; ctx.Err() == nil && b.Tailer.State().Offset == 0; round++ {
		offer, err := chooseOffer(b.gatherOffers(ctx, addresses), round >= firstSingleOfferRound)
		switch {
		case err != nil:
			b.Logger.Errorf("bootstrap from peers failed: %v", err)
		case offer != nil && b.Tailer.Restore(offer.state, offer.floor):
			b.Logger.Infof("state bootstrapped from peer %s without the log", offer.address)
			return
		}
		timekeeper.Sleep(ctx, bootstrapDelay)
	}
}

// fetchOffer fetches the state of a peer and checks its digest, manifest, offset
// and version.
func (b *Beater) fetchOffer(ctx context.Context, address string) (offer *stateOffer, err error) {
	defer func() { err = errors.Wrapf(err, "state of peer %s", address) }()
	response, err := connector.Call(ctx, b.Connector, address, restoreTimeout, func(ctx context.Context, offer messenger.DRPCNodeClient) (*messenger.RestoreResponse, error) {
		return offer.Restore(ctx, &messenger.RestoreRequest{})
	})
	if err != nil {
		return nil, err
	}
	offer = &stateOffer{address: address, digest: sha256.Sum256(response.GetState()), floor: response.GetFloor()}
	if !bytes.Equal(offer.digest[:], response.GetDigest()) {
		return nil, errors.Newf("digest is %x, want %x", offer.digest, response.GetDigest())
	}
	if err := json.Unmarshal(response.GetState(), &offer.state); err != nil {
		return nil, err
	}
	if offer.state.Manifest != nil {
		if err := offer.state.Manifest.Validate(); err != nil {
			return nil, err
		}
	}
	if offer.state.Offset != response.GetOffset() || offer.state.ConfigVersion != response.GetVersion() {
		return nil, errors.Newf("state has %s, want offset %d and version %d", offer.state, response.GetOffset(), response.GetVersion())
	}
	return offer, nil
}

func (b *Beater) gatherOffers(ctx context.Context, addresses []string) (list []*stateOffer) {
	answers := make(chan *stateOffer, len(addresses))
	for _, address := range addresses {
		go func() {
			offer, err := b.fetchOffer(ctx, address)
			if err != nil {
				b.Logger.Warnf("state offer not usable: %v", err)
			}
			answers <- offer
		}()
	}
	for range addresses {
		if offer := <-answers; offer != nil && offer.state.Offset > 0 {
			list = append(list, offer)
		}
	}
	return list
}

// chooseOffer returns the newest state that two peers offer alike. With
// allowSingle, it returns the newest state that any peer offers. It returns nil if
// there is none.
func chooseOffer(list []*stateOffer, allowSingle bool) (best *stateOffer, err error) {
	for i, a := range list {
		agreed := allowSingle
		for j, other := range list {
			if i == j || a.state.Offset != other.state.Offset {
				continue
			}
			if a.digest != other.digest {
				return nil, &StateMismatchError{Offset: a.state.Offset, Peers: [2]string{a.address, other.address}}
			}
			agreed = true
		}
		if agreed && (best == nil || a.state.Offset > best.state.Offset) {
			best = a
		}
	}
	return best, nil
}
