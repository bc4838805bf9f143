package beater

import (
	"context"
	"crypto/sha256"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/connector"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/journaler"
	"github.com/flamingotack/flamingotack/internal/messenger"
)

// HandleFetch answers with log records that a peer lacks.
func (b *Beater) HandleFetch(r *messenger.FetchRequest) *messenger.FetchResponse {
	entries, trimmed := b.Tailer.Entries(r.GetFrom(), min(int(r.GetLimit()), maxFetchRecords))
	response := &messenger.FetchResponse{Offset: b.Tailer.State().Offset, Trimmed: trimmed}
	for _, e := range entries {
		response.Entries = append(response.Entries, &messenger.Entry{Offset: e.Offset, Data: e.Data})
	}
	return response
}

// HandleRestore answers with the node's whole state.
func (b *Beater) HandleRestore() (*messenger.RestoreResponse, error) {
	s := b.Tailer.State()
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	digest := sha256.Sum256(data)
	return &messenger.RestoreResponse{
		State:   data,
		Digest:  digest[:],
		Offset:  s.Offset,
		Version: s.ConfigVersion,
		Floor:   b.Ownership.ViewFloor(b.Clock.Now()),
	}, nil
}

// fetchIfBehind starts to fetch records from the sender of p if it has folded
// newer ones than the node. Only one fetch runs at a time.
func (b *Beater) fetchIfBehind(p *messenger.Pulse) {
	if p.GetOffset() <= b.Tailer.State().Offset {
		return
	}
	m, found := b.Ownership.View().FindMember(p.GetSince())
	if !found || !b.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer b.fetching.Store(false)
		b.fetchRecords(context.Background(), m)
	}()
}

func (b *Beater) fetchRecords(ctx context.Context, m folder.Member) {
	request := &messenger.FetchRequest{From: b.Tailer.State().Offset + 1, Limit: maxFetchRecords}
	response, err := connector.Call(ctx, b.Connector, m.PeerAddress, fetchTimeout, func(ctx context.Context, c messenger.DRPCNodeClient) (*messenger.FetchResponse, error) {
		return c.Fetch(ctx, request)
	})
	if err != nil {
		b.Logger.Warnf("fetch of records from node %s failed: %v", m.Name, err)
		return
	}
	if response.GetTrimmed() {
		b.restoreFrom(ctx, m.PeerAddress)
		return
	}
	entries := make([]journaler.Entry, 0, len(response.GetEntries()))
	for _, e := range response.GetEntries() {
		entries = append(entries, journaler.Entry{Offset: e.GetOffset(), Data: e.GetData()})
	}
	b.Counters.RecordFetches.Add(1)
	b.Tailer.ApplyEntries(entries)
}

// restoreFrom replaces the node's state by that of a peer which is ahead.
func (b *Beater) restoreFrom(ctx context.Context, address string) {
	offer, err := b.fetchOffer(ctx, address)
	if err != nil {
		b.Logger.Warnf("restore of the state from peer %s failed: %v", address, err)
		return
	}
	b.Tailer.Restore(offer.state, offer.floor)
}
