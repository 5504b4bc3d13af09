package bootstrap

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Bounds are the bounds of the users' rules. parseBounds maps their names in the settings file to the fields. Those that the settings leave
// out have the values of DefaultBounds.
type Bounds struct {
	// SettleTime is how long a machine has to be undisturbed before rules with a time bound apply to it.
	SettleTime time.Duration
	// AckTime is the time within which a configuration has to be acknowledged.
	AckTime time.Duration
	// RejoinTime is how long a machine still counts as lost after it has returned.
	RejoinTime time.Duration
	// DrainTime is how long a server that shuts down still serves requests after its shutdown was acknowledged.
	DrainTime time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// InForce is the time within which an acknowledged configuration has to be in force everywhere.
	InForce time.Duration
	// StaleConfigTime is how long a sidecar may still use an older configuration after it has used a newer one.
	StaleConfigTime time.Duration
	// Recovery is the time within which requests have to succeed again after machines have returned.
	Recovery time.Duration
	// AddressReuse is how long the address of a stopped server stays unused.
	AddressReuse time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries in each RetryWindow: RetryRatio times the requests, plus RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ExposureShare is the share of a service's requests that a bad version may get during its rollout, and ExposureSlack the number of
	// requests that it may get in addition.
	ExposureShare, ExposureSlack float64
	// Recall is the time within which requests to a bad version have to cease.
	Recall time.Duration
}

// maxBound is the exclusive upper limit of each value in the settings file.
const maxBound = 1e6

// DefaultBounds returns the bounds for settings that state none.
func DefaultBounds() Bounds {
	return Bounds{
		SettleTime:      3 * time.Second,
		AckTime:         5 * time.Second,
		RejoinTime:      4 * time.Second,
		DrainTime:       2500 * time.Millisecond,
		Grace:           6 * time.Second,
		InForce:         2500 * time.Millisecond,
		StaleConfigTime: 250 * time.Millisecond,
		Recovery:        15 * time.Second,
		AddressReuse:    2 * time.Second,
		RetryRatio:      0.2,
		RetrySlack:      0,
		RetryWindow:     10 * time.Second,
		ExposureShare:   0.1,
		ExposureSlack:   50,
		Recall:          5 * time.Second,
	}
}

// parseBounds parses bounds of the form "name=value", with times in seconds. Unknown names are ignored; a known one may occur once.
func parseBounds(entries []string) (Bounds, error) {
	b := DefaultBounds()
	durations := map[string]*time.Duration{
		"inTouchS":      &b.SettleTime,
		"receiptS":      &b.AckTime,
		"syncS":         &b.RejoinTime,
		"lastPostS":     &b.DrainTime,
		"graceS":        &b.Grace,
		"inForceS":      &b.InForce,
		"backSlackS":    &b.StaleConfigTime,
		"recoveryS":     &b.Recovery,
		"addressReuseS": &b.AddressReuse,
		"retryWindowS":  &b.RetryWindow,
		"recallS":       &b.Recall,
	}
	numbers := map[string]*float64{
		"retryRatio":    &b.RetryRatio,
		"retrySlack":    &b.RetrySlack,
		"exposureShare": &b.ExposureShare,
		"exposureSlack": &b.ExposureSlack,
	}
	seen := map[string]bool{}
	for i, entry := range entries {
		name, valueText, _ := strings.Cut(entry, "=")
		duration, number := durations[name], numbers[name]
		if duration == nil && number == nil {
			continue
		}
		if seen[name] {
			return b, errors.Wrapf(ErrDuplicateBound, "bounds[%d]: %q", i, name)
		}
		seen[name] = true
		value, err := strconv.ParseFloat(valueText, 64)
		switch {
		case err != nil || !(value >= 0 && value < maxBound):
			return b, errors.Errorf("bounds[%d]: %q does not contain a valid value: a number of 0 or more", i, entry)
		case duration != nil:
			*duration = time.Duration(value * float64(time.Second))
		default:
			*number = value
		}
	}
	return b, nil
}
