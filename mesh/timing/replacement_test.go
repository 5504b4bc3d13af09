package timing

import (
	"testing"
	"time"
)

// maxMembers is the number of members in a group with a tolerance of two.
const maxMembers = 5

// For every value of syncS, the repair of one loss is complete before the next loss is allowed.
func TestRepairEndsWithinSync(t *testing.T) {
	for sync := 2 * time.Second; sync <= 30*time.Second; sync += 100 * time.Millisecond {
		r := NewReplacement(sync, 6*time.Second)
		if r.MaxRepairTime(maxMembers) >= sync {
			t.Errorf("syncS %v: a repair takes %v", sync, r.MaxRepairTime(maxMembers))
		}
		change := r.CheckInterval + r.ChangeTimeout + r.CopyTimeout
		if r.ObservationPeriod+change >= sync || r.Lease.StartupDelay+r.Lease.MaxVacancy(maxMembers)+change >= sync {
			t.Errorf("syncS %v: after a restart of all, a repair takes too long", sync)
		}
		if r.MinChangeInterval > sync+r.DetectionTimeout-(sync-r.ChangeTimeout-r.CopyTimeout) {
			t.Errorf("syncS %v: the minimum interval between changes, %v, delays the next repair", sync, r.MinChangeInterval)
		}
	}
}

// The time-outs of the steps of a replacement fit into each other.
func TestReplacementTimeoutsAreOrdered(t *testing.T) {
	for sync := 2 * time.Second; sync <= 30*time.Second; sync += 100 * time.Millisecond {
		r := NewReplacement(sync, 6*time.Second)
		for _, c := range []struct {
			name       string
			less, than time.Duration
		}{
			{"three hellos fit into the detection timeout", 3 * r.HelloInterval, r.DetectionTimeout},
			{"a healthy machine is in contact in time to become a member", r.HelloInterval, r.MaxContactAge},
			{"a change has room for a phase and a backoff of each round", 2 * (r.PhaseTimeout + maxBackoff), r.ChangeTimeout},
			{"a holder stops before votes expire", r.Lease.LeaseDuration + r.Lease.VoteDuration/10, r.Lease.VoteDuration},
			{"a holder renews twice before it stops", 2 * r.Lease.RenewInterval, r.Lease.LeaseDuration},
			{"a machine decides only after it could have had contact with all others", r.DetectionTimeout, r.ObservationPeriod},
			{"a departure ends before the kill", r.DepartureTimeout, 6 * time.Second},
		} {
			if c.less >= c.than {
				t.Errorf("syncS %v: %s: %v is not below %v", sync, c.name, c.less, c.than)
			}
		}
	}
}

// With the constants used before durations were derived, a repair takes longer than the syncS of 4 s of the users' page, so
// TestRepairEndsWithinSync detects them.
func TestRepairWithFormerConstantsExceedsSync(t *testing.T) {
	former := NewReplacement(4*time.Second, 6*time.Second)
	former.DetectionTimeout, former.ObservationPeriod, former.ChangeTimeout = 4*time.Second, 6*time.Second, 3*time.Second
	if former.MaxRepairTime(maxMembers) < 4*time.Second {
		t.Errorf("with the former constants, a repair takes only %v", former.MaxRepairTime(maxMembers))
	}
}

// For any vote duration, a holder stops acting on the lease before any vote for it expires, and renews it twice before that.
func TestLeaseDurationsAreOrdered(t *testing.T) {
	for voteDuration := 100 * time.Millisecond; voteDuration <= 10*time.Second; voteDuration += 100 * time.Millisecond {
		l := NewLease(voteDuration)
		if l.LeaseDuration+voteDuration/10 >= l.VoteDuration {
			t.Errorf("vote duration %v: a lease lasts %v", voteDuration, l.LeaseDuration)
		}
		if 2*l.RenewInterval >= l.LeaseDuration {
			t.Errorf("vote duration %v: a holder renews every %v", voteDuration, l.RenewInterval)
		}
		if l.StartupDelay < l.VoteDuration {
			t.Errorf("vote duration %v: a machine votes %v after its start, and may have voted before", voteDuration, l.StartupDelay)
		}
	}
}

// For each tolerance up to four, whose group has nine members, a repair ends before the next loss is allowed. For larger tolerances, the
// inequality repair_within_sync reports values of syncS that are too short.
func TestRepairIsBoundedForLargerGroups(t *testing.T) {
	for tolerance := 1; tolerance <= 4; tolerance++ {
		for sync := 2 * time.Second; sync <= 10*time.Second; sync += 100 * time.Millisecond {
			r := NewReplacement(sync, 6*time.Second)
			if repair := r.MaxRepairTime(groupSize(tolerance)); repair > sync {
				t.Errorf("tolerance %d, syncS %v: a repair takes %v", tolerance, sync, repair)
			}
		}
	}
}
