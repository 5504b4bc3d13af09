package persistence

import (
	"bytes"

	"firplank/internal/invariant"
	"firplank/mesh/persist"
	"firplank/mesh/register"
)

// SetInvariants sets the reporter of violated invariants; without it they are ignored.
func (p *Pipeline) SetInvariants(reporter invariant.Reporter) { p.invariants = reporter }

// checkSent checks that the state on which a voter's reply rests is on disk.
func (p *Pipeline) checkSent(m *register.Message) {
	stated := m.Promised
	switch m.Kind {
	case register.Accepted:
		stated = m.Ballot
	case register.Promise, register.ReadReply, register.RejoinReply:
	default:
		return
	}
	if !m.Voter {
		return
	}
	if stated.Compare(p.onDisk.Promised) > 0 || m.Accepted.Compare(p.onDisk.Accepted) > 0 {
		p.invariants.Violated(invariant.SyncedBeforeSent, "kind", int(m.Kind), "to", m.To, "promised", stated.String(),
			"accepted", m.Accepted.String(), "disk promised", p.onDisk.Promised.String(),
			"disk accepted", p.onDisk.Accepted.String())
	}
}

// checkWritten checks that a voter's state on disk is replaced by none with a lower ballot and by none that is no voter.
func (p *Pipeline) checkWritten(next *register.State) {
	before := &p.onDisk
	if !before.Voter {
		return
	}
	if next.Promised.Compare(before.Promised) < 0 || next.Accepted.Compare(before.Accepted) < 0 || !next.Voter {
		p.invariants.Violated(invariant.DiskMonotonic, "promised", next.Promised.String(), "accepted", next.Accepted.String(),
			"before promised", before.Promised.String(), "before accepted", before.Accepted.String(), "voter", next.Voter)
	}
}

// checkCommitted checks a committed value against the previous one.
func (p *Pipeline) checkCommitted(next *persist.Committed) {
	if !next.Known {
		return
	}
	before := &p.committed
	switch {
	case len(next.Value.Members) == 0:
		p.invariants.Violated(invariant.MembersKnown, "version", next.Value.Version)
	case !before.Known:
	case next.Value.Version < before.Value.Version:
		p.invariants.Violated(invariant.CommittedMonotonic, "version", next.Value.Version, "before", before.Value.Version)
	case next.Value.Version == before.Value.Version && !sameBody(next.Value.Body, before.Value.Body):
		p.invariants.Violated(invariant.OneContentPerVersion, "version", next.Value.Version, "bytes", len(next.Value.Body),
			"before", len(before.Value.Body))
	}
}

// sameBody compares two bodies. Most share their memory, in which case the bytes are not compared.
func sameBody(a, b []byte) bool {
	if len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) {
		return true
	}
	return bytes.Equal(a, b)
}
