package cmd

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/flamingotack/flamingotack"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/journaler"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/operator"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

// fakeNode joins a log and reports its status. A frozen node stays at a version,
// like a node that gets no news of the log.
type fakeNode struct {
	clock  *timekeeper.ManualClock
	log    *journaler.MemoryLog
	meter  *meter.Meter
	member folder.Member
	server *http.Server
	// frozenBelow is one more than the highest version that a frozen node
	// reports; 0 when the node is not frozen.
	frozenBelow atomic.Uint64
	stale       atomic.Bool
	stopOnce    sync.Once
}

func startFakeNode(log *journaler.MemoryLog, name, service, domain string) (n *fakeNode, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n = &fakeNode{log: log, member: folder.Member{
		Name: name, Incarnation: uuid.NewString(), Service: service, Domain: domain, Region: "gujarat",
		PeerAddress: "127.0.0.1:1", AdminAddress: l.Addr().String(), CallerAddress: "127.0.0.1:2",
	}}
	n.clock = timekeeper.NewManualClock(time.Unix(1_000_000, 0))
	if n.meter, err = meter.New(n.clock); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operator.CountsPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(n.meter.Counts())
	})
	mux.HandleFunc("GET "+operator.ArrivalsPath+"{customer}", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(n.meter.Arrivals(r.PathValue("customer")))
	})
	mux.HandleFunc("GET "+operator.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(flamingotack.Status{Member: n.member, ConfigVersion: n.version(), Ready: true, Fresh: !n.stale.Load()})
	})
	n.server = &http.Server{Handler: mux}
	go func() { _ = n.server.Serve(l) }()
	join := folder.NewRecord(folder.KindJoin)
	join.Member = &n.member
	data, err := folder.Encode(join)
	if err != nil {
		return nil, err
	}
	_, err = log.Append(context.Background(), data)
	return n, err
}

// currentState returns the state at the log's tail; an empty state when the log
// can't be read.
func currentState(log journaler.Log) *folder.State {
	l := operator.Loader{Log: log}
	v, err := l.Load(context.Background())
	if err != nil {
		return &folder.State{}
	}
	return v.State
}

func (n *fakeNode) stop() {
	n.stopOnce.Do(func() { _ = n.server.Close() })
}

func (n *fakeNode) version() uint64 {
	version := currentState(n.log).ConfigVersion
	if frozen := n.frozenBelow.Load(); frozen > 0 {
		return min(version, frozen-1)
	}
	return version
}
