package dissemination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/delta"
	"firplank/mesh/directory"
	"firplank/mesh/rollout"
)

// describe formats an update for a test's log: time, version, "full" or the base versions of deltas, number of entries.
func describe(now time.Duration, u Update) string {
	content := ""
	if u.FullText {
		content = "full"
	}
	for _, d := range u.Deltas {
		content += fmt.Sprintf("<%d>", d.Base)
	}
	return fmt.Sprintf("%d:%d%s+%d", now.Milliseconds(), u.Version, content, len(u.Entries))
}

// A subscriber gets each change once, soon after it happened, and a heartbeat at least each HeartbeatInterval.
func TestSubscriberGetsEachChangeOnce(t *testing.T) {
	p := NewPublisher(durations)
	p.SetConfig(5, []byte("five"), nil, 0)
	p.Directory.Merge(directory.Entry{Node: "n1", Incarnation: 1, Sequence: 1}, 0)
	p.Subscribe(1, 0, 0)
	var log []string
	for now := time.Duration(0); now < 1200*time.Millisecond; now += 5 * time.Millisecond {
		switch now {
		case 500 * time.Millisecond:
			p.SetConfig(6, []byte("six"), nil, now)
		case 505 * time.Millisecond:
			p.Directory.Merge(directory.Entry{Node: "n1", Incarnation: 1, Sequence: 2}, now)
		case 600 * time.Millisecond:
			p.SetConfig(4, []byte("four"), nil, now) // an older one that arrives late
		case 700 * time.Millisecond:
			p.SetConfig(6, []byte("six"), nil, now) // a register round that changed something else
		}
		pushed, _ := p.Tick(now)
		for _, update := range pushed {
			log = append(log, describe(now, update))
			p.HandleAck(1, Ack{Nonce: update.Nonce, Version: update.Version, LowestInForce: update.Version}, now)
		}
	}
	if got, want := strings.Join(log, " "), "0:5full+1 350:5+0 515:6<5>+1 865:6+0"; got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	if p.Unsubscribe(1); p.Subscribers() != 0 {
		t.Error("the subscriber is still counted after Unsubscribe")
	}
}

// Guards against sending superseded versions: during a burst of changes, full texts that were already superseded filled the links of
// relays.
func TestSlowSubscriberSkipsSupersededVersions(t *testing.T) {
	p := NewPublisher(durations)
	p.SetConfig(1, []byte("text number 1"), nil, 0)
	p.Subscribe(1, 1, 0)
	text, version, nonce := []byte("text number 1"), configversion.Version(1), uint64(0)
	updates := 0
	for now := time.Duration(0); now <= 10*time.Second; now += 50 * time.Millisecond {
		if now < 9*time.Second {
			p.SetConfig(p.Version+1, fmt.Appendf(nil, "text number %d", p.Version+1), nil, now)
		}
		pushed, _ := p.Tick(now)
		for _, update := range pushed {
			if update.Version < p.Version && update.AsOf != TimeUnknown {
				t.Fatalf("%v: a superseded version is reported as the newest", now)
			}
			if update.Nonce == 0 {
				continue
			}
			if nonce > 0 {
				t.Fatalf("%v: a second update in flight", now)
			}
			subscriber := Publisher{Version: version, Text: text}
			got, _, ok := subscriber.ApplyDeltas(update.Deltas, 100)
			if !ok || string(got) != fmt.Sprintf("text number %d", p.Version) {
				t.Fatalf("%v: %q %v", now, got, ok)
			}
			updates, nonce, text, version = updates+1, update.Nonce, got, update.Version
		}
		if now%time.Second == 0 && nonce > 0 { // over the slow link, acknowledgements arrive once a second
			p.HandleAck(1, Ack{Nonce: nonce, Version: version, LowestInForce: version}, now)
			nonce = 0
		}
	}
	if version != p.Version || p.LowestInForce(10*time.Second) != p.Version || updates > 12 {
		t.Errorf("has %d of %d after %d updates", version, p.Version, updates)
	}
}

// A subscriber that rejects a delta because it does not apply gets the full text next.
func TestSubscriberThatRejectsADeltaGetsTheFullText(t *testing.T) {
	p := NewPublisher(durations)
	p.SetConfig(1, []byte("one"), nil, 0)
	p.SetConfig(2, []byte("two"), nil, 0)
	p.Subscribe(1, 1, 0)
	pushed, _ := p.Tick(0)
	subscriber := Publisher{Version: 1, Text: []byte("another one")}
	if _, _, ok := subscriber.ApplyDeltas(pushed[0].Deltas, 100); ok {
		t.Error("applied to the wrong text")
	}
	p.HandleAck(1, Ack{Nonce: pushed[0].Nonce, Version: 0, LowestInForce: 1}, 0)
	p.Tick(20 * time.Millisecond)
	if pushed, _ = p.Tick(60 * time.Millisecond); len(pushed) != 1 || !pushed[0].FullText {
		t.Errorf("%+v", pushed)
	}
}

