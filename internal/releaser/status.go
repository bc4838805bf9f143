package releaser

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/promoter"
)

// statusState is what the decider knows about the stored status.
type statusState struct {
	// readAt is when the status was read first, zero before, and written the state that was
	// written last.
	readAt  time.Time
	written promoter.State
	// readBegunAt is when the last read that succeeded began.
	readBegunAt time.Time
	// readAfterDeadline reports whether the status was read after the deadline,
	// completionBegun whether this node has begun to store StateCompleted and has not read
	// the status since. The write may have taken effect although it failed.
	readAfterDeadline, completionBegun bool
	// pending reports whether a call to the store is under way, attemptedAt when the last
	// one began.
	pending     bool
	attemptedAt time.Time
	// resets counts the calls of reset. Calls to the store that began before the last one
	// tell nothing about what is stored.
	resets int
}

// reset forgets what is known about the stored status, as the store may have lost it.
func (s *statusState) reset() {
	*s = statusState{pending: s.pending, completionBegun: s.completionBegun, resets: s.resets + 1}
}

// readStatus reads the stored status in the background, after any write that is under way. A
// verdict on the order that another decider has stored is adopted. The caller holds the lock.
func (r *Releaser) readStatus(ctx context.Context, now time.Time, o *rollout) {
	order, resets := o.order, o.status.resets
	r.callStore(ctx, now, o, func(ctx context.Context) error {
		state, err := r.storedState(ctx, o, order)
		if err != nil {
			return err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if o.status.resets != resets {
			return nil
		}
		if o.status.readAt.IsZero() {
			o.status.readAt = r.Clock.Now()
		}
		o.status.readBegunAt = now
		o.status.readAfterDeadline = now.Sub(o.orderedAt) >= o.order.Duration
		if o.status.completionBegun && state != promoter.StateCompleted {
			// The write of StateCompleted has ended without effect.
			o.status.completionBegun = false
			o.promoter.CountDeadline()
		}
		r.adopt(o, state)
		return nil
	})
}

// adopt takes over a state that is stored for the order. The caller holds the lock.
func (r *Releaser) adopt(o *rollout, state promoter.State) {
	o.status.written = state
	if !isFinal(state) {
		return
	}
	if o.final != "" && o.final != state {
		r.Logger.Errorf("rollout of service %s to version %q was %s, but %s is stored", o.order.Service, o.order.TargetVersion, o.final, state)
	}
	r.conclude(o, state, "as stored")
}

// writeStatus stores the state of a rollout in the background, once. It reads the stored one
// before. The caller holds the lock.
func (r *Releaser) writeStatus(ctx context.Context, now time.Time, o *rollout, state promoter.State) {
	if o.status.written == state || isFinal(o.status.written) {
		return
	}
	order, resets := o.order, o.status.resets
	r.callStore(ctx, now, o, func(ctx context.Context) error {
		return r.storeStatus(ctx, o, order, state, resets)
	})
}

// storeStatus stores the state of a rollout unless that or a verdict is stored, and adopts what is
// stored then, unless the status was reset meanwhile. order is that of the rollout, which changes
// under the lock.
func (r *Releaser) storeStatus(ctx context.Context, o *rollout, order director.Rollout, state promoter.State, resets int) error {
	stored, err := r.storedState(ctx, o, order)
	if err != nil {
		return err
	}
	if stored == "" || stored == promoter.StateRunning && state != stored {
		if !r.mayStore(o, state) {
			return nil
		}
		if err := r.Store.SaveRolloutStatus(ctx, order.Service, state, order.TargetVersion); err != nil {
			return err
		}
		r.Logger.Infof("status %s of the rollout of service %s to version %q stored", state, order.Service, order.TargetVersion)
		stored = state
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.status.resets != resets {
		return nil
	}
	o.formerVerdict = ""
	r.adopt(o, stored)
	return nil
}

// RewriteStatuses stores the statuses of the rollouts that this node decides, after the store was
// restored from an older copy. It reports whether there were any. If it fails, it may be called
// again.
func (r *Releaser) RewriteStatuses(ctx context.Context) (written bool, err error) {
	type rewrite struct {
		rollout *rollout
		order   director.Rollout
		state   promoter.State
		resets  int
	}
	var rewrites []rewrite
	r.mu.Lock()
	now := r.Clock.Now()
	for _, o := range r.rollouts {
		if o.status.pending {
			err = errors.Newf("a call for the status of the rollout of service %s is under way", o.order.Service)
			continue
		}
		acts, state := r.acts(now, o), o.final
		if state == "" && len(o.decisions) > 0 {
			state = promoter.StateRunning
		}
		o.status.reset()
		if acts && state != "" {
			o.status.pending = true
			rewrites = append(rewrites, rewrite{o, o.order, state, o.status.resets})
		}
	}
	r.mu.Unlock()
	for _, w := range rewrites {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		err = errors.CombineErrors(err, r.storeStatus(callCtx, w.rollout, w.order, w.state, w.resets))
		cancel()
		r.mu.Lock()
		w.rollout.status.pending = false
		r.mu.Unlock()
	}
	return len(rewrites) > 0, err
}

// mayStore reports whether a state may be stored, once the stored one was read: no other verdict
// and no later order has come since the write was begun. A write of StateCompleted may take effect even if it fails, so the
// deadline does not count any more.
func (r *Releaser) mayStore(o *rollout, state promoter.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.final != "" && o.final != state || r.rollouts[o.order.Service] != o {
		return false
	}
	if state == promoter.StateCompleted && o.final == "" {
		if r.Clock.Now().Sub(o.orderedAt) >= o.order.Duration {
			// An earlier write of it has ended without effect, and it is too late for
			// another one.
			o.status.completionBegun = false
			o.promoter.CountDeadline()
			return false
		}
		o.status.completionBegun = true
		o.promoter.IgnoreDeadline()
	}
	return true
}

// storedState returns the stored state of the order; empty if the store holds that of another
// order.
func (r *Releaser) storedState(ctx context.Context, o *rollout, order director.Rollout) (promoter.State, error) {
	state, target, err := r.Store.RolloutStatus(ctx, order.Service)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || target != order.TargetVersion || state == o.formerVerdict {
		return "", err
	}
	return state, nil
}

// callStore runs a call to the store in the background unless one is under way or the last one
// failed a short time ago. The caller holds the lock.
func (r *Releaser) callStore(ctx context.Context, now time.Time, o *rollout, call func(context.Context) error) {
	if o.status.pending || !o.status.attemptedAt.IsZero() && now.Sub(o.status.attemptedAt) < statusRetryTime {
		return
	}
	o.status.pending, o.status.attemptedAt = true, now
	r.statusCalls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		err := call(callCtx)
		r.mu.Lock()
		defer r.mu.Unlock()
		o.status.pending = false
		if err == nil {
			o.status.attemptedAt = time.Time{}
		} else if ctx.Err() == nil {
			r.Logger.Warnf("status of the rollout of service %s not read or stored: %v", o.order.Service, err)
		}
	})
}
