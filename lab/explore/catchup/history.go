package catchup

import (
	"bytes"
	"fmt"
	"sort"
	"time"
)

// history is what operators, readers and sidecars received, and when. It knows of no ballot, disk or message.
type history struct {
	bodies               map[uint32][]byte // by version
	acknowledgedVersions map[uint32]bool
	observations         []observation // by rising time and version
	reads                int
	breach               error // the first
	catchingUp           map[string]*catchingUp
	catchUp              CatchUp
	largestFrame         int // with a value, in bytes
}

// observation is the highest version that anybody received up to a time: a request that begins later may not return
// less.
type observation struct {
	at      time.Duration
	version uint32
}

func newHistory() *history {
	return &history{
		bodies:               map[uint32][]byte{},
		acknowledgedVersions: map[uint32]bool{},
		catchingUp:           map[string]*catchingUp{},
	}
}

// fail notes a breach of what is promised.
func (h *history) fail(format string, args ...any) {
	if h.breach == nil {
		h.breach = fmt.Errorf(format, args...)
	}
}

func (h *history) sent(version uint32, body []byte) { h.bodies[version] = body }

func (h *history) isAcknowledged(version uint32) bool { return h.acknowledgedVersions[version] }

// highestBefore is the highest version that anybody received before a time.
func (h *history) highestBefore(at time.Duration) uint32 {
	i := sort.Search(len(h.observations), func(i int) bool { return h.observations[i].at >= at })
	if i == 0 {
		return 0
	}
	return h.observations[i-1].version
}

func (h *history) observe(version uint32, at time.Duration) {
	if n := len(h.observations); n == 0 || version > h.observations[n-1].version {
		h.observations = append(h.observations, observation{at: at, version: version})
	}
}

// check compares a version that somebody received with what others received before the request began.
func (h *history) check(who string, version uint32, body []byte, began time.Duration) {
	if least := h.highestBefore(began); version < least {
		h.fail("%s received version %d after version %d had been received", who, version, least)
	}
	if version > 0 && !bytes.Equal(body, h.bodies[version]) {
		h.fail("%s received version %d with another content than was sent", who, version)
	}
}

// read takes in the result of a read.
func (h *history) read(version uint32, body []byte, began, now time.Duration) {
	h.reads++
	h.check("a reader", version, body, began)
	h.observe(version, now)
}

// acknowledged takes in the result of a change, with the newest value at that time.
func (h *history) acknowledged(version, newest uint32, body []byte, began, now time.Duration) {
	h.check("an operator", newest, body, began)
	if newest < version {
		h.fail("version %d is acknowledged, and the newest is %d", version, newest)
	}
	h.acknowledgedVersions[version] = true
	h.observe(newest, now)
	for _, c := range h.catchingUp {
		c.changesSince++
	}
}

// inForce takes in what a machine publishes to its sidecars as the newest of a time.
func (h *history) inForce(machine string, version uint32, body []byte, asOf, now time.Duration) {
	h.check("a sidecar below "+machine, version, body, asOf)
	h.observe(version, now)
	if c := h.catchingUp[machine]; c != nil && version >= c.wantedVersion {
		c.published = true
	}
}
