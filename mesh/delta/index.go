package delta

import "math/bits"

const (
	// blockSize is the length in bytes of the indexed blocks of the base. Shorter matches aren't encoded as copies.
	blockSize = 24
	// maxCandidates is the maximum number of blocks in a hash slot that are compared at an offset of the text.
	maxCandidates = 8
	// minSlotBits is the minimum size of the index's table, as a power of two.
	minSlotBits = 4
	// hashPrime is the multiplier of the rolling hash: FNV's 32-bit prime.
	hashPrime = 0x01000193
	// slotMultiplier spreads hashes over the slots: 2^32 divided by the golden ratio (Fibonacci hashing).
	slotMultiplier = 0x9e3779b1
)

// index finds blocks of a base by their hash. Each slot has a linked list of block numbers, the last block first. The
// numbers are stored plus 1, so that 0 marks the end.
type index struct {
	shift uint
	first []int32 // by slot
	next  []int32 // by block
}

func newIndex(base []byte) *index {
	blocks := len(base) / blockSize
	slotBits := max(minSlotBits, bits.Len(uint(blocks)))
	ix := &index{
		shift: uint(32 - slotBits),
		first: make([]int32, 1<<slotBits),
		next:  make([]int32, blocks),
	}
	for n := range blocks {
		slot := ix.slot(blockHash(base[n*blockSize:]))
		ix.next[n] = ix.first[slot]
		ix.first[slot] = int32(n + 1)
	}
	return ix
}

func (ix *index) slot(hash uint32) uint32 { return hash * slotMultiplier >> ix.shift }

// find returns the longest match between the base and the text at an offset, among those that start at one of the
// candidate blocks. Among equally long matches it returns the one nearest to expected. length is 0 if no match is at
// least blockSize long.
func (ix *index) find(base, text []byte, offset, expected int, hash *rollingHash) (from, length int) {
	if offset+blockSize > len(text) {
		return 0, 0
	}
	n := ix.first[ix.slot(hash.at(text, offset))]
	for tried := 0; n > 0 && tried < maxCandidates; tried++ {
		candidate := int(n-1) * blockSize
		common := commonLength(base, text, candidate, offset)
		longer := common > length || common == length && isNearer(candidate, from, expected)
		if common >= blockSize && longer {
			from, length = candidate, common
		}
		n = ix.next[n-1]
	}
	return from, length
}

// isNearer reports whether a is nearer to an offset than b.
func isNearer(a, b, to int) bool { return max(a-to, to-a) < max(b-to, to-b) }

// rollingHash computes the hash of the block at an offset of a text, in constant time for consecutive offsets
// (Rabin-Karp).
type rollingHash struct {
	next int // the offset after the last one; 0 if there was none
	hash uint32
}

func (r *rollingHash) at(text []byte, offset int) uint32 {
	if r.next > 0 && r.next == offset {
		r.hash = (r.hash-uint32(text[offset-1])*firstMultiplier)*hashPrime + uint32(text[offset+blockSize-1])
	} else {
		r.hash = blockHash(text[offset:])
	}
	r.next = offset + 1
	return r.hash
}

// firstMultiplier is the multiplier of a block's first byte: hashPrime to the power of blockSize-1.
var firstMultiplier = func() uint32 {
	power := uint32(1)
	for range blockSize - 1 {
		power *= hashPrime
	}
	return power
}()

// blockHash returns the hash of the first blockSize bytes of b.
func blockHash(b []byte) (hash uint32) {
	for _, c := range b[:blockSize] {
		hash = hash*hashPrime + uint32(c)
	}
	return hash
}
