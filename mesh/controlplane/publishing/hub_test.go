package publishing

import (
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"firplank/mesh/configversion"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/timing"
)

// durations are the defaults, which the deployments use.
var durations = timing.Default()

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const s = time.Second

var errCorrupt = errors.New("corrupt")

func unpack(packed []byte) ([]byte, error) {
	if string(packed) == "corrupt" {
		return nil, errCorrupt
	}
	return slices.Concat([]byte("text of "), packed), nil
}

func committed(version configversion.Version, body string, asOf time.Duration) persist.Committed {
	return persist.Committed{Known: true, Value: register.Value{Version: version, Body: []byte(body)}, AsOf: asOf}
}

// A committed version replaces the published one only if it is newer and can be decompressed. Its AsOf follows the last reply of a quorum.
func TestPublish(t *testing.T) {
	h := New[string](unpack, durations)
	for _, c := range []struct {
		name        string
		committed   persist.Committed
		newer       bool
		err         error
		version     configversion.Version
		text        string
		packed      string
		publishedAt time.Duration
	}{
		{"nothing is known", persist.Committed{}, false, nil, 0, "", "", dissemination.TimeUnknown},
		{"nothing is committed", committed(0, "", s), false, nil, 0, "", "", dissemination.TimeUnknown},
		{"the first", committed(7, "a", s), true, nil, 7, "text of a", "a", s},
		{"the same, later", committed(7, "a", 2*s), false, nil, 7, "text of a", "a", 2 * s},
		{"an older one", committed(6, "b", 3*s), false, nil, 7, "text of a", "a", 2 * s},
		{"one that cannot be decompressed", committed(8, "corrupt", 4*s), false, errCorrupt, 7, "text of a", "a", 2 * s},
		{"a newer one", committed(9, "c", 5*s), true, nil, 9, "text of c", "c", 5 * s},
	} {
		newer, err := h.Publish(c.committed)
		p := h.Publisher
		if newer != c.newer || !errors.Is(err, c.err) {
			t.Errorf("%s: newer %v, error %v", c.name, newer, err)
		}
		if p.Version != c.version || string(p.Text) != c.text || string(h.Packed()) != c.packed || p.AsOf != c.publishedAt {
			t.Errorf("%s: version %d, text %q, packed %q, as of %v", c.name, p.Version, p.Text, h.Packed(), p.AsOf)
		}
	}
}

// A connection subscribes at most once, and gets updates until it closes.
func TestSubscribers(t *testing.T) {
	h := New[string](unpack, durations)
	if _, err := h.Publish(committed(7, "a", 0)); err != nil {
		t.Fatal(err)
	}
	if !h.Subscribe("x", dissemination.Ack{}, 0) || h.Subscribe("x", dissemination.Ack{}, 0) ||
		!h.Subscribe("y", dissemination.Ack{Version: 7, LowestInForce: 7}, 0) {
		t.Error("x and y must be able to subscribe, each once")
	}
	if lowest := h.LowestInForce(0); lowest != 0 {
		t.Errorf("x has no configuration, and %d is in force", lowest)
	}
	updates, _ := h.Updates(s)
	full := map[string]bool{}
	for _, u := range updates {
		full[u.Conn] = u.FullText
		h.HandleAck(u.Conn, dissemination.Ack{Nonce: u.Nonce, Version: u.Version, LowestInForce: u.Version}, s)
	}
	if len(updates) != 2 || !full["x"] || full["y"] {
		t.Errorf("%+v", updates)
	}
	h.HandleAck("unsubscribed", dissemination.Ack{Version: 3}, s)
	if lowest := h.LowestInForce(s); lowest != 7 {
		t.Errorf("%d is in force", lowest)
	}
	h.HandleAck("x", dissemination.Ack{Version: 7, LowestInForce: 2}, s)
	h.Disconnect("x")
	h.Disconnect("unsubscribed")
	if lowest := h.LowestInForce(s); lowest != 7 {
		t.Errorf("x has disconnected, and %d is in force", lowest)
	}
	if _, err := h.Publish(committed(8, "b", 2*s)); err != nil {
		t.Fatal(err)
	}
	updates, _ = h.Updates(2 * s)
	updates2, _ := h.Updates(2*s + 500*time.Millisecond)
	for _, u := range append(updates, updates2...) {
		if u.Conn != "y" {
			t.Errorf("an update for %q", u.Conn)
		}
	}
	if conns := h.Conns(); !slices.Equal(conns, []string{"y"}) {
		t.Errorf("subscribers %v", conns)
	}
}

