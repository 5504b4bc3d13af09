package bootstrap

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Bounds are the figures of the users' rules, by their names there. Those that the settings leave out have the values of DefaultBounds.
type Bounds struct {
	// InTouch is how long a machine has to be undisturbed until rules with a time bound hold for it.
	InTouch time.Duration
	// Receipt is the time in which a configuration has to be acknowledged.
	Receipt time.Duration
	// Sync is how long a machine that has returned still counts as lost.
	Sync time.Duration
	// LastPost is how long a server that shuts down serves on after the acknowledgement.
	LastPost time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// InForce is the time in which an acknowledged configuration has to be in force everywhere.
	InForce time.Duration
	// BackSlack is how long a sidecar may still use an older configuration after it has used a newer one.
	BackSlack time.Duration
	// Recovery is the time in which requests succeed again after machines have returned.
	Recovery time.Duration
	// AddressReuse is how long the address of a server that has ended stays unused.
	AddressReuse time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries: RetryRatio times the requests, and RetrySlack more, in each RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ExposureShare is the share of a service's requests that a bad version may get while it is rolled out, and ExposureSlack how many more.
	ExposureShare, ExposureSlack float64
	// Recall is the time in which requests to a bad version have to cease.
	Recall time.Duration
}

// maxBound is the exclusive upper limit of each value in the settings file.
const maxBound = 1e6

// DefaultBounds returns the bounds of settings that state none.
func DefaultBounds() Bounds {
	return Bounds{
		InTouch:       3 * time.Second,
		Receipt:       5 * time.Second,
		Sync:          4 * time.Second,
		LastPost:      2500 * time.Millisecond,
		Grace:         6 * time.Second,
		InForce:       2500 * time.Millisecond,
		BackSlack:     250 * time.Millisecond,
		Recovery:      15 * time.Second,
		AddressReuse:  2 * time.Second,
		RetryRatio:    0.2,
		RetrySlack:    0,
		RetryWindow:   10 * time.Second,
		ExposureShare: 0.1,
		ExposureSlack: 50,
		Recall:        5 * time.Second,
	}
}

// parseBounds parses bounds of the form "name=value", with times in seconds. Unknown names are ignored.
func parseBounds(entries []string) (Bounds, error) {
	b := DefaultBounds()
	durations := map[string]*time.Duration{
		"inTouchS":      &b.InTouch,
		"receiptS":      &b.Receipt,
		"syncS":         &b.Sync,
		"lastPostS":     &b.LastPost,
		"graceS":        &b.Grace,
		"inForceS":      &b.InForce,
		"backSlackS":    &b.BackSlack,
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
	for i, entry := range entries {
		name, valueText, _ := strings.Cut(entry, "=")
		duration, number := durations[name], numbers[name]
		if duration == nil && number == nil {
			continue
		}
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
