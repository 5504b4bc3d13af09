package codec

import (
	"encoding/binary"

	"firplank/mesh/configversion"
	"firplank/mesh/register"
	"firplank/mesh/wire"
)

// versionSize is the size of a record's version in bytes. The hash of the content follows it.
const versionSize = 4

// recordsToWire packs a history's records. Each takes register.RecordSize bytes: the version, little endian, and the
// hash of the content.
func recordsToWire(records []register.Record) []byte {
	if len(records) == 0 {
		return nil
	}
	packed := make([]byte, 0, len(records)*register.RecordSize)
	for _, r := range records {
		packed = binary.LittleEndian.AppendUint32(packed, r.Version.Number())
		packed = append(packed, r.Content[:]...)
	}
	return packed
}

// historyFromWire returns a value's history, with at most register.MaxRecords records. A value without records was
// written by a release without histories. The contents of its own version and of earlier ones are unknown, so that its
// version is the floor.
func historyFromWire(v *wire.ValueT) register.History {
	floor := configversion.FromOptional(v.Floor)
	if len(v.Records) == 0 {
		return register.History{Floor: max(floor, configversion.FromOptional(v.Version))}
	}
	n := min(len(v.Records)/register.RecordSize, register.MaxRecords)
	records := make([]register.Record, n)
	for i := range records {
		packed := v.Records[i*register.RecordSize:]
		records[i].Version = configversion.Of(binary.LittleEndian.Uint32(packed))
		copy(records[i].Content[:], packed[versionSize:register.RecordSize])
	}
	return register.History{Floor: floor, Records: records}
}
