package fleet

import (
	"encoding/binary"
	"errors"
	"math"
)

// The header of a datagram, big-endian:
//
//	"fl", protocol version 1, flags (0)
//	members, from, to                     2 bytes each
//	the sender's incarnation              8 bytes
//	sequence number                       4 bytes
//	hash of the sender's versions         4 bytes
//	acknowledgement                       4 bytes: version of the receiver's heartbeat that the sender had when it published
//	acknowledged incarnation              2 bytes: of that heartbeat, without the random bits
//	unreported requests                   2 bytes: bound for the receiver's former incarnations, see encodeUnreported
//
// Then follow parts, each with a byte of its kind:
//
//	update: member, topic and version as varints, the incarnation in 8 bytes, a byte of length, the value
//	digest: the first member as a varint, a byte of count, and for each member 2 bytes of the incarnation, 4 of the sum of
//	versions, 2 of their hash
const (
	headerSize       = 34
	digestSize       = 8
	maxDigestMembers = 12 // members

	partUpdate = 1
	partDigest = 2

	maxUpdateHeader = 1 + 3 + 3 + 5 + 8 + 1 // maximum length
)

// maxValueSize is the length of the longest value, the history of a cell.
const maxValueSize = 8 + 7*7 + maxFormerIncarnations*(8+5+7*7)

// An update with the longest value fits a datagram: otherwise this does not compile.
var _ [MaxDatagramSize - headerSize - maxUpdateHeader - maxValueSize]struct{}

type header struct {
	members, from, to int
	inc               Incarnation
	seq, sum, ack     uint32
	ackInc            uint16
	formerUnreported  uint16 // bound for the receiver's former incarnations, as a step
}

func (h *header) append(b []byte) []byte {
	b = append(b, 'f', 'l', 1, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(h.members))
	b = binary.BigEndian.AppendUint16(b, uint16(h.from))
	b = binary.BigEndian.AppendUint16(b, uint16(h.to))
	b = binary.BigEndian.AppendUint64(b, uint64(h.inc))
	b = binary.BigEndian.AppendUint32(b, h.seq)
	b = binary.BigEndian.AppendUint32(b, h.sum)
	b = binary.BigEndian.AppendUint32(b, h.ack)
	b = binary.BigEndian.AppendUint16(b, h.ackInc)
	return binary.BigEndian.AppendUint16(b, h.formerUnreported)
}

// unreportedUnknown is the step that stands for no known bound.
const unreportedUnknown = 1<<16 - 1

// encodeUnreported returns a step that stands for at least that many requests; unreportedUnknown if none does. Steps are one request
// each up to 512, and coarser beyond.
func encodeUnreported(requests uint64) uint16 {
	step := 0
	for step < unreportedUnknown && decodeUnreported(uint16(step)) < requests {
		step += max(1, step/512)
	}
	return uint16(min(step, unreportedUnknown))
}

// decodeUnreported returns the number of requests that a step stands for.
func decodeUnreported(step uint16) uint64 {
	if step < 512 {
		return uint64(step)
	}
	return uint64(512 * math.Exp(float64(step-512)/2048))
}

var errMalformed = errors.New("fleet: malformed datagram")

// parsedDatagram is a decoded datagram. The values alias its bytes.
type parsedDatagram struct {
	header
	updates []update
	digests []digest
}

type digest struct {
	member     int
	inc        uint16
	versionSum uint32
	hash       uint16
}

