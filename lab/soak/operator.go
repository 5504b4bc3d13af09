package soak

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"firplank/lab/mesh"
	"firplank/mesh/configversion"
)

// change is a configuration that an operator sends under a version. content is the start of the text's SHA-256 in hex.
type change struct {
	version configversion.Version
	text    []byte
	content string
}

func newChange(version configversion.Version, comment string) change {
	text := configuration(version, comment)
	sum := sha256.Sum256(text)
	return change{version, text, hex.EncodeToString(sum[:8])}
}

// operator sends changes, and records all that were sent.
type operator struct {
	run *run

	mu             sync.Mutex
	lastVersion    configversion.Version              // highest version that was sent; None: none was
	contents       map[configversion.Version][]change // all changes that were sent, by version
	unacknowledged map[string]bool                    // by content, of the changes that were sent
}

func newOperator(r *run) *operator {
	return &operator{run: r, contents: map[configversion.Version][]change{}, unacknowledged: map[string]bool{}}
}

// next returns a change with the next version, from the lowest one on.
func (o *operator) next(comment string) change {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastVersion++
	return o.recordLocked(newChange(o.lastVersion, comment))
}

// conflictingChange returns a change with another content under the same version.
func (o *operator) conflictingChange(version configversion.Version) change {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.recordLocked(newChange(version, "rival"))
}

func (o *operator) recordLocked(c change) change {
	o.contents[c.version] = append(o.contents[c.version], c)
	o.unacknowledged[c.content] = true
	return c
}

// operatorRetryDelay is the delay between two attempts to send a change.
const operatorRetryDelay = 200 * time.Millisecond

// send sends a change to one control machine after the other until it has a definite answer or ctx ends. It reports whether the change was
// acknowledged.
func (o *operator) send(ctx context.Context, c change, firstMachine int) bool {
	r := o.run
	began := r.now()
	r.judge.sentChange()
	for i := firstMachine; ctx.Err() == nil; i++ {
		x := r.mesh.Core[i%len(r.mesh.Core)]
		status, err := x.Put(c.text)
		switch {
		case err != nil:
		case status == http.StatusOK:
			o.acknowledged(c)
			r.judge.Acknowledged(r.now(), began, c)
			r.log.Event(r.now(), "acknowledged", "version %v content %s by %s", c.version, c.content, x.Name)
			return true
		case status == http.StatusConflict:
			r.judge.Conflict(r.now(), c, x.Name)
			return false
		case status == http.StatusBadRequest:
			r.judge.Report(r.now(), "CONFIG", "version %v is refused as invalid by %s", c.version, x.Name)
			return false
		}
		sleep(ctx, operatorRetryDelay)
	}
	return false
}

func (o *operator) acknowledged(c change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.unacknowledged, c.content)
}

// sendChanges sends one change after the other, with a pause between them, until ctx ends.
func (o *operator) sendChanges(ctx context.Context, every time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		order, cancel := context.WithTimeout(ctx, recovery)
		o.send(order, o.next(""), n)
		cancel()
		sleep(ctx, every)
	}
}

// readBack reads the configuration from one control machine after the other until ctx ends, and records it with the judge.
func (o *operator) readBack(ctx context.Context, every time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		x := o.run.mesh.Core[n%len(o.run.mesh.Core)]
		sent := o.run.now()
		status, body, err := x.Read()
		if err == nil && status == http.StatusOK {
			o.run.judge.Read(sent, o.run.now(), x.Name, versionOf(body), body)
		}
		sleep(ctx, every)
	}
}

// versionOf returns the version of a configuration, or None if it cannot be parsed.
func versionOf(text []byte) configversion.Version {
	var head struct {
		Version string `json:"edition"`
	}
	if json.Unmarshal(text, &head) != nil {
		return configversion.None
	}
	v, err := strconv.ParseUint(head.Version, 16, 32)
	if err != nil {
		return configversion.None
	}
	return configversion.Of(uint32(v))
}

// wasSent reports whether a text was ever sent under a version.
func (o *operator) wasSent(version configversion.Version, text []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.contents[version] {
		if string(c.text) == string(text) {
			return true
		}
	}
	return false
}

// sendInvalid sends an invalid configuration. An acknowledgement of it is a violation.
func (o *operator) sendInvalid(x *mesh.Machine, variant int) {
	o.mu.Lock()
	version := o.lastVersion + 1
	o.mu.Unlock()
	if status, err := x.Put(invalidConfiguration(version, variant)); err == nil && status == http.StatusOK {
		o.run.judge.Report(o.run.now(), "CONFIG", "an invalid configuration is acknowledged by %s", x.Name)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// String returns a change as it is shown in the event log.
func (c change) String() string { return fmt.Sprintf("version %v content %s", c.version, c.content) }
