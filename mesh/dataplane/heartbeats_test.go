package dataplane

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"firplank/mesh/admission"
	"firplank/mesh/api"
)

// fakeServerRecord is a serverRecord that records its calls.
type fakeServerRecord struct {
	heartbeats []admission.Heartbeat
	departed   []string
	changed    bool
	notDurable bool // no shutdown is recorded on a majority of disks
	requested  []string
}

func (r *fakeServerRecord) handleHeartbeat(h admission.Heartbeat) bool {
	r.heartbeats = append(r.heartbeats, h)
	return r.changed
}

func (r *fakeServerRecord) serverLeft(id string) bool {
	r.departed = append(r.departed, id)
	return r.changed
}

func newServerAPI(changes bool) (a *serverAPI, record *fakeServerRecord, changed *int) {
	service, count := atomic.Pointer[string]{}, 0
	before := "before"
	service.Store(&before)
	record = &fakeServerRecord{changed: changes}
	recordShutdown := func(id string, changed bool) bool {
		if changed {
			count++
		}
		record.requested = append(record.requested, id)
		return !record.notDurable
	}
	return &serverAPI{record: record, service: &service, onChange: func() { count++ }, recordShutdown: recordShutdown}, record, &count
}

// heartbeatBody returns a valid heartbeat in which one field is replaced, or left out if value is empty.
func heartbeatBody(field, value string) []byte {
	fields := map[string]string{
		"line": `"one"`, "berths": "5", "condition": `"accepting"`, "coldLeftS": "1.5", "sequence": "3",
	}
	fields[field] = value
	var members []string
	for name, v := range fields {
		if v != "" {
			members = append(members, fmt.Sprintf("%q: %s", name, v))
		}
	}
	return []byte("{" + strings.Join(members, ",") + "}")
}

func TestHeartbeatIsRecorded(t *testing.T) {
	for _, changes := range []bool{true, false} {
		a, record, changed := newServerAPI(changes)
		if got := a.heartbeat(&api.Request{Args: []string{"i-1"}, Body: heartbeatBody("condition", `"closing"`)}); got.Status != http.StatusOK {
			t.Errorf("answered by %d", got.Status)
		}
		want := admission.Heartbeat{
			ServerID: "i-1", Service: "one", Slots: 5, Closing: true, WarmUpLeft: 1500 * time.Millisecond, Sequence: admission.NewSequence(3),
		}
		if len(record.heartbeats) != 1 || record.heartbeats[0] != want {
			t.Errorf("recorded %+v", record.heartbeats)
		}
		if (*changed == 1) != changes || (*a.service.Load() == "one") != changes {
			t.Errorf("changed %v: %d notifications, service %s", changes, *changed, *a.service.Load())
		}
	}
}

func TestInvalidHeartbeatIsRejected(t *testing.T) {
	for _, c := range []struct{ name, id, field, value string }{
		{"no service", "i-1", "line", ""},
		{"an empty service", "i-1", "line", `""`},
		{"a long service", "i-1", "line", `"` + strings.Repeat("s", 201) + `"`},
		{"negative slots", "i-1", "berths", "-1"},
		{"too many slots", "i-1", "berths", "60001"},
		{"no condition", "i-1", "condition", ""},
		{"an unknown condition", "i-1", "condition", `"sleeping"`},
		{"a negative warm-up", "i-1", "coldLeftS", "-1"},
		{"a long warm-up", "i-1", "coldLeftS", "3601"},
		{"invalid JSON", "i-1", "sequence", "}"},
		{"a long ID", strings.Repeat("i", 201), "berths", "5"},
	} {
		a, record, changed := newServerAPI(true)
		if got := a.heartbeat(&api.Request{Args: []string{c.id}, Body: heartbeatBody(c.field, c.value)}); got.Status != http.StatusBadRequest {
			t.Errorf("%s: answered by %d", c.name, got.Status)
		}
		if len(record.heartbeats) != 0 || *changed != 0 || *a.service.Load() != "before" {
			t.Errorf("%s: recorded %+v", c.name, record.heartbeats)
		}
	}
}

func TestLeaveIsRecorded(t *testing.T) {
	for _, changes := range []bool{true, false} {
		a, record, changed := newServerAPI(changes)
		if got := a.leave(&api.Request{Args: []string{"i-1"}}); got.Status != http.StatusOK {
			t.Errorf("answered by %d", got.Status)
		}
		if fmt.Sprint(record.departed) != "[i-1]" || (*changed == 1) != changes {
			t.Errorf("recorded %v, %d notifications", record.departed, *changed)
		}
	}
}

// A leave that was acknowledged before it is durable would be lost with the processes that know it. Until then the server is asked to
// retry, whether or not its state has changed. Heartbeats of an accepting server do not wait.
func TestLeaveIsAcknowledgedOnceDurable(t *testing.T) {
	for _, changes := range []bool{true, false} {
		testLeaveIsAcknowledgedOnceDurable(t, changes)
	}
}

func testLeaveIsAcknowledgedOnceDurable(t *testing.T, changes bool) {
	a, record, _ := newServerAPI(changes)
	record.notDurable = true
	closing := &api.Request{Args: []string{"i-1"}, Body: heartbeatBody("condition", `"closing"`)}
	accepting := &api.Request{Args: []string{"i-1"}, Body: heartbeatBody("condition", `"accepting"`)}
	for _, got := range []api.Response{a.heartbeat(closing), a.leave(&api.Request{Args: []string{"i-1"}})} {
		if got.Status != http.StatusServiceUnavailable || got.RetryAfter == 0 {
			t.Errorf("a leave that is not durable is answered by %d, retry after %v", got.Status, got.RetryAfter)
		}
	}
	if got := a.heartbeat(accepting); got.Status != http.StatusOK {
		t.Errorf("a heartbeat of an accepting server is answered by %d", got.Status)
	}
	if fmt.Sprint(record.requested) != "[i-1 i-1]" {
		t.Errorf("recorded the shutdown of %v", record.requested)
	}
	record.notDurable = false
	for _, got := range []api.Response{a.heartbeat(closing), a.leave(&api.Request{Args: []string{"i-1"}})} {
		if got.Status != http.StatusOK {
			t.Errorf("a durable leave is answered by %d", got.Status)
		}
	}
}

// A heartbeat that readers of JSON understand differently is not believed: the server's condition would depend on the reader.
func TestAmbiguousHeartbeatIsRejected(t *testing.T) {
	for name, body := range map[string]string{
		"two conditions":        `{"line":"one","condition":"closing","condition":"accepting","sequence":1}`,
		"two lines, by case":    `{"line":"one","Line":"two","condition":"accepting","sequence":1}`,
		"something behind it":   `{"line":"one","condition":"accepting","sequence":1}]`,
		"a sequence of null":    `{"line":"one","condition":"accepting","sequence":null}`,
		"a byte that isn't one": "{\"line\":\"\xff\",\"condition\":\"accepting\",\"sequence\":1}",
	} {
		a, record, _ := newServerAPI(true)
		response := a.heartbeat(&api.Request{Args: []string{"i-1"}, Body: []byte(body)})
		if response.Status != http.StatusBadRequest || len(record.heartbeats) > 0 {
			t.Errorf("%s: status %d, %d heartbeats recorded", name, response.Status, len(record.heartbeats))
		}
	}
}
