package receiver

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Tuple is a tuple of a pickled value.
type Tuple []any

// mark is the value that the MARK opcode pushes on the stack.
type mark struct{}

// Unpickle decodes a pickled value by the protocol's description: lists, tuples, strings, integers and floats of protocols 1 to
// 4, which any sender of points may use. It supports no other types, and the size of the result is bounded by that of the text.
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
		return nil, fmt.Errorf("truncated: want %d more bytes", n)
	}
	b := u.text[u.offset : u.offset+n]
	u.offset += n
	return b, nil
}

func (u *unpickler) push(v any) { u.stack = append(u.stack, v) }

// popMark removes the last mark and the values above it, and returns these values.
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
		return fmt.Errorf("tuple of %d with %d values on the stack", n, len(u.stack))
	}
	t := append(Tuple(nil), u.stack[len(u.stack)-n:]...)
	u.stack = u.stack[:len(u.stack)-n]
	for _, v := range t {
		if _, ok := v.(mark); ok {
			return fmt.Errorf("mark in a tuple")
		}
	}
	u.push(t)
	return nil
}

func (u *unpickler) extend(more []any) error {
	if len(u.stack) == 0 {
		return fmt.Errorf("stack is empty, no list to append to")
	}
	l, ok := u.stack[len(u.stack)-1].(*[]any)
	if !ok {
		return fmt.Errorf("append to %T", u.stack[len(u.stack)-1])
	}
	*l = append(*l, more...)
	return nil
}

// fixedSizeOpcodes are the opcodes that are followed by a fixed number of bytes, with the value to push for them.
var fixedSizeOpcodes = map[byte]struct {
	size int
	make func([]byte) any // nil: nothing is pushed
}{
	0x80: {1, nil}, 0x95: {8, nil}, // PROTO, FRAME
	'J': {4, func(b []byte) any { return int64(int32(binary.LittleEndian.Uint32(b))) }},
	'K': {1, func(b []byte) any { return int64(b[0]) }},
	'M': {2, func(b []byte) any { return int64(binary.LittleEndian.Uint16(b)) }},
	'G': {8, func(b []byte) any { return math.Float64frombits(binary.BigEndian.Uint64(b)) }},
}

// stringOpcodes are the opcodes that are followed by a length and a string, with the size of the length in bytes.
var stringOpcodes = map[byte]int{'X': 4, 'T': 4, 'U': 1, 0x8c: 1}

// step executes the next opcode; done is true after STOP.
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

// string pushes a string that follows its length, which has size bytes.
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

// build executes an opcode that works on the stack or the memo.
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
			return fmt.Errorf("stack is empty, nothing to append")
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
		return fmt.Errorf("opcode 0x%02x is not supported", code)
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
		return fmt.Errorf("integer of %d bytes is too long", n)
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

// memoIndex reads the memo index that follows an opcode.
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
		return fmt.Errorf("stack is empty, nothing to memoize")
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
		return fmt.Errorf("memo has no value at %d", at)
	}
	if _, shared := v.(*[]any); shared {
		return fmt.Errorf("shared list is not supported")
	}
	u.push(v)
	return nil
}
