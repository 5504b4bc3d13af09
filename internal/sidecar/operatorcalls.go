package sidecar

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"firplank/internal/core"
	"firplank/internal/handover"
	"firplank/report"
)

// errShuttingDown rejects a call that is received after the exchange has ended. Its text is sent to operators' tools.
var errShuttingDown = errors.New("the sidecar ends")

// unknownServerError rejects the ejection of a server that discovery never listed. Its text is sent to operators' tools.
type unknownServerError struct{ id string }

func (e *unknownServerError) Error() string { return fmt.Sprintf("no server %q was ever listed", e.id) }

// operatorCalls implements operators.Sidecar: readiness, metrics, manual ejections and draining on request. It is safe for
// concurrent use.
type operatorCalls struct {
	catalog  *core.Catalog
	exchange *core.Loop
	fronts   []front
	instance *handover.Instance // nil: manual ejections are lost when this process ends
	counts   *report.Counts
	reloads  reloadCounts
	serving  atomic.Bool // the fronts accept connections

	mu      sync.Mutex
	ejected handover.Ejected // used if instance is nil
}

// Ready implements operators.Sidecar.
func (o *operatorCalls) Ready() bool { return o.serving.Load() && o.exchange.Ready() }

// inspect calls fn on the exchange's goroutine and waits until it returns.
func (o *operatorCalls) inspect(ctx context.Context, fn func()) error {
	done := make(chan struct{})
	o.exchange.Inspect(func(time.Duration) {
		fn()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "too busy")
	case <-o.exchange.Done():
		return errShuttingDown
	}
}

// Metrics implements operators.Sidecar.
func (o *operatorCalls) Metrics(ctx context.Context) ([]string, error) {
	var servers core.ServerCounts
	if err := o.inspect(ctx, func() { servers = o.exchange.CountServers() }); err != nil {
		return nil, err
	}
	snapshot := o.counts.Snapshot()
	var lines []string
	add := func(name string, v int64) { lines = append(lines, fmt.Sprintf("sidecar.%s=%d", name, v)) }
	for i, name := range o.catalog.ClassNames() {
		c := &snapshot.Classes[i]
		add("answered."+name, c.Served)
		add("deferred."+name, c.Refused)
		add("errored."+name, c.Failed)
	}
	add("sends", snapshot.Sends)
	add("current", snapshot.Open)
	add("cluster_size", int64(servers.Size))
	add("cluster_unhealthy", int64(servers.Unhealthy))
	add("conf_loaded", o.reloads.loaded.Load())
	add("conf_invalid", o.reloads.invalid.Load())
	return lines, nil
}

// SetEjected implements operators.Sidecar.
func (o *operatorCalls) SetEjected(ctx context.Context, id string, eject bool) error {
	listed := false
	if err := o.inspect(ctx, func() { listed = o.exchange.EverListed(id) }); err != nil {
		return err
	}
	ejected, err := o.updateEjected(func(all handover.Ejected) error {
		_, alreadyEjected := all[id]
		switch {
		case !listed && !alreadyEjected:
			return &unknownServerError{id}
		case eject && !alreadyEjected:
			all[id] = time.Now()
		case !eject:
			delete(all, id)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return o.inspect(ctx, func() { o.exchange.SetExcluded(ejected) })
}

// updateEjected changes the set of manually ejected servers and returns the new set.
func (o *operatorCalls) updateEjected(update func(handover.Ejected) error) (handover.Ejected, error) {
	if o.instance != nil {
		return o.instance.UpdateEjected(update)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	next := handover.Ejected{}
	maps.Copy(next, o.ejected)
	if err := update(next); err != nil {
		return nil, err
	}
	o.ejected = next
	return next, nil
}

// Pause implements operators.Sidecar.
func (o *operatorCalls) Pause(on bool) {
	for _, f := range o.fronts {
		f.Pause(on)
	}
}
