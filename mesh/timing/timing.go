// Package timing derives the durations that the promises of the mesh rest on: time-outs, intervals and windows of both planes. They follow
// from the bounds that a deployment's settings state (bootstrap.Bounds), and from what messages, disks and processes of a machine in order
// may take (Environment). The planes hand each decision package its part.
//
// A duration that a promise rests on is derived here and nowhere else; lab/durations lists the constants that remain in other packages,
// each with its reason. What the derivations have to keep, as the proofs in docs/design use it, is the list of Inequalities. A deployment
// whose settings do not allow one of them is served with the nearest values, and Durations.Conflicts names it.
//
// The package is arithmetic: it has no clock and no state. All values are time.Durations.
//
// Start reading at New.
package timing

import (
	"time"

	"firplank/mesh/bootstrap"
)

// Settings is what durations are derived from.
type Settings struct {
	Bounds bootstrap.Bounds
	// ServerHeartbeat is the interval of the servers' heartbeats (beatS).
	ServerHeartbeat time.Duration
	// Tolerance is how many control machines may be lost at the same time.
	Tolerance int
}

// Environment is what a machine that is in order may experience. The derivations allow for it; what is slower than that is met by time-outs
// that grow (Register.MaxPhase, Lease.MaxVoteTimeout).
type Environment struct {
	RoundTrip  time.Duration // of a message between any two machines and its reply
	DiskSync   time.Duration
	Scheduling time.Duration // from when a process should run until it does
}

// AssumedEnvironment is the slowest one for which the Inequalities hold: zones 40 ms apart, and disks of 40 ms a sync.
func AssumedEnvironment() Environment {
	return Environment{RoundTrip: 80 * time.Millisecond, DiskSync: 40 * time.Millisecond, Scheduling: 10 * time.Millisecond}
}

// Round is how long a round of the register takes that reads, prepares and accepts.
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
	// Conflicts are the inequalities that the settings do not allow. They are reported, and the nearest values are served.
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
		Replacement:   NewReplacement(b.Sync, b.Grace),
		Shutdown:      newShutdown(b.Grace),
		Server:        newServer(b, s.ServerHeartbeat),
		Rollouts:      newRollouts(b),
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

// Default derives the durations of settings that state no bounds.
func Default() Durations { return DefaultWith(func(*bootstrap.Bounds) {}) }

// DefaultWith derives the durations of settings that state no bounds but those that change sets.
func DefaultWith(change func(*bootstrap.Bounds)) Durations {
	bounds := bootstrap.DefaultBounds()
	change(&bounds)
	return New(Settings{Bounds: bounds, ServerHeartbeat: defaultServerHeartbeat, Tolerance: 1})
}

// DefaultInForce derives the durations of settings that state no bounds but inForceS.
func DefaultInForce(inForce time.Duration) Durations {
	return DefaultWith(func(b *bootstrap.Bounds) { b.InForce = inForce })
}

// defaultServerHeartbeat is the interval of servers' heartbeats in the examples of the users' page.
const defaultServerHeartbeat = 1500 * time.Millisecond

// span is a range of a bound and the values of a duration at its ends.
type interpolation struct {
	minBound, maxBound     time.Duration // of the bound
	atMinBound, atMaxBound time.Duration // of the duration
}

// at interpolates between the ends of a span. Beyond them the duration does not change: a shorter one would take delays of the Environment
// for failures, and a longer one would make repairs slower than they need to be.
func (s interpolation) at(bound time.Duration) time.Duration {
	bound = min(max(bound, s.minBound), s.maxBound)
	fraction := float64(bound-s.minBound) / float64(s.maxBound-s.minBound)
	return s.atMinBound + time.Duration(fraction*float64(s.atMaxBound-s.atMinBound))
}
