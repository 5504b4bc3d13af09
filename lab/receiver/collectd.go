package receiver

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/sha1"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"net"
	"slices"
	"sync"
	"time"
)

// Kind is the data source type of a collectd value.
type Kind uint8

// The kinds, with their numbers on the wire.
const (
	CounterKind Kind = iota
	GaugeKind
	DeriveKind
	AbsoluteKind
)

// ValueList is a list of values received for one identifier and time.
type ValueList struct {
	ID       string // HOST/PLUGIN-INSTANCE/TYPE-INSTANCE
	At       time.Time
	Interval time.Duration
	Kinds    []Kind
	Values   []float64
}

// Users are the passwords of users that may sign or encrypt packets. If there are any, other packets are rejected.
type Users map[string]string

// Decode decodes a packet of collectd's binary protocol.
func (u Users) Decode(packet []byte) ([]ValueList, error) {
	d := &decoder{users: u}
	if err := d.parts(packet, len(u) == 0); err != nil {
		return nil, fmt.Errorf("%w: packet: %w", ErrMalformed, err)
	}
	return d.lists, nil
}

// decoder holds the values of parts, which apply to the following value lists until a part of the same type replaces them.
type decoder struct {
	users    Users
	lists    []ValueList
	names    [6]string // by part type
	at       time.Time
	interval time.Duration
	trusted  bool
}

func (d *decoder) parts(b []byte, trusted bool) error {
	d.trusted = d.trusted || trusted
	for len(b) > 0 {
		if len(b) < 4 {
			return fmt.Errorf("%d bytes are too short for a part", len(b))
		}
		kind, size := binary.BigEndian.Uint16(b), int(binary.BigEndian.Uint16(b[2:]))
		if size < 4 || size > len(b) {
			return fmt.Errorf("part %#x has length %d, with %d bytes left", kind, size, len(b))
		}
		body := b[4:size]
		b = b[size:]
		switch kind {
		case 0x0200:
			if err := d.signature(body, b); err != nil {
				return err
			}
			continue
		case 0x0210:
			clear, err := d.decrypt(body)
			if err != nil {
				return err
			}
			if err := d.parts(clear, true); err != nil {
				return err
			}
			d.trusted = false // the parts after it are outside the encrypted part
			continue
		}
		if !d.trusted {
			return fmt.Errorf("neither signed nor encrypted")
		}
		if err := d.part(kind, body); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) signature(body, rest []byte) error {
	if len(body) < sha256.Size {
		return fmt.Errorf("signature of %d bytes is too short", len(body))
	}
	user := body[sha256.Size:]
	password, known := d.users[string(user)]
	mac := hmac.New(sha256.New, []byte(password))
	mac.Write(user)
	mac.Write(rest)
	if !known || !hmac.Equal(mac.Sum(nil), body[:sha256.Size]) {
		return fmt.Errorf("invalid signature of user %q", user)
	}
	d.trusted = true
	return nil
}

func (d *decoder) decrypt(body []byte) ([]byte, error) {
	if len(body) < 2 {
		return nil, fmt.Errorf("encrypted part without a user name")
	}
	n := int(binary.BigEndian.Uint16(body))
	if len(body) < 2+n+aes.BlockSize+sha1.Size {
		return nil, fmt.Errorf("encrypted part of %d bytes is too short", len(body))
	}
	user, iv := body[2:2+n], body[2+n:2+n+aes.BlockSize]
	password, known := d.users[string(user)]
	key := sha256.Sum256([]byte(password))
	block, err := aes.NewCipher(key[:])
	if err != nil {
		return nil, err
	}
	clear := make([]byte, len(body)-2-n-aes.BlockSize)
	//lint:ignore SA1019 OFB is the mode that collectd's protocol prescribes
	cipher.NewOFB(block, iv).XORKeyStream(clear, body[2+n+aes.BlockSize:])
	sum := sha1.Sum(clear[sha1.Size:])
	if !known || !bytes.Equal(sum[:], clear[:sha1.Size]) {
		return nil, fmt.Errorf("decryption failed for user %q", user)
	}
	return clear[sha1.Size:], nil
}

func (d *decoder) part(kind uint16, body []byte) error {
	switch kind {
	case 0, 2, 3, 4, 5:
		if len(body) == 0 || body[len(body)-1] != 0 || bytes.IndexByte(body, 0) != len(body)-1 {
			return fmt.Errorf("part %#x is not a null-terminated string", kind)
		}
		d.names[kind] = string(body[:len(body)-1])
	case 1, 7, 8, 9:
		if len(body) != 8 {
			return fmt.Errorf("part %#x has %d bytes", kind, len(body))
		}
		v := binary.BigEndian.Uint64(body)
		seconds, fraction := int64(v), int64(0)
		if kind >= 8 {
			seconds, fraction = int64(v>>30), int64(v&(1<<30-1))*int64(time.Second)>>30
		}
		if kind == 1 || kind == 8 {
			d.at = time.Unix(seconds, fraction)
		} else {
			d.interval = time.Duration(seconds)*time.Second + time.Duration(fraction)
		}
	case 6:
		return d.values(body)
	}
	return nil // unknown parts are skipped
}

func (d *decoder) values(body []byte) error {
	if len(body) < 2 {
		return fmt.Errorf("values part without a count")
	}
	n := int(binary.BigEndian.Uint16(body))
	if len(body) != 2+9*n || n == 0 {
		return fmt.Errorf("%d values in %d bytes", n, len(body))
	}
	l := ValueList{ID: d.id(), At: d.at, Interval: d.interval}
	for i := range n {
		raw := body[2+n+8*i:]
		kind := Kind(body[2+i])
		v := float64(int64(binary.BigEndian.Uint64(raw)))
		switch kind {
		case GaugeKind:
			v = math.Float64frombits(binary.LittleEndian.Uint64(raw))
		case CounterKind, AbsoluteKind:
			v = float64(binary.BigEndian.Uint64(raw))
		case DeriveKind:
		default:
			return fmt.Errorf("unknown value kind %d", kind)
		}
		l.Kinds, l.Values = append(l.Kinds, kind), append(l.Values, v)
	}
	if d.names[0] == "" || d.names[2] == "" || d.names[4] == "" {
		return fmt.Errorf("values without host, plugin or type")
	}
	d.lists = append(d.lists, l)
	return nil
}

func (d *decoder) id() string {
	return identifier(d.names[0], d.names[2], d.names[3], d.names[4], d.names[5])
}

func identifier(host, plugin, pluginInstance, kind, typeInstance string) string {
	id := host + "/" + plugin
	if pluginInstance != "" {
		id += "-" + pluginInstance
	}
	id += "/" + kind
	if typeInstance != "" {
		id += "-" + typeInstance
	}
	return id
}

// Values stores the accepted value lists. As in collectd, a list is rejected if it is not later than the previous one of its
// identifier.
type Values struct {
	decodeErrors
	mu     sync.Mutex
	lists  map[string][]ValueList
	tooOld int
	points int
}

func (v *Values) add(l ValueList) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lists == nil {
		v.lists = map[string][]ValueList{}
	}
	before := v.lists[l.ID]
	if n := len(before); n > 0 && !l.At.After(before[n-1].At) {
		v.tooOld++
		return fmt.Errorf("value too old: %s", l.ID)
	}
	if v.points += len(l.Values); v.points > maxPoints {
		return fmt.Errorf("more than %d values", maxPoints)
	}
	v.lists[l.ID] = append(before, l)
	return nil
}