// A later confirmation of an older version does not advance AsOf of the current one.
func TestOlderVersionDoesNotConfirmTheNewest(t *testing.T) {
	p := NewPublisher(durations)
	p.SetConfig(5, []byte("five"), nil, time.Second)
	p.SetConfig(4, []byte("four"), nil, 2*time.Second)
	p.SetConfig(6, nil, nil, 3*time.Second)
	if p.Version != 5 || p.AsOf != time.Second {
		t.Errorf("version %d as of %v", p.Version, p.AsOf)
	}
}

func TestSubscriberWithoutReportsDoesNotDelayConfirmations(t *testing.T) {
	p := NewPublisher(durations)
	p.SetConfig(7, []byte("seven"), nil, 0)
	p.Subscribe(1, 3, 0)
	p.Subscribe(2, 3, 0)
	p.HandleAck(2, Ack{Version: 7, LowestInForce: 7}, time.Second)
	later := durations.SubscriberTimeout + time.Millisecond
	if before, after := p.LowestInForce(time.Second), p.LowestInForce(later); before != 3 || after != 7 {
		t.Errorf("lowest %d, then %d", before, after)
	}
	if p.LowestInForce(time.Minute) != Unconstrained {
		t.Error("subscribers that no longer report still count")
	}
}

func TestFullPublisherRejectsSubscribers(t *testing.T) {
	p := NewPublisher(durations)
	for id := range uint64(MaxSubscribers) {
		if !p.Subscribe(id, 0, 0) {
			t.Fatalf("subscriber %d is rejected", id)
		}
	}
	if p.Subscribe(MaxSubscribers, 0, 0) {
		t.Error("accepts more than MaxSubscribers")
	}
}

// nextUpdate returns the update for the only subscriber, and fails the test if none is due.
func nextUpdate(t *testing.T, p *Publisher, now time.Duration) Update {
	t.Helper()
	updates, _ := p.Tick(now)
	if len(updates) != 1 {
		t.Fatalf("%v: %d updates", now, len(updates))
	}
	return updates[0]
}

// Until a subscriber has acknowledged an update it gets only heartbeats, which do not confirm any newer version.
func TestOnlyHeartbeatsUntilAck(t *testing.T) {
	p := NewPublisher(durations)
	p.SetConfig(1, []byte("one"), nil, 0)
	p.Subscribe(1, 0, 0)
	first := nextUpdate(t, p, 20*time.Millisecond)
	p.SetConfig(2, []byte("two"), nil, 30*time.Millisecond)
	if updates, _ := p.Tick(100 * time.Millisecond); len(updates) != 0 {
		t.Error("an update before the heartbeat, while the first one is not acknowledged")
	}
	heartbeat := nextUpdate(t, p, 20*time.Millisecond+durations.HeartbeatInterval)
	if heartbeat.Version != 1 || heartbeat.AsOf != TimeUnknown || heartbeat.Nonce != 0 || heartbeat.Deltas != nil || heartbeat.FullText {
		t.Errorf("%+v", heartbeat)
	}
	now := 400 * time.Millisecond
	p.HandleAck(1, Ack{Nonce: first.Nonce - 1, Version: 1}, now)
	p.Tick(now)
	if updates, _ := p.Tick(now + batchDelay); len(updates) != 0 {
		t.Error("an ack with another nonce is accepted")
	}
	p.HandleAck(1, Ack{Nonce: first.Nonce, Version: 1}, now)
	p.Tick(now)
	if second := nextUpdate(t, p, now+batchDelay); second.Version != 2 || len(second.Deltas) != 1 {
		t.Errorf("%+v", second)
	}
}

