package standin

// This file serves calls to the roster.

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"firplank/lab/judge"
)

// maxHold bounds the duration of a watch.
const maxHold = time.Minute

// Member is the wire format of an entry.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// List is the wire format of a response.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// selectShare counts the call and reports whether it belongs to the given share of calls, evenly distributed. The caller
// holds mu.
func (r *Roster) selectShare(share float64) bool {
	r.shareCount++
	return int(float64(r.shareCount)*share) > int(float64(r.shareCount-1)*share)
}

// truncateResponse writes the first half of a response, and then stalls (ending 0), resets (1) or closes the connection (2).
func (r *Roster) truncateResponse(w http.ResponseWriter, text []byte, ending int) {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text[:len(text)/2])        // fails only if the client has disconnected
	_ = http.NewResponseController(w).Flush() // fails only if the client has disconnected
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if ending == 0 { // stalls until the client closes the connection
		r.tasks.Go(func() {
			defer func() { _ = conn.Close() }()               // the connection is released even where this fails
			_ = conn.SetReadDeadline(time.Now().Add(maxHold)) // fails only on a closed connection, as the next call on it does
			_, _ = io.Copy(io.Discard, conn)                  // discarded
		})
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && ending == 1 {
		_ = tcp.SetLinger(0) // if this fails the connection is closed without a reset
	}
	_ = conn.Close() // the connection is released even where this fails
}

// list returns the changes after revision from, or the complete list if from is negative or above the present revision.
// The caller holds mu.
func (r *Roster) list(sidecar int, from int64) List {
	l := List{Revision: r.revision, Complete: from < 0 || from > r.revision || r.cfg.AlwaysFull, Members: []Member{}}
	for _, id := range r.order {
		m := r.members[id]
		if m == nil || l.Complete && m.phase == "gone" || !l.Complete && m.revision <= from {
			continue
		}
		out := Member{
			ID: id, HostPort: m.Addr(sidecar), Locality: m.Zone, Flavor: m.Kind, Cell: m.Cell, Phase: m.phase, Size: m.Size,
		}
		if !m.UpSince.IsZero() {
			out.UpSince = m.UpSince.UnixMilli()
		}
		l.Members = append(l.Members, out)
	}
	return l
}

// rosterCall is one call to the roster.
type rosterCall struct {
	sidecar int
	from    int64 // the revision that the caller has; negative: none
	hold    time.Duration
	onEnd   func(judge.CallEnd, time.Duration) // called with how the call ended, and when
}

var errNotNumber = errors.New("from or hold_ms is no number")

// parseCall parses the query of a call.
func parseCall(query url.Values) (rosterCall, error) {
	c := rosterCall{from: -1}
	text := query.Get("from")
	if text == "" {
		return c, nil
	}
	from, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return c, errNotNumber
	}
	ms, err := strconv.Atoi(query.Get("hold_ms"))
	if err != nil {
		return c, errNotNumber
	}
	c.from, c.hold = from, min(time.Duration(ms)*time.Millisecond, maxHold)
	return c, nil
}

