// Package collectd encodes readings in collectd's two protocols: the binary protocol of its network plugin, whose packets may
// be signed or encrypted, and the plain text protocol of its Unix socket. It owns the identifiers, the types and the encoding;
// it does no I/O.
//
// A row of a family is one value list: HOST/firplank-LABEL/firplank_FAMILY-LABEL2. Counters have the type DERIVE with a minimum
// of 0, so that a restart from 0 shows no spike; gauges have the type GAUGE. TypesDB returns the lines for collectd's types.db;
// seal.go has signing and encryption. Start reading at Encoder.
package collectd

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"firplank/report"
)

// Type is a collectd data source type.
type Type uint8

// The types, with their numbers in the protocol.
const (
	Counter Type = iota
	Gauge
	Derive
	Absolute
)

// Value is one value: Gauge is used with the type Gauge, Int with the others.
type Value struct {
	Type  Type
	Int   int64
	Gauge float64
}

// ValueList holds the values of one identifier at one time.
type ValueList struct {
	Host, Plugin, PluginInstance, Type, TypeInstance string

	Time     time.Time
	Interval time.Duration
	Values   []Value
}

// The types of a packet's parts.
const (
	partHost           = 0x0000
	partPlugin         = 0x0002
	partPluginInstance = 0x0003
	partType           = 0x0004
	partTypeInstance   = 0x0005
	partValues         = 0x0006
	partTimeHR         = 0x0008
	partIntervalHR     = 0x0009
	partSignature      = 0x0200
	partEncryption     = 0x0210
)

// The plugin of all identifiers, and the limit of each of their fields, of which receivers before 5.6 keep 63 bytes.
const (
	pluginName    = "firplank"
	maxFieldBytes = 63
)

// lateSuffix ends the identifiers of late values if they are kept apart. No escaped name ends in it.
const lateSuffix = "%late"

// ValueLists returns a value list for each row of a reading. Receivers reject a value that is older than the identifier's last
// one, so late values can have identifiers of their own.
func ValueLists(host string, interval time.Duration, r *report.Reading, late bool) []ValueList {
	lists := make([]ValueList, 0, len(r.Rows))
	for i := range r.Rows {
		row := &r.Rows[i]
		l := ValueList{Host: host, Plugin: pluginName, Type: TypeName(row.Family), Time: r.End, Interval: interval}
		if len(row.Labels) > 0 {
			l.PluginInstance = report.Escape(row.Labels[0], maxFieldBytes)
		}
		if len(row.Labels) > 1 {
			l.TypeInstance = report.Escape(row.Labels[1], maxFieldBytes-len(lateSuffix))
		}
		if late {
			l.TypeInstance += lateSuffix
		}
		for _, total := range row.Totals {
			l.Values = append(l.Values, Value{Type: Derive, Int: total})
		}
		for _, g := range row.Gauges {
			l.Values = append(l.Values, Value{Type: Gauge, Gauge: g})
		}
		lists = append(lists, l)
	}
	return lists
}

// TypeName returns the name of a family's type in types.db.
func TypeName(f *report.Family) string { return "firplank_" + f.Name }