// The lowest version in force is announced when it changes, and not again.
func TestAnnounce(t *testing.T) {
	h := New[string](unpack, durations)
	h.Subscribe("x", dissemination.Ack{Version: 8, LowestInForce: 7}, 0)
	if lowest := h.LowestInForce(0); lowest != 7 {
		t.Errorf("x has 7 in force, and %d is in force", lowest)
	}
	for _, c := range []struct {
		name    string
		now     time.Duration
		ack     configversion.Version // or None
		lowest  configversion.Version
		changed bool
	}{
		{"the first", 0, 0, 7, true},
		{"the same", 0, 0, 7, false},
		{"a higher one", s, 8, 8, true},
		{"the same again", s, 8, 8, false},
		{"the subscriber is silent", 5 * s, 0, dissemination.Unconstrained, true},
	} {
		if c.ack > 0 {
			h.HandleAck("x", dissemination.Ack{Version: c.ack, LowestInForce: c.ack}, c.now)
		}
		if lowest, changed := h.Announce(c.now); lowest != c.lowest || changed != c.changed {
			t.Errorf("%s: %d, changed %v", c.name, lowest, changed)
		}
	}
}

func entry(node string, seen time.Duration) directory.Entry {
	return directory.Entry{Node: node, Incarnation: 1, Sequence: 1, LastSeen: seen}
}

// A sidecar that a relay reports as lost is marked lost only if this machine has not seen it for MinSilence either. A peer's report of a
// loss is ignored.
func TestLostSidecars(t *testing.T) {
	for _, c := range []struct {
		name             string
		seen, now        time.Duration
		direct           bool
		lost, markedLost bool
	}{
		{"silent here too", s, s + durations.Sidecars.MinSilence + 1, true, true, true},
		{"silent for not long enough", s, s + durations.Sidecars.MinSilence, true, false, false},
		{"seen recently", s, s + durations.Sidecars.MinSilence/2, true, false, false},
		{"reported by a peer", s, s + durations.Sidecars.MinSilence + 1, false, false, false},
	} {
		h := New[string](unpack, durations)
		h.HandleEntry(entry("n", c.seen), true, true, c.seen)
		report := entry("n", c.seen)
		report.Sequence, report.Lost = 2, true
		if lost := h.HandleEntry(report, true, c.direct, c.now); lost != c.lost {
			t.Errorf("%s: reported lost: %v", c.name, lost)
		}
		if e, _ := h.Publisher.Directory.Get("n"); e.Lost != c.markedLost {
			t.Errorf("%s: marked lost: %v", c.name, e.Lost)
		}
	}
}

// A peer gets the entries that have changed since its last report in full, and evidence of life for the others that were seen directly.
func TestReport(t *testing.T) {
	h := New[string](unpack, durations)
	h.HandleEntry(entry("a", s), true, true, s)
	h.HandleEntry(entry("b", s), true, true, s)
	h.HandleEntry(entry("c", s), true, false, s)
	first := h.Report(0)
	if len(first.Changed) != 3 || len(first.Alive) != 0 {
		t.Errorf("the first report: %+v", first)
	}
	second := h.Report(first.Revision)
	if len(second.Changed) != 0 || len(second.Alive) != 2 {
		t.Errorf("the second report, before ReportSent: %+v", second)
	}
	h.ReportSent()
	h.HandleEntry(entry("a", 2*s), false, true, 2*s)
	changed := entry("b", 2*s)
	changed.Sequence, changed.Slots = 2, 7
	h.HandleEntry(changed, true, true, 2*s)
	h.HandleEntry(entry("c", 2*s), false, false, 2*s)
	third := h.Report(first.Revision)
	if len(third.Changed) != 1 || third.Changed[0].Node != "b" || len(third.Alive) != 1 || third.Alive[0].Node != "a" ||
		third.Alive[0].LastSeen != 2*s {
		t.Errorf("the third report: %+v", third)
	}
	if !slices.Equal([]uint64{third.Revision}, []uint64{h.Publisher.Directory.Revision()}) {
		t.Errorf("revision %d", third.Revision)
	}
}

// A silent sidecar is marked lost after Timeout, and its entry is deleted after SidecarRetention.
func TestExpire(t *testing.T) {
	h := New[string](unpack, durations)
	h.HandleEntry(entry("n", s), true, true, s)
	for _, c := range []struct {
		now         time.Duration
		known, lost bool
	}{
		{s + durations.Sidecars.Timeout, true, false},
		{s + durations.Sidecars.Timeout + 1, true, true},
		{s + SidecarRetention + 1, false, false},
	} {
		h.Expire(c.now)
		if e, known := h.Publisher.Directory.Get("n"); known != c.known || e.Lost != c.lost {
			t.Errorf("at %v: known %v, lost %v", c.now, known, e.Lost)
		}
	}
}