// serve handles a call, subject to the injected faults.
func (r *Roster) serve(w http.ResponseWriter, req *http.Request, sidecar int) {
	if req.Method != http.MethodGet || req.URL.Path != "/discovery/hosts" {
		http.NotFound(w, req)
		return
	}
	call, err := parseCall(req.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	call.sidecar, call.onEnd = sidecar, r.cfg.Observer.RosterCall(sidecar, r.cfg.Clock(), call.hold, call.from >= 0)
	r.mu.Lock()
	muted, rejected, after := r.muted, r.selectShare(r.busyShare), r.busyDelay
	r.mu.Unlock()
	if rejected {
		r.rejectBusy(ctx, w, &call, after)
		return
	}
	if !r.waitTurn(ctx) || !r.awaitChange(ctx, muted, call.from, call.hold) {
		if ctx.Err() != nil {
			call.onEnd(judge.CallCanceled, r.cfg.Clock())
		} else {
			call.onEnd(judge.CallRejected, r.cfg.Clock())
		}
		panic(http.ErrAbortHandler) // resets the connection, like an unreachable service
	}
	r.reply(w, &call)
}

// rejectBusy responds with 503 after a delay.
func (r *Roster) rejectBusy(ctx context.Context, w http.ResponseWriter, call *rosterCall, after time.Duration) {
	if !r.sleep(ctx, after) {
		call.onEnd(judge.CallCanceled, r.cfg.Clock())
		return
	}
	call.onEnd(judge.CallRejected, r.cfg.Clock())
	http.Error(w, "busy", http.StatusServiceUnavailable)
}

// malformedList is a truncated list with invalid members.
const malformedList = `{"revision":9,"complete":true,"members":[{"id":"","host_port":"nowhere","phase":"odd"}`

// reply writes the present list, malformed or truncated if such a fault is injected.
func (r *Roster) reply(w http.ResponseWriter, call *rosterCall) {
	r.mu.Lock()
	l, malformed, truncated := r.list(call.sidecar, call.from), r.malformed, r.truncatedShare > 0 && r.selectShare(r.truncatedShare)
	notices := r.notices(l.Complete, call.from)
	r.mu.Unlock()
	if malformed {
		call.onEnd(judge.CallBroken, r.cfg.Clock())
		_, _ = io.WriteString(w, malformedList) // fails only if the client has disconnected
		return
	}
	text, err := json.Marshal(l)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if truncated {
		call.onEnd(judge.CallBroken, r.cfg.Clock())
		r.mu.Lock()
		ending := r.shareCount % 3
		r.mu.Unlock()
		r.truncateResponse(w, text, ending)
		return
	}
	if _, err := w.Write(text); err != nil {
		call.onEnd(judge.CallCanceled, r.cfg.Clock())
		return
	}
	if http.NewResponseController(w).Flush() != nil {
		call.onEnd(judge.CallCanceled, r.cfg.Clock())
		return
	}
	call.onEnd(judge.CallAnswered, r.cfg.Clock())
	for id, ready := range notices {
		r.cfg.Observer.Notified(call.sidecar, id, ready, r.cfg.Clock())
	}
}

// notices returns the servers that a list has news of, with whether each is ready. The caller holds mu.
func (r *Roster) notices(complete bool, from int64) map[string]bool {
	notices := make(map[string]bool, len(r.order))
	for _, id := range r.order {
		m := r.members[id]
		if m == nil {
			notices[id] = false
		} else if complete || m.revision > from {
			notices[id] = m.phase == "ready"
		}
	}
	return notices
}

// waitTurn waits until the calls before this one have been handled. It returns false if the queue is too long, the roster is
// down or the call ends.
func (r *Roster) waitTurn(ctx context.Context) bool {
	r.mu.Lock()
	r.calls++
	if r.down && !r.cfg.Push {
		r.mu.Unlock()
		return false
	}
	now := r.cfg.Clock()
	start := max(now, r.idleAt)
	if r.cfg.MaxQueueWait > 0 && start-now > r.cfg.MaxQueueWait {
		r.mu.Unlock()
		return false
	}
	r.idleAt = start + r.cfg.ServiceTime
	wait := r.idleAt - now + r.extraDelay
	r.mu.Unlock()
	return r.sleep(ctx, wait)
}

func (r *Roster) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-r.closed:
	}
	return false
}

// awaitChange holds a watch until there are changes or hold is over. It returns false if the roster becomes unreachable, the
// watch is muted or the call ends.
func (r *Roster) awaitChange(ctx context.Context, muted <-chan struct{}, from int64, hold time.Duration) bool {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		select {
		case <-muted:
			r.sleep(ctx, maxHold)
			return false
		default:
		}
		r.mu.Lock()
		changed := r.changed
		down := r.down && !r.cfg.Push
		hasChanges := from < 0 || from != r.revision && !(r.down && r.cfg.Push)
		r.mu.Unlock()
		if down {
			return false
		}
		if hasChanges || hold <= 0 {
			return true
		}
		select {
		case <-changed:
		case <-muted:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		case <-r.closed:
			return false
		}
	}
}
