// Package timing derives the durations that the guarantees of the mesh depend on: time-outs, intervals and windows of the control plane and
// the data plane. They are computed from the bounds in a deployment's settings (bootstrap.Bounds), and from the longest times that
// messages, disks and processes of a healthy machine may take (Environment). The planes pass each decision package its part.
//
// A duration that a guarantee depends on is derived here and nowhere else. lab/durations lists the constants that remain in other packages,
// each with its reason. Inequalities lists the conditions that the derived durations have to meet, as the proofs in docs/design use them.
// If the settings of a deployment do not allow one of them, the nearest values are used, and Durations.Conflicts names it.
//
// The package only computes: it has no clock and no state. All values are time.Durations.
//
// Start reading at New.
package timing

import (
	"time"

	"firplank/mesh/bootstrap"
)

// Settings are the settings that durations are derived from.
type Settings struct {
	Bounds bootstrap.Bounds
	// ServerHeartbeat is the interval of the servers' heartbeats (beatS).
	ServerHeartbeat time.Duration
	// Tolerance is the number of control machines that may be lost at the same time.
	Tolerance int
}

// Environment holds the longest delays on a healthy machine. The derived durations allow for them. Time-outs that grow handle longer delays
// (Register.MaxPhaseTimeout, Lease.MaxVoteTimeout).
type Environment struct {
	RoundTrip  time.Duration // of a message between any two machines and its reply
	DiskSync   time.Duration
	Scheduling time.Duration // delay until a runnable process runs
}

// AssumedEnvironment returns the slowest environment for which the Inequalities hold: zones with a one-way delay of 40 ms, and disks that
// take 40 ms for a sync.
func AssumedEnvironment() Environment {
	return Environment{RoundTrip: 80 * time.Millisecond, DiskSync: 40 * time.Millisecond, Scheduling: 10 * time.Millisecond}
}

// Round returns how long a round of the register with a read, a prepare and an accept phase takes.
func (e Environment) Round() time.Duration {
	return 3*(e.RoundTrip+e.Scheduling) + 2*e.DiskSync
}

// Durations are all derived durations of a deployment.
type Durations struct {
	Dissemination Dissemination
	Subscription  Subscription
	Sidecars      Sidecars
	Peers         Peers
	Register      Register
	Operations    Operations
	Replacement   Replacement
	Shutdown      Shutdown
	Server        Server
	Rollouts      Rollouts
	Tombstones    Tombstones
	// Conflicts are the inequalities that the settings do not allow. They are reported, and the nearest values are used.
	Conflicts []Conflict
}

// New derives the durations of a deployment.
func New(s Settings) Durations {
	b := &s.Bounds
	d := Durations{
		Dissemination: newDissemination(b),
		Sidecars:      newSidecars(),
		Peers:         newPeers(b),
		Operations:    newOperations(b),
		Replacement:   NewReplacement(b.RejoinTime, b.Grace),
		Shutdown:      newShutdown(b.Grace),
		Server:        newServer(b, s.ServerHeartbeat),
		Rollouts:      newRollouts(b),
		Tombstones:    newTombstones(AssumedEnvironment()),
	}
	d.Subscription = newSubscription(b)
	d.Register = newRegister(b, &d.Replacement)
	for _, i := range Inequalities(s, &d, AssumedEnvironment()) {
		if !i.Holds() {
			d.Conflicts = append(d.Conflicts, i.conflict())
		}
	}
	return d
}

// FromSettings derives the durations of a process from its settings.
func FromSettings(s *bootstrap.Settings) Durations {
	return New(Settings{
		Bounds:          s.Bounds,
		ServerHeartbeat: time.Duration(s.HeartbeatIntervalS * float64(time.Second)),
		Tolerance:       s.Tolerance.Members(),
	})
}

// Default derives the durations for the default bounds.
func Default() Durations { return DefaultWith(func(*bootstrap.Bounds) {}) }

// DefaultWith derives the durations for the default bounds as modified by change.
func DefaultWith(change func(*bootstrap.Bounds)) Durations {
	bounds := bootstrap.DefaultBounds()
	change(&bounds)
	return New(Settings{Bounds: bounds, ServerHeartbeat: defaultServerHeartbeat, Tolerance: 1})
}

// DefaultInForce derives the durations for the default bounds except for inForceS.
func DefaultInForce(inForce time.Duration) Durations {
	return DefaultWith(func(b *bootstrap.Bounds) { b.InForce = inForce })
}

// defaultServerHeartbeat is the servers' heartbeat interval in the examples of the users' page.
const defaultServerHeartbeat = 1500 * time.Millisecond

// interpolation maps a range of a bound to a range of a derived duration.
type interpolation struct {
	minBound, maxBound     time.Duration // range of the bound
	atMinBound, atMaxBound time.Duration // duration at the ends of that range
}

// at interpolates linearly between the ends of the range. Beyond them the duration does not change: with a shorter one, delays of the
// Environment would be mistaken for failures, and a longer one would make repairs slower than necessary.
func (s interpolation) at(bound time.Duration) time.Duration {
	bound = min(max(bound, s.minBound), s.maxBound)
	fraction := float64(bound-s.minBound) / float64(s.maxBound-s.minBound)
	return s.atMinBound + time.Duration(fraction*float64(s.atMaxBound-s.atMinBound))
}
