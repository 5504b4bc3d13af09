package codec

import (
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/dissemination"
	"firplank/mesh/wire"
)

// UpdateToFrame returns the frame of an update that is sent at now. packed is the packed configuration of the update's
// version, which is sent if the update has FullText set.
func UpdateToFrame(u *dissemination.Update, packed []byte, now time.Duration) *wire.FrameT {
	f := &wire.FrameT{
		Kind:     wire.Update,
		Id:       u.Nonce,
		Version:  u.Version.Optional(),
		AgeMs:    unknownAge,
		Deltas:   deltasToWire(u.Deltas),
		Entries:  EntriesToWire(u.Entries, now),
		Machines: MachinesToWire(u.ControlMachines, now),
	}
	if u.AsOf != dissemination.TimeUnknown {
		f.AgeMs = max(1, milliseconds(now-u.AsOf)) // 0 would not be encoded, so that wire.AddAge could not add to it
	}
	if u.Rollouts != nil {
		f.Rollouts, f.RolloutRevision = rolloutsToWire(*u.Rollouts), u.Rollouts.Revision
	}
	if u.FullText {
		f.Value = &wire.ValueT{Version: u.Version.Optional(), Body: packed}
	}
	return f
}

// AsOfFromFrame returns the time at which the version of an update, received at now, was known to be the newest. It may be
// before the start of this process. It is dissemination.TimeUnknown if the update does not contain it.
func AsOfFromFrame(f *wire.FrameT, now time.Duration) time.Duration {
	if f.AgeMs == unknownAge {
		return dissemination.TimeUnknown
	}
	return timeFromAge(now, f.AgeMs)
}

func deltasToWire(deltas []dissemination.Delta) []*wire.DeltaT {
	var converted []*wire.DeltaT
	for _, d := range deltas {
		converted = append(converted, &wire.DeltaT{Base: d.Base.Number(), Version: d.Version.Number(), Bytes: d.Bytes})
	}
	return converted
}

// DeltasFromFrame returns the deltas in an update's frame.
func DeltasFromFrame(f *wire.FrameT) []dissemination.Delta {
	var deltas []dissemination.Delta
	for _, d := range f.Deltas {
		deltas = append(deltas, dissemination.Delta{Base: configversion.Of(d.Base), Version: configversion.Of(d.Version), Bytes: d.Bytes})
	}
	return deltas
}

// AckFromFrame returns the acknowledgement in a frame of kind wire.Subscribe or wire.Report.
func AckFromFrame(f *wire.FrameT) dissemination.Ack {
	return dissemination.Ack{
		Nonce:         f.Id,
		Version:       configversion.FromOptional(f.Version),
		LowestInForce: configversion.FromOptional(f.LowestVersion),
	}
}

// SetAck sets the acknowledgement in a frame of kind wire.Subscribe or wire.Report, and returns the frame.
func SetAck(f *wire.FrameT, a dissemination.Ack) *wire.FrameT {
	f.Id, f.Version, f.LowestVersion = a.Nonce, a.Version.Optional(), a.LowestInForce.Optional()
	return f
}

// MachinesToWire converts control machines that are sent at now.
func MachinesToWire(machines []dissemination.ControlMachine, now time.Duration) []*wire.MachineT {
	var converted []*wire.MachineT
	for _, m := range machines {
		converted = append(converted, &wire.MachineT{Addr: m.Addr, Zone: m.Zone, AgeMs: milliseconds(now - m.LastSeen)})
	}
	return converted
}

// MachinesFromWire converts control machines that were received at now.
func MachinesFromWire(received []*wire.MachineT, now time.Duration) []dissemination.ControlMachine {
	var machines []dissemination.ControlMachine
	for _, m := range received {
		machines = append(machines, dissemination.ControlMachine{Addr: m.Addr, Zone: m.Zone, LastSeen: timeFromAge(now, m.AgeMs)})
	}
	return machines
}