// TypesDB returns the lines that a receiver's types.db needs for the families.
func TypesDB() string {
	var b strings.Builder
	for _, f := range report.Families {
		fmt.Fprintf(&b, "%-20s ", TypeName(f))
		shown := len(f.ShownCounters())
		for i, field := range f.Fields() {
			if i > 0 {
				b.WriteString(", ")
			}
			kind := "DERIVE"
			if i >= shown {
				kind = "GAUGE"
			}
			fmt.Fprintf(&b, "%s:%s:0:U", field.Name, kind)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// highResTime converts a time to units of 2^-30 s.
func highResTime(seconds int64, nanos int64) uint64 {
	return uint64(seconds)<<30 + uint64(nanos)<<30/uint64(time.Second)
}

// DefaultPacketBytes is collectd's own default limit of a packet.
const DefaultPacketBytes = 1452

// Encoder encodes value lists as packets. It isn't safe for concurrent use.
type Encoder struct {
	maxPartsBytes int // of a packet, without signature or encryption
	sealer        *Sealer
}

// NewEncoder returns an encoder of packets of at most packetBytes bytes, or DefaultPacketBytes if that is 0. The packets are
// signed or encrypted unless sealer is nil.
func NewEncoder(packetBytes int, sealer *Sealer) *Encoder {
	if packetBytes == 0 {
		packetBytes = DefaultPacketBytes
	}
	return &Encoder{maxPartsBytes: packetBytes - sealer.overheadBytes(), sealer: sealer}
}

// ErrTooLong is returned for a value list that doesn't fit in one packet.
var ErrTooLong = errors.New("collectd: value list is longer than a packet")

// Packets encodes value lists as packets. No list is split between packets.
func (e *Encoder) Packets(lists []ValueList) (packets [][]byte, err error) {
	var b []byte
	previous := &ValueList{}
	finish := func() error {
		if len(b) == 0 {
			return nil
		}
		p, err := e.sealer.seal(b)
		packets = append(packets, p)
		b, previous = nil, &ValueList{}
		return err
	}
	for i := range lists {
		l := &lists[i]
		next := appendValueList(b, previous, l)
		if len(next) > e.maxPartsBytes && len(b) > 0 {
			if err := finish(); err != nil {
				return nil, err
			}
			next = appendValueList(nil, previous, l)
		}
		if len(next) > e.maxPartsBytes {
			return nil, fmt.Errorf("%w: %s", ErrTooLong, l.PluginInstance)
		}
		b, previous = next, l
	}
	return packets, finish()
}

// appendValueList appends a value list, leaving out the parts that are the same as in the previous one of the packet.
func appendValueList(b []byte, previous, l *ValueList) []byte {
	first := len(b) == 0
	for _, s := range []struct {
		part      uint16
		was, text string
	}{
		{partHost, previous.Host, l.Host}, {partPlugin, previous.Plugin, l.Plugin},
		{partPluginInstance, previous.PluginInstance, l.PluginInstance},
		{partType, previous.Type, l.Type}, {partTypeInstance, previous.TypeInstance, l.TypeInstance},
	} {
		if s.was != s.text || first {
			b = appendString(b, s.part, s.text)
		}
	}
	if first || !previous.Time.Equal(l.Time) {
		b = appendNumber(b, partTimeHR, highResTime(l.Time.Unix(), int64(l.Time.Nanosecond())))
	}
	if first || previous.Interval != l.Interval {
		b = appendNumber(b, partIntervalHR, highResTime(int64(l.Interval/time.Second), int64(l.Interval%time.Second)))
	}
	b = binary.BigEndian.AppendUint16(b, partValues)
	b = binary.BigEndian.AppendUint16(b, uint16(6+9*len(l.Values)))
	b = binary.BigEndian.AppendUint16(b, uint16(len(l.Values)))
	for i := range l.Values {
		b = append(b, byte(l.Values[i].Type))
	}
	for i := range l.Values {
		if v := &l.Values[i]; v.Type == Gauge { // the only little-endian type
			b = binary.LittleEndian.AppendUint64(b, math.Float64bits(v.Gauge))
		} else {
			b = binary.BigEndian.AppendUint64(b, uint64(v.Int))
		}
	}
	return b
}

func appendString(b []byte, part uint16, text string) []byte {
	b = binary.BigEndian.AppendUint16(b, part)
	b = binary.BigEndian.AppendUint16(b, uint16(4+len(text)+1))
	return append(append(b, text...), 0)
}

func appendNumber(b []byte, part uint16, v uint64) []byte {
	b = binary.BigEndian.AppendUint16(b, part)
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint16(b, 12), v)
}

// AppendPutval appends the Unix socket's command for a value list: one line, which is answered by one line.
func AppendPutval(b []byte, l *ValueList) []byte {
	b = append(b, `PUTVAL "`...)
	b = append(append(append(b, l.Host...), '/'), l.Plugin...)
	if l.PluginInstance != "" {
		b = append(append(b, '-'), l.PluginInstance...)
	}
	b = append(append(b, '/'), l.Type...)
	if l.TypeInstance != "" {
		b = append(append(b, '-'), l.TypeInstance...)
	}
	b = append(b, `" interval=`...)
	b = strconv.AppendFloat(b, l.Interval.Seconds(), 'f', 3, 64)
	b = append(b, ' ')
	b = strconv.AppendFloat(b, float64(l.Time.UnixMilli())/1000, 'f', 3, 64)
	for i := range l.Values {
		b = append(b, ':')
		switch v := &l.Values[i]; {
		case v.Type != Gauge:
			b = strconv.AppendInt(b, v.Int, 10)
		case math.IsNaN(v.Gauge):
			b = append(b, 'U')
		default:
			b = strconv.AppendFloat(b, v.Gauge, 'g', -1, 64)
		}
	}
	return append(b, '\n')
}