// parse decodes a datagram for a fleet of so many members, with so many topics for an incarnation. Its input is untrusted.
func parse(b []byte, members, topics int) (*parsedDatagram, error) {
	if len(b) < headerSize || len(b) > MaxDatagramSize || b[0] != 'f' || b[1] != 'l' || b[2] != 1 {
		return nil, errMalformed
	}
	p := &parsedDatagram{header: header{
		members: int(binary.BigEndian.Uint16(b[4:])), from: int(binary.BigEndian.Uint16(b[6:])), to: int(binary.BigEndian.Uint16(b[8:])),
		inc: Incarnation(binary.BigEndian.Uint64(b[10:])), seq: binary.BigEndian.Uint32(b[18:]), sum: binary.BigEndian.Uint32(b[22:]),
		ack: binary.BigEndian.Uint32(b[26:]), ackInc: binary.BigEndian.Uint16(b[30:]), formerUnreported: binary.BigEndian.Uint16(b[32:]),
	}}
	if p.members != members || p.from >= members || p.to >= members || p.inc == 0 {
		return nil, errMalformed
	}
	var err error
	for b = b[headerSize:]; len(b) > 0; {
		kind := b[0]
		b = b[1:]
		switch kind {
		case partUpdate:
			b, err = p.parseUpdate(b, members, topics)
		case partDigest:
			b, err = p.parseDigests(b, members)
		default:
			err = errMalformed
		}
		if err != nil {
			return nil, err
		}
	}
	return p, nil
}

// parseUpdate decodes an update at the start of b and returns the bytes after it.
func (p *parsedDatagram) parseUpdate(b []byte, members, topics int) (rest []byte, err error) {
	var u update
	for _, f := range []struct {
		to  *int
		max uint64
	}{{&u.member, uint64(members - 1)}, {&u.topic, uint64(topics - 1)}} {
		v, n := binary.Uvarint(b)
		if n <= 0 || v > f.max {
			return nil, errMalformed
		}
		*f.to, b = int(v), b[n:]
	}
	v, n := binary.Uvarint(b)
	if n <= 0 || v == 0 || v > math.MaxUint32 || len(b) < n+9 {
		return nil, errMalformed
	}
	u.version = uint32(v)
	u.inc = Incarnation(binary.BigEndian.Uint64(b[n:]))
	size := int(b[n+8])
	if b = b[n+9:]; size > maxValueSize || size > len(b) || u.inc == 0 {
		return nil, errMalformed
	}
	u.value, b = b[:size], b[size:]
	if !validValue(&u, topics) {
		return nil, errMalformed
	}
	p.updates = append(p.updates, u)
	return b, nil
}

// parseDigests decodes the digests of consecutive members at the start of b and returns the bytes after them.
func (p *parsedDatagram) parseDigests(b []byte, members int) (rest []byte, err error) {
	first, n := binary.Uvarint(b)
	if n <= 0 || len(b) <= n || first >= uint64(members) {
		return nil, errMalformed
	}
	count := int(b[n])
	if b = b[n+1:]; count > maxDigestMembers || int(first)+count > members || len(b) < count*digestSize {
		return nil, errMalformed
	}
	for i := range count {
		p.digests = append(p.digests, digest{
			int(first) + i, binary.BigEndian.Uint16(b), binary.BigEndian.Uint32(b[2:]), binary.BigEndian.Uint16(b[6:]),
		})
		b = b[digestSize:]
	}
	return b, nil
}

// validValue reports whether a value is valid for its topic.
func validValue(u *update, topics int) (ok bool) {
	switch {
	case u.topic == 0:
		_, ok = decodeHeartbeat(u.value)
	case u.topic <= (topics-1)/2:
		_, ok = decodeCounts(u.value)
	default:
		_, ok = decodeHistory(u.value)
	}
	return ok
}

// appendUpdate adds an update if it fits the datagram, and reports whether it did.
func appendUpdate(b []byte, u *update) ([]byte, bool) {
	if len(b)+maxUpdateHeader+len(u.value) > MaxDatagramSize {
		return b, false
	}
	b = append(b, partUpdate)
	b = binary.AppendUvarint(b, uint64(u.member))
	b = binary.AppendUvarint(b, uint64(u.topic))
	b = binary.AppendUvarint(b, uint64(u.version))
	b = binary.BigEndian.AppendUint64(b, uint64(u.inc))
	b = append(b, byte(len(u.value)))
	return append(b, u.value...), true
}
