package core

import (
	"math"
	"time"

	"firplank/balance"
)

const (
	// longPauseMillis is the duration of a pause of the loop from which on the process may have been stopped. The check for
	// pending updates that follows costs little if the loop was only idle.
	longPauseMillis     = 200
	updateCheckMillis   = 10   // interval of checks for pending updates
	maxUpdateWaitMillis = 1000 // longest wait for pending updates, as an answer may arrive very slowly
)

// resume updates the clock when the loop continues. After a long pause, pending updates of the roster are applied before
// requests that arrived during the pause are sent.
func (l *Loop) resume() {
	l.now = l.millisAt(time.Now())
	if l.now-l.lastRunAt > longPauseMillis && l.cfg.UpdatesPending != nil && !l.updatesPending {
		l.updatesPending, l.updatesPendingSince = l.cfg.UpdatesPending(), l.now
	}
	l.lastRunAt = l.now
	l.updateFence()
}

// checkPendingUpdates ends the wait for pending updates once they have arrived, or after maxUpdateWaitMillis.
func (l *Loop) checkPendingUpdates() {
	l.now = l.millisAt(time.Now())
	l.lastRunAt = l.now
	if l.updatesPending && (l.now-l.updatesPendingSince > maxUpdateWaitMillis || !l.cfg.UpdatesPending()) {
		l.drainInbox()
		l.updatesPending = false
	}
}

// updateFence closes all endpoints while the server list is not valid or updates of it are pending, as any server may be
// draining or gone by then, and opens them again afterwards. To the balancer closed servers are draining. Attempts in
// flight continue.
func (l *Loop) updateFence() {
	now := l.timeAt(l.now)
	invalid := !l.validity.until.IsZero() && !now.Before(l.validity.until) && now.Before(l.validity.lapsed)
	fenced := invalid || l.updatesPending
	if fenced == l.fenced {
		return
	}
	l.fenced = fenced
	switch {
	case l.updatesPending:
		l.log.Debug("pending updates of the list of servers precede waiting requests")
	case fenced:
		l.log.Warn("the list of servers may be out of date: no new attempts are sent",
			"since", l.validity.until, "until", l.validity.lapsed)
	default:
		l.log.Info("the list of servers is used again")
	}
	changed := balance.ServerList{Kind: balance.ListDelta}
	for name, e := range l.endpoints {
		if _, excluded := l.excluded[name]; excluded || e.member.Phase != phaseReady {
			continue
		}
		e.closed.Store(fenced)
		changed.Servers = append(changed.Servers, l.listEntry(e))
	}
	l.notify(changed)
}

// nextFenceCheck returns when updateFence has to be called next, by the loop's clock; +Inf: after events only.
func (l *Loop) nextFenceCheck() float64 {
	switch {
	case l.updatesPending:
		return l.now + updateCheckMillis
	case l.validity.until.IsZero():
		return math.Inf(1)
	case l.fenced:
		return l.millisAt(l.validity.lapsed)
	case l.now < l.millisAt(l.validity.until):
		return l.millisAt(l.validity.until)
	}
	return math.Inf(1)
}