// A subscriber that already has entries gets the configuration first, and a large number of entries after it has acknowledged that.
func TestManyEntriesArePushedAfterConfigurationIsAcknowledged(t *testing.T) {
	p := NewPublisher(durations)
	add := func(sequence uint64) {
		for i := range maxUnackedEntries + 1 {
			p.Directory.Merge(directory.Entry{Node: fmt.Sprint("n", i), Incarnation: 1, Sequence: sequence}, 0)
		}
	}
	add(1)
	p.SetConfig(1, []byte("one"), nil, 0)
	p.Subscribe(1, 0, 0)
	first := nextUpdate(t, p, 0)
	if !first.FullText || len(first.Entries) != maxUnackedEntries+1 || first.Nonce == 0 {
		t.Errorf("first: %d entries, %+v", len(first.Entries), first.Version)
	}
	p.HandleAck(1, Ack{Nonce: first.Nonce, Version: 1}, 0)
	add(2)
	p.SetConfig(2, []byte("two"), nil, 0)
	second := nextUpdate(t, p, time.Second)
	if len(second.Deltas) != 1 || len(second.Entries) != 0 {
		t.Errorf("second: %d deltas, %d entries", len(second.Deltas), len(second.Entries))
	}
	p.HandleAck(1, Ack{Nonce: second.Nonce, Version: 2}, time.Second)
	third := nextUpdate(t, p, 2*time.Second)
	if len(third.Entries) != maxUnackedEntries+1 || third.Nonce == 0 {
		t.Errorf("third: %d entries, nonce %d", len(third.Entries), third.Nonce)
	}
}

func TestDeltasWithGapAreRejected(t *testing.T) {
	one, two, three := []byte("text one"), []byte("text two"), []byte("text three")
	first := Delta{Base: 1, Version: 2, Bytes: delta.Encode(one, two)}
	second := Delta{Base: 2, Version: 3, Bytes: delta.Encode(two, three)}
	p := Publisher{Version: 1, Text: one}
	if text, used, ok := p.ApplyDeltas([]Delta{first, second}, 100); !ok || len(used) != 2 || string(text) != string(three) {
		t.Errorf("%q by %d deltas, %v", text, len(used), ok)
	}
	late := Publisher{Version: 2, Text: two}
	if text, used, ok := late.ApplyDeltas([]Delta{first, second}, 100); !ok || len(used) != 1 || string(text) != string(three) {
		t.Errorf("%q by %d deltas, %v", text, len(used), ok)
	}
	second.Base = 0 // the bytes would apply, but the version numbers leave a gap
	if _, _, ok := p.ApplyDeltas([]Delta{first, second}, 100); ok {
		t.Error("applied across a gap")
	}
	if _, _, ok := late.ApplyDeltas([]Delta{{Base: 3, Version: 4}}, 100); ok {
		t.Error("applied to another version")
	}
}

// Entries of servers of a new version are never pushed before their rollout, which is pushed without waiting for an acknowledgement.
func TestRolloutsArePushedBeforeEntriesOfNewServers(t *testing.T) {
	p := NewPublisher(durations)
	p.SetConfig(1, []byte("text"), nil, 0)
	p.Subscribe(1, 0, 0)
	if pushed, _ := p.Tick(0); len(pushed) != 1 || pushed[0].Nonce == 0 || pushed[0].Rollouts != nil {
		t.Fatalf("%+v", pushed)
	}
	p.SetRollouts(rollout.Set{Revision: 2, Rollouts: []rollout.Rollout{{Service: "one", Target: "v2", Order: 1, Stage: rollout.Canary}}})
	p.Directory.Merge(directory.Entry{Node: "n1", Incarnation: 1, Sequence: 1, Version: "v2"}, 0)
	p.Tick(time.Millisecond) // detects the change, whose push is delayed by batchDelay
	pushed, _ := p.Tick(time.Millisecond + batchDelay)
	if len(pushed) != 1 || pushed[0].Rollouts == nil || pushed[0].Rollouts.Revision != 2 || len(pushed[0].Entries) != 0 {
		t.Fatalf("while an acknowledgement is awaited: %+v", pushed)
	}
	p.HandleAck(1, Ack{Nonce: 1, Version: 1}, 20*time.Millisecond)
	p.Subscribe(2, 0, 20*time.Millisecond)
	for now := 20 * time.Millisecond; now < time.Second; now += 5 * time.Millisecond {
		pushed, _ := p.Tick(now)
		for _, u := range pushed {
			if u.SubscriberID == 2 && len(u.Entries) > 0 && u.Rollouts == nil {
				t.Fatal("a new subscriber gets entries without rollouts")
			}
			if u.SubscriberID == 1 && u.Rollouts != nil {
				t.Fatal("the same rollouts are pushed again")
			}
		}
		if len(pushed) > 0 {
			return
		}
	}
	t.Fatal("nothing is pushed")
}

func TestOlderRolloutsAreIgnored(t *testing.T) {
	p := NewPublisher(durations)
	if !p.SetRollouts(rollout.Set{Revision: 3}) || p.SetRollouts(rollout.Set{Revision: 3}) || p.SetRollouts(rollout.Set{Revision: 2}) ||
		p.Rollouts.Revision != 3 {
		t.Errorf("revision %d", p.Rollouts.Revision)
	}
}
