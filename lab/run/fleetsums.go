package run

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"time"

	"firplank/internal/peers"
	"firplank/lab/relay"
	"firplank/lab/scenario"
)

const (
	fleetCheckInterval = time.Second
	fleetCheckTimeout  = 2 * time.Second
)

var operatorsAddressLine = regexp.MustCompile(`operators_address=(\S+)\n`)

// operatorsAddress returns the address of the operators' pages; empty if the process has not logged it yet.
func (p *process) operatorsAddress() string {
	if m := operatorsAddressLine.FindStringSubmatch(p.log.String()); m != nil {
		return m[1]
	}
	return ""
}

// changeLink begins or ends a fault on a link.
func changeLink(f *scenario.Fault, l *relay.Link, on bool) {
	switch f.Kind {
	case "link_cut":
		l.Cut = on
	case "link_slow":
		if l.Delay = 0; on {
			l.Delay = scenario.MS(f.Size * 1000)
		}
	case "link_loss":
		if l.Loss, l.Duplicated = 0, 0; on {
			l.Loss, l.Duplicated = f.Share, f.Share
		}
	}
}

// linkActions returns the functions that begin and end a fault on links between sidecars.
func (st *testbed) linkActions(f *scenario.Fault) (begin, end func(context.Context) error) {
	if f.Kind == "link_garbage" {
		return func(ctx context.Context) error {
			to, err := scenario.Group(f.To, st.s.Sidecars)
			if err != nil || st.links == nil {
				return err
			}
			st.tasks.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, f.For())
				defer cancel()
				if err := st.links.Flood(ctx, to, f.Size); err != nil {
					st.recordError(err)
				}
			})
			return nil
		}, nil
	}
	do := func(on bool) func(context.Context) error {
		return func(context.Context) error {
			if st.links == nil {
				return fmt.Errorf("%s: the exchange between sidecars is off: want [talk] enabled", f.Kind)
			}
			from, err := scenario.Group(f.From, st.s.Sidecars)
			if err != nil {
				return err
			}
			to, err := scenario.Group(f.To, st.s.Sidecars)
			if err != nil {
				return err
			}
			st.links.Change(from, to, func(l *relay.Link) { changeLink(f, l, on) })
			if !f.OneWay {
				st.links.Change(to, from, func(l *relay.Link) { changeLink(f, l, on) })
			}
			return nil
		}
	}
	return do(true), do(false)
}

// fleetStatus queries a sidecar's view of the fleet from its operators' pages.
func (st *testbed) fleetStatus(ctx context.Context, n *process) (*peers.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetCheckTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.operatorsAddress()+"/fleet", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read or is not needed
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fleet: %s", resp.Status)
	}
	s := &peers.Status{}
	return s, json.NewDecoder(resp.Body).Decode(s)
}

func sumCounts(s *peers.Status) (accepted, ended uint64) {
	for _, c := range s.Sums.Cells {
		accepted += c.Received
		ended += c.Served + c.RefusedCapacity + c.RefusedBudget + c.RefusedOther + c.Failed
	}
	return accepted, ended
}

// checkSums compares the sidecars' fleet-wide sums with the clients' counts until ctx ends. A sidecar's lower bound must not
// exceed the number of requests sent by then, and its upper bound must not be below the number answered before the query.
func (st *testbed) checkSums(ctx context.Context) {
	tick := time.NewTicker(fleetCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, n := range st.nodes {
			if !n.running() || n.isPaused() {
				continue
			}
			before, _ := st.recorder.acceptedBounds()
			s, err := st.fleetStatus(ctx, n)
			if err != nil {
				continue // it was killed or stopped meanwhile; crashes are found by stopSidecars
			}
			_, after := st.recorder.acceptedBounds()
			st.mu.Lock()
			st.fleetChecks++
			st.mu.Unlock()
			accepted, ended := sumCounts(s)
			if max(accepted, ended) > uint64(after) {
				st.recordError(fmt.Errorf("sidecar %d reports at least %d accepted and %d ended, but %d were sent", n.number, accepted, ended, after))
			}
			if s.Sums.UnboundedMembers == 0 && !s.Stale && accepted+s.Sums.Unreported+st.forgottenRequests() < uint64(before) {
				st.recordError(fmt.Errorf("sidecar %d reports at most %d accepted, but %d were answered", n.number, accepted+s.Sums.Unreported, before))
			}
		}
	}
}

// awaitEqualSums waits until all sidecars report the same sums, and records an error if that takes longer than the scenario
// allows. If no process was killed or stopped, the sums must equal the number of requests sent.
func (st *testbed) awaitEqualSums(ctx context.Context) {
	leastAccepted, sent := st.recorder.acceptedBounds()
	killed, stopped := false, false
	for i := range st.s.Faults {
		k := st.s.Faults[i].Kind
		killed, stopped = killed || k == "kill" || k == "term", stopped || k == "stop"
	}
	begin, mismatch := time.Now(), ""
	for time.Since(begin) < scenario.MS(st.s.Talk.AgreeWithinS*1000) && ctx.Err() == nil {
		var first *peers.Status
		mismatch = ""
		for _, n := range st.nodes {
			s, err := st.fleetStatus(ctx, n)
			if err != nil {
				mismatch = fmt.Sprintf("sidecar %d: %v", n.number, err)
				break
			}
			if first == nil {
				first = s
			}
			firstAccepted, _ := sumCounts(first)
			accepted, ended := sumCounts(s)
			switch {
			case fmt.Sprint(first.Sums.Cells) != fmt.Sprint(s.Sums.Cells):
				mismatch = fmt.Sprintf("sidecar %d reports %d and sidecar %d %d", first.Number, firstAccepted, n.number, accepted)
			case stopped && !killed && accepted < uint64(leastAccepted): // a stopped process may never read a request sent to it
				mismatch = fmt.Sprintf("sidecar %d reports %d accepted, but %d were answered", n.number, accepted, leastAccepted)
			case !killed && !stopped && (accepted != uint64(sent) || ended != uint64(sent)):
				mismatch = fmt.Sprintf("sidecar %d reports %d accepted and %d ended, but %d were sent", n.number, accepted, ended, sent)
			case accepted > uint64(sent):
				mismatch = fmt.Sprintf("sidecar %d reports %d accepted, but %d were sent", n.number, accepted, sent)
			}
			if mismatch != "" {
				break
			}
		}
		if mismatch == "" {
			st.sumsEqualAfter = time.Since(begin)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	st.recordError(fmt.Errorf("no equal sums after %v: %s", time.Since(begin).Round(time.Millisecond), mismatch))
}

// recordAllDown records the number of requests sent so far if no sidecar runs, as their counts are lost then.
func (st *testbed) recordAllDown() {
	for _, n := range st.nodes {
		if n.running() {
			return
		}
	}
	_, most := st.recorder.acceptedBounds()
	st.mu.Lock()
	st.sentBeforeAllDown = uint64(most)
	st.mu.Unlock()
}

// forgottenRequests returns the number of requests sent before the last time at which no sidecar ran.
func (st *testbed) forgottenRequests() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.sentBeforeAllDown
}
