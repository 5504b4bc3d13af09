package storage

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"firplank/mesh/codec"
	"firplank/mesh/register"
	"firplank/mesh/wire"
)

// encodeFormat1 returns the record of a state in format 1.
func encodeFormat1(s *register.State) []byte {
	body := wire.EncodeState(codec.StateToWire(s))
	b := binary.LittleEndian.AppendUint64([]byte{format1Version}, xxhash.Sum64(body))
	return append(b, body...)
}
