package catchup

import (
	"bytes"
	"fmt"
	"sort"
	"time"

	"firplank/mesh/configversion"
)

// history is what operators, readers and sidecars received, and when. It does not depend on ballots, disks or messages.
type history struct {
	bodies               map[configversion.Version][]byte // by version
	acknowledgedVersions map[configversion.Version]bool
	observations         []observation // with rising times and versions
	reads                int
	breach               error // the first one
	catchingUp           map[string]*catchingUp
	catchUp              CatchUp
	largestFrame         int // largest frame with a value, in bytes
}

// observation is the highest version that any client or sidecar received up to a time. A request that begins later must
// not return a lower one.
type observation struct {
	at      time.Duration
	version configversion.Version
}

func newHistory() *history {
	return &history{
		bodies:               map[configversion.Version][]byte{},
		acknowledgedVersions: map[configversion.Version]bool{},
		catchingUp:           map[string]*catchingUp{},
	}
}

// fail records the first breach.
func (h *history) fail(format string, args ...any) {
	if h.breach == nil {
		h.breach = fmt.Errorf(format, args...)
	}
}

func (h *history) sent(version configversion.Version, body []byte) { h.bodies[version] = body }

func (h *history) isAcknowledged(version configversion.Version) bool {
	return h.acknowledgedVersions[version]
}

// highestBefore returns the highest version that any client or sidecar received before a time.
func (h *history) highestBefore(at time.Duration) configversion.Version {
	i := sort.Search(len(h.observations), func(i int) bool { return h.observations[i].at >= at })
	if i == 0 {
		return 0
	}
	return h.observations[i-1].version
}

func (h *history) observe(version configversion.Version, at time.Duration) {
	if n := len(h.observations); n == 0 || version > h.observations[n-1].version {
		h.observations = append(h.observations, observation{at: at, version: version})
	}
}

// check compares a received version with those that were received before the request began, and its content with the sent one.
func (h *history) check(who string, version configversion.Version, body []byte, began time.Duration) {
	if least := h.highestBefore(began); version < least {
		h.fail("%s received version %d after version %d had been received", who, version, least)
	}
	if version > 0 && !bytes.Equal(body, h.bodies[version]) {
		h.fail("%s received version %d with different content than was sent", who, version)
	}
}

// read records the result of a read.
func (h *history) read(version configversion.Version, body []byte, began, now time.Duration) {
	h.reads++
	h.check("a reader", version, body, began)
	h.observe(version, now)
}

// acknowledged records the acknowledgement of a change, with the newest value at that time.
func (h *history) acknowledged(version, newest configversion.Version, body []byte, began, now time.Duration) {
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

// inForce records that a machine publishes a value to its sidecars as the newest one as of a time.
func (h *history) inForce(machine string, version configversion.Version, body []byte, asOf, now time.Duration) {
	h.check("a sidecar below "+machine, version, body, asOf)
	h.observe(version, now)
	if c := h.catchingUp[machine]; c != nil && version >= c.wantedVersion {
		c.published = true
	}
}
