package composer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// maxRewriteDelay bounds the random delay after which a node writes its records again,
	// and rewriteDelayPerNode times the number of nodes does in smaller deployments. The
	// directory accepts 400 writes per second.
	maxRewriteDelay     = 2 * time.Second
	rewriteDelayPerNode = 5 * time.Millisecond
	// minRewriteBackoff and maxRewriteBackoff bound the delay after a failed write.
	minRewriteBackoff = 50 * time.Millisecond
	maxRewriteBackoff = 2 * time.Second
	// rereadDelay is how long after a restore the members are read. By then all nodes have
	// written their records again.
	rereadDelay = 3 * time.Second
)

// errNothingToRewrite is returned for a record that is not this node's to write.
var errNothingToRewrite = errors.New("nothing to write")

type (
	// rewriter writes the node's records again after the directory was restored from an older
	// copy. Create it with newRewriter.
	rewriter struct {
		// restores counts the rises of the era, rewrites the records written again.
		restores, rewrites atomic.Int64

		logger *logger.Logger
		// directoryEra returns the era of the directory's last answers, nodeCount the
		// number of nodes.
		directoryEra func() uint64
		nodeCount    func() int
		// reread reads the members again.
		reread func(ctx context.Context) error
		raised chan struct{}

		mu      sync.Mutex
		era     uint64
		records []rewritableRecord
	}

	// rewritableRecord is a record that write writes.
	rewritableRecord struct {
		name  string
		write func(ctx context.Context) error
	}
)

func newRewriter(l *logger.Logger, directoryEra func() uint64, nodeCount func() int, reread func(context.Context) error) *rewriter {
	return &rewriter{logger: l, directoryEra: directoryEra, nodeCount: nodeCount, reread: reread, raised: make(chan struct{}, 1)}
}

// RewriteAfterRestore registers a record that the node writes again each time the directory
// was restored from an older copy. write may return an error to be called again.
func (n *Node) RewriteAfterRestore(name string, write func(ctx context.Context) error) {
	n.rewriter.add(name, write)
}

// rewriteMember writes the node's registration again, or removes it if the node has left.
func (n *Node) rewriteMember(ctx context.Context) error {
	if !n.left.Load() {
		if err := n.settings.Directory.WriteMember(ctx, n.self); err != nil {
			return err
		}
	}
	if n.left.Load() {
		return n.settings.Directory.Leave(ctx, n.self)
	}
	return nil
}

// rereadMembers adds the members that the directory knows after a restore. A node that joined
// shortly before or after it may have read a list that lacked some.
func (n *Node) rereadMembers(ctx context.Context) error {
	members, err := n.settings.Directory.Members(ctx)
	if err != nil {
		return err
	}
	n.linker.AddDirectoryMembers(members)
	n.rateLimiter.SetLimits(n.table.Load())
	return nil
}

func (r *rewriter) add(name string, write func(ctx context.Context) error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rewritableRecord{name, write})
}

// noteEra records an era that the directory or another node has named.
func (r *rewriter) noteEra(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era <= r.era {
		return
	}
	r.era = era
	r.restores.Add(1)
	select {
	case r.raised <- struct{}{}:
	default:
	}
}

func (r *rewriter) current() (era uint64, records []rewritableRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era, r.records
}

// run writes all records again after each rise of the era, until ctx ends.
func (r *rewriter) run(ctx context.Context) error {
	var writing sync.WaitGroup
	defer writing.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.raised:
		}
		era, records := r.current()
		delay := rewriteDelay(r.nodeCount(), rand.Float64())
		r.logger.Infof("era rose to %d, %d records are written again after %s", era, len(records), delay)
		timekeeper.Sleep(ctx, delay)
		for _, record := range records {
			writing.Go(func() {
				if r.retry(ctx, era, record) {
					r.rewrites.Add(1)
					r.logger.Infof("%s written again in era %d", record.name, era)
				}
			})
		}
		writing.Go(func() {
			timekeeper.Sleep(ctx, rereadDelay)
			r.retry(ctx, era, rewritableRecord{"list of members", r.reread})
		})
	}
}

// retry writes a record until that succeeds in the era, and reports whether it did. It gives
// up if a later era begins, there is nothing to write or ctx ends.
func (r *rewriter) retry(ctx context.Context, era uint64, record rewritableRecord) (done bool) {
	for backoff := minRewriteBackoff; ctx.Err() == nil; backoff = min(maxRewriteBackoff, 2*backoff) {
		if latest, _ := r.current(); latest > era {
			return false
		}
		err := record.write(ctx)
		if errors.Is(err, errNothingToRewrite) {
			return false
		}
		if latest := r.directoryEra(); err == nil && latest < era {
			// The directory answered before it was restored.
			err = errors.Newf("answer of the directory is of era %d", latest)
		}
		if err == nil {
			return true
		}
		r.logger.Warnf("%s in era %d failed, retried: %v", record.name, era, err)
		timekeeper.Sleep(ctx, backoff/2+rand.N(backoff))
	}
	return false
}

// rewriteDelay returns how long a node waits before it writes its records again. random is
// from 0 to 1.
func rewriteDelay(nodes int, random float64) time.Duration {
	return time.Duration(random * float64(min(maxRewriteDelay, time.Duration(nodes)*rewriteDelayPerNode)))
}
