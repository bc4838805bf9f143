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

// Fetch answers with log records that a peer lacks.
func (b *Beater) Fetch(r *messenger.FetchRequest) *messenger.FetchResponse {
	entries, trimmed := b.Tailer.Entries(r.GetFrom(), min(int(r.GetLimit()), fetchLimit))
	response := &messenger.FetchResponse{Offset: b.Tailer.State().Offset, Trimmed: trimmed}
	for _, e := range entries {
		response.Entries = append(response.Entries, &messenger.Entry{Offset: e.Offset, Data: e.Data})
	}
	return response
}

// Restore answers with the node's whole state.
func (b *Beater) Restore() (*messenger.RestoreResponse, error) {
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
		Version: s.Version,
		Floor:   b.Tenure.Floor(b.Clock.Now()),
	}, nil
}

// fetchIfBehind gets the records that a peer has and the node lacks.
func (b *Beater) fetchIfBehind(p *messenger.Pulse) {
	if p.GetOffset() <= b.Tailer.State().Offset {
		return
	}
	m, found := b.Tenure.View().Find(p.GetSince())
	if !found || !b.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer b.fetching.Store(false)
		b.fetch(context.Background(), m)
	}()
}

func (b *Beater) fetch(ctx context.Context, m folder.Member) {
	request := &messenger.FetchRequest{From: b.Tailer.State().Offset + 1, Limit: fetchLimit}
	response, err := connector.Call(ctx, b.Connector, m.Peer, fetchTimeout, func(ctx context.Context, c messenger.DRPCNodeClient) (*messenger.FetchResponse, error) {
		return c.Fetch(ctx, request)
	})
	if err != nil {
		b.Logger.Warnf("Can't fetch records from %s: %v.", m.Name, err)
		return
	}
	if response.GetTrimmed() {
		b.restoreFrom(ctx, m.Peer)
		return
	}
	entries := make([]journaler.Entry, 0, len(response.GetEntries()))
	for _, e := range response.GetEntries() {
		entries = append(entries, journaler.Entry{Offset: e.GetOffset(), Data: e.GetData()})
	}
	b.Counts.Fetched.Add(1)
	b.Tailer.ApplyEntries(entries)
}

// restoreFrom takes the state of a peer that is ahead.
func (b *Beater) restoreFrom(ctx context.Context, address string) {
	c, err := b.offer(ctx, address)
	if err != nil {
		b.Logger.Warnf("Can't take the state of %s: %v.", address, err)
		return
	}
	b.Tailer.Restore(c.state, c.floor)
}
