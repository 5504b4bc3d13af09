package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"firplank/mesh/configversion"
)

// This file judges configuration changes: acknowledgements, rejections and reads.

// sentChange counts a change that an operator begins to send.
func (j *Judge) sentChange() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Changes++
}

// Acknowledged records the acknowledgement of a change that was first sent at began.
func (j *Judge) Acknowledged(at, began time.Duration, c change) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Acknowledged++
	if before, ok := j.acked[c.version]; ok && before.content != c.content {
		j.report(at, "CONFIG", "version %v is acknowledged with two contents, %s and %s", c.version, before.content, c.content)
	}
	if _, ok := j.acked[c.version]; !ok {
		j.acked[c.version] = ack{c.content, at}
	}
	j.newest = max(j.newest, c.version)
	if at-began > receipt+timingSlack && j.faultFree(began+inTouch, at) {
		j.report(at, "ACKS", "version %v is acknowledged after %v", c.version, at-began)
	}
}

// Conflict records that a machine rejected a change because its version has another content.
func (j *Judge) Conflict(at time.Duration, c change, machine string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a, ok := j.acked[c.version]; ok && a.content == c.content {
		j.report(at, "CONFIG", "version %v content %s was acknowledged, and is refused by %s", c.version, c.content, machine)
	}
}

// Read records the configuration that a control machine returned to a read. It must be at least as new as every version that was
// acknowledged more than inForce before the read was sent.
func (j *Judge) Read(sent, at time.Duration, machine string, version configversion.Version, text []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Reads++
	for v, a := range j.acked {
		if v > version && sent > a.at+inForce {
			j.report(at, "CONFIG", "machine %s reads version %v at %v, and %v was acknowledged at %v", machine, version, sent, v, a.at)
			return
		}
	}
	if a, ok := j.acked[version]; ok {
		sum := sha256.Sum256(text)
		if content := hex.EncodeToString(sum[:8]); content != a.content {
			j.report(at, "CONFIG", "machine %s reads content %s of version %v, and %s was acknowledged", machine, content, version, a.content)
		}
	}
}

// Newest returns the highest version that was acknowledged, or None.
func (j *Judge) Newest() configversion.Version {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.newest
}