// TooOld returns how many lists were rejected because they were not later than the previous one.
func (v *Values) TooOld() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tooOld
}

// Lists returns the lists of an identifier, in the order of time.
func (v *Values) Lists(id string) []ValueList {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.lists[id])
}

// Last returns a value of the latest list of an identifier; 0 if there is none.
func (v *Values) Last(id string, at int) float64 {
	if all := v.Lists(id); len(all) > 0 && at < len(all[len(all)-1].Values) {
		return all[len(all)-1].Values[at]
	}
	return 0
}

// DeriveGrowth returns how much a DERIVE value with a minimum of 0 has grown over all lists. A decrease means that the counter
// restarted, and does not count.
func (v *Values) DeriveGrowth(id string, at int) (sum float64) {
	all := v.Lists(id)
	for i := 1; i < len(all); i++ {
		if d := all[i].Values[at] - all[i-1].Values[at]; d > 0 {
			sum += d
		}
	}
	return sum
}

// Network is a stand-in for collectd's network plugin.
type Network struct {
	Values
	users Users
	conn  *net.UDPConn
	tasks sync.WaitGroup
	drop  func(n int) bool // whether packet n, counted from 0, is dropped; nil: none is

	countersMu sync.Mutex
	packets    int
	longest    int
}

// NewNetwork starts a receiver on loopback. drop reports whether packet n, counted from 0, is dropped; nil drops none.
func NewNetwork(users Users, drop func(n int) bool) (*Network, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	n := &Network{users: users, conn: conn, drop: drop}
	n.tasks.Go(n.read)
	return n, nil
}

// Addr returns the address that it listens on.
func (n *Network) Addr() string { return n.conn.LocalAddr().String() }

// Close stops the receiver and waits for its goroutine.
func (n *Network) Close() {
	_ = n.conn.Close() // the connection is released even where this fails
	n.tasks.Wait()
}

// Packets returns how many packets were received, and the size of the longest in bytes.
func (n *Network) Packets() (count, longest int) {
	n.countersMu.Lock()
	defer n.countersMu.Unlock()
	return n.packets, n.longest
}

func (n *Network) read() {
	var b [1 << 16]byte
	for {
		size, err := n.conn.Read(b[:])
		if err != nil {
			return
		}
		n.countersMu.Lock()
		number := n.packets
		n.packets++
		n.longest = max(n.longest, size)
		n.countersMu.Unlock()
		if n.drop != nil && n.drop(number) {
			continue
		}
		lists, err := n.users.Decode(b[:size])
		if err != nil {
			n.record(err)
		}
		for _, l := range lists {
			_ = n.add(l) // it counts rejected lists itself
		}
	}
}
