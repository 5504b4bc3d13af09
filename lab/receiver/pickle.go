package receiver

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Tuple is a tuple of a pickled value.
type Tuple []any

// mark is what MARK puts on the stack.
type mark struct{}

// Unpickle reads a pickled value by the protocol's description: lists, tuples, text, whole numbers and floats of protocols 1
// to 4, as whoever sends points may write them. It makes nothing else, and never more than the text has room for.
func Unpickle(text []byte) (any, error) {
	u := &unpickler{text: text, memo: map[uint32]any{}}
	for {
		done, err := u.step()
		if err != nil {
			return nil, fmt.Errorf("%w: pickle at byte %d: %w", ErrMalformed, u.offset, err)
		}
		if done {
			if len(u.stack) != 1 {
				return nil, fmt.Errorf("%w: pickle leaves %d values", ErrMalformed, len(u.stack))
			}
			if l, ok := u.stack[0].(*[]any); ok {
				return *l, nil
			}
			return u.stack[0], nil
		}
	}
}

type unpickler struct {
	text   []byte
	offset int
	stack  []any
	memo   map[uint32]any
}

func (u *unpickler) next(n int) ([]byte, error) {
	if n < 0 || n > len(u.text)-u.offset {
		return nil, fmt.Errorf("%d more bytes are wanted", n)
	}
	b := u.text[u.offset : u.offset+n]
	u.offset += n
	return b, nil
}

func (u *unpickler) push(v any) { u.stack = append(u.stack, v) }

// popMark takes what lies above the last mark.
func (u *unpickler) popMark() ([]any, error) {
	for i := len(u.stack) - 1; i >= 0; i-- {
		if _, ok := u.stack[i].(mark); ok {
			above := append([]any(nil), u.stack[i+1:]...)
			u.stack = u.stack[:i]
			return above, nil
		}
	}
	return nil, fmt.Errorf("no mark")
}

func (u *unpickler) tuple(n int) error {
	if len(u.stack) < n {
		return fmt.Errorf("a tuple of %d of %d values", n, len(u.stack))
	}
	t := append(Tuple(nil), u.stack[len(u.stack)-n:]...)
	u.stack = u.stack[:len(u.stack)-n]
	for _, v := range t {
		if _, ok := v.(mark); ok {
			return fmt.Errorf("a mark in a tuple")
		}
	}
	u.push(t)
	return nil
}

func (u *unpickler) extend(more []any) error {
	if len(u.stack) == 0 {
		return fmt.Errorf("nothing to append to")
	}
	l, ok := u.stack[len(u.stack)-1].(*[]any)
	if !ok {
		return fmt.Errorf("append to %T", u.stack[len(u.stack)-1])
	}
	*l = append(*l, more...)
	return nil
}

// fixed are codes followed by a number of bytes, and what is made of these.
var fixedSizeOpcodes = map[byte]struct {
	size int
	make func([]byte) any // nil: nothing
}{
	0x80: {1, nil}, 0x95: {8, nil}, // PROTO, FRAME
	'J': {4, func(b []byte) any { return int64(int32(binary.LittleEndian.Uint32(b))) }},
	'K': {1, func(b []byte) any { return int64(b[0]) }},
	'M': {2, func(b []byte) any { return int64(binary.LittleEndian.Uint16(b)) }},
	'G': {8, func(b []byte) any { return math.Float64frombits(binary.BigEndian.Uint64(b)) }},
}

// texts are codes followed by a length of so many bytes and a text.
var stringOpcodes = map[byte]int{'X': 4, 'T': 4, 'U': 1, 0x8c: 1}

// step does what the next code asks for; done is true after the last one.
func (u *unpickler) step() (done bool, err error) {
	b, err := u.next(1)
	if err != nil {
		return false, err
	}
	code := b[0]
	if f, ok := fixedSizeOpcodes[code]; ok {
		b, err := u.next(f.size)
		if err == nil && f.make != nil {
			u.push(f.make(b))
		}
		return false, err
	}
	if size, ok := stringOpcodes[code]; ok {
		return false, u.string(size)
	}
	if code == '.' { // STOP
		return true, nil
	}
	return false, u.build(code)
}

// string pushes a text, before which its length stands in so many bytes.
func (u *unpickler) string(size int) error {
	b, err := u.next(size)
	if err != nil {
		return err
	}
	n := int(b[0])
	if size == 4 {
		n = int(binary.LittleEndian.Uint32(b))
	}
	if b, err = u.next(n); err == nil {
		u.push(string(b))
	}
	return err
}

// build does what a code asks for that makes something of the stack or the memo.
func (u *unpickler) build(code byte) error {
	switch code {
	case ']':
		u.push(&[]any{})
	case '(':
		u.push(mark{})
	case 'e': // APPENDS
		more, err := u.popMark()
		if err != nil {
			return err
		}
		return u.extend(more)
	case 'a': // APPEND
		if len(u.stack) == 0 {
			return fmt.Errorf("nothing to append")
		}
		v := u.stack[len(u.stack)-1]
		u.stack = u.stack[:len(u.stack)-1]
		return u.extend([]any{v})
	case 't': // TUPLE
		all, err := u.popMark()
		if err == nil {
			u.push(Tuple(all))
		}
		return err
	case 0x85, 0x86, 0x87: // TUPLE1 to TUPLE3
		return u.tuple(int(code-0x85) + 1)
	case 0x8a: // LONG1
		return u.long()
	case 'q', 'r', 0x94: // BINPUT, LONG_BINPUT, MEMOIZE
		return u.put(code)
	case 'h', 'j': // BINGET, LONG_BINGET
		return u.get(code)
	default:
		return fmt.Errorf("code 0x%02x is not taken", code)
	}
	return nil
}

func (u *unpickler) long() error {
	b, err := u.next(1)
	if err != nil {
		return err
	}
	n := int(b[0])
	if b, err = u.next(n); err != nil {
		return err
	}
	if n > 8 {
		return fmt.Errorf("a number of %d bytes", n)
	}
	v := int64(0)
	for i := n - 1; i >= 0; i-- {
		v = v<<8 | int64(b[i])
	}
	if n > 0 && n < 8 && b[n-1] >= 0x80 {
		v -= 1 << (8 * n)
	}
	u.push(v)
	return nil
}

// index reads the place in the memo that a code is followed by.
func (u *unpickler) memoIndex(code byte) (uint32, error) {
	if code == 'q' || code == 'h' {
		b, err := u.next(1)
		if err != nil {
			return 0, err
		}
		return uint32(b[0]), nil
	}
	b, err := u.next(4)
	if err != nil {
		return 0, err
	}
	return binary.LittleEndian.Uint32(b), nil
}

func (u *unpickler) put(code byte) error {
	at := uint32(len(u.memo))
	if code != 0x94 {
		var err error
		if at, err = u.memoIndex(code); err != nil {
			return err
		}
	}
	if len(u.stack) == 0 {
		return fmt.Errorf("nothing to remember")
	}
	u.memo[at] = u.stack[len(u.stack)-1]
	return nil
}

func (u *unpickler) get(code byte) error {
	at, err := u.memoIndex(code)
	if err != nil {
		return err
	}
	v, ok := u.memo[at]
	if !ok {
		return fmt.Errorf("nothing is remembered at %d", at)
	}
	if _, shared := v.(*[]any); shared {
		return fmt.Errorf("a list in two places is not taken")
	}
	u.push(v)
	return nil
}
