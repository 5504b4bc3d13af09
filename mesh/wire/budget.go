package wire

import "unsafe"

const (
	// budgetFactor is how many bytes decoding may allocate for each byte of a table, and budgetBase how many besides. A list's
	// element takes some 100 bytes encoded and 200 decoded.
	budgetFactor = 8
	budgetBase   = 1 << 20
	// pointerSize is that of an element of a decoded list, and stringSize that of a string without its bytes.
	pointerSize = int(unsafe.Sizeof(uintptr(0)))
	stringSize  = int(unsafe.Sizeof(""))
	// offsetSize is the least that an element of a list takes in a table.
	offsetSize = 4
)

// budget is what decoding a table may still allocate. The generated code allocates by the lengths that a table states, and copies a string
// for each offset that leads to it; check walks a table without allocating, and panics where that would be too much, as the generated code
// does at offsets that lead out of the table.
type budget struct {
	tableSize int
	left      int
}

func newBudget(table []byte) *budget {
	return &budget{tableSize: len(table), left: budgetFactor*len(table) + budgetBase}
}

// take uses some of the budget.
func (b *budget) take(bytes int) {
	if b.left -= bytes; b.left < 0 {
		panic("decoding would allocate more than the table justifies")
	}
}

// list uses what a list of so many elements takes, without what the elements point to.
func (b *budget) list(length, elementSize int) {
	if length < 0 || length > b.tableSize/offsetSize {
		panic("a list is longer than its table")
	}
	b.take(length * elementSize)
}

func (b *budget) text(s []byte) { b.take(stringSize + len(s)) }

func (b *budget) ballot(t *Ballot) {
	if t != nil {
		b.take(int(unsafe.Sizeof(BallotT{})))
		b.text(t.Proposer())
	}
}

func (b *budget) value(v *Value) {
	if v == nil {
		return
	}
	b.take(int(unsafe.Sizeof(ValueT{})))
	b.list(v.MembersLength(), stringSize)
	for j := range v.MembersLength() {
		b.text(v.Members(j))
	}
	b.list(v.PriorMembersLength(), stringSize)
	for j := range v.PriorMembersLength() {
		b.text(v.PriorMembers(j))
	}
	b.rollouts(v.RolloutsLength(), v.Rollouts)
}

// rollouts uses what a list of rollouts takes; get returns one of them.
func (b *budget) rollouts(length int, get func(t *Rollout, j int) bool) {
	b.list(length, pointerSize+int(unsafe.Sizeof(RolloutT{})))
	var t Rollout
	for j := range length {
		if get(&t, j) {
			for _, s := range [...][]byte{t.Service(), t.Target(), t.Reason(), t.DecidedBy()} {
				b.text(s)
			}
		}
	}
}

// incarnations uses what a list of incarnations takes; get returns one of them.
func (b *budget) incarnations(length int, get func(t *Incarnation, j int) bool) {
	b.list(length, pointerSize+int(unsafe.Sizeof(IncarnationT{})))
	var t Incarnation
	for j := range length {
		if get(&t, j) {
			b.text(t.Node())
		}
	}
}

func (b *budget) entries(f *Frame) {
	b.list(f.EntriesLength(), pointerSize+int(unsafe.Sizeof(EntryT{})))
	var e Entry
	for j := range f.EntriesLength() {
		if !f.Entries(&e, j) {
			continue
		}
		for _, s := range [...][]byte{e.Node(), e.Addr(), e.PeerAddr(), e.Zone(), e.Service(), e.ServerId(), e.EditionBytes()} {
			b.text(s)
		}
		b.list(e.StatisticsLength(), pointerSize+int(unsafe.Sizeof(ClassStatisticsT{})))
	}
}

func (b *budget) machines(f *Frame) {
	b.list(f.MachinesLength(), pointerSize+int(unsafe.Sizeof(MachineT{})))
	var m Machine
	var accepted Ballot
	for j := range f.MachinesLength() {
		if f.Machines(&m, j) {
			b.text(m.Addr())
			b.text(m.Zone())
			b.ballot(m.Accepted(&accepted))
		}
	}
}

// frame checks a frame.
func (b *budget) frame(f *Frame) {
	b.take(int(unsafe.Sizeof(FrameT{})))
	b.text(f.From())
	b.text(f.Text())
	var ballot Ballot
	b.ballot(f.Ballot(&ballot))
	b.ballot(f.Promised(&ballot))
	b.ballot(f.Accepted(&ballot))
	b.value(f.Value(nil))
	b.incarnations(f.IncarnationsLength(), f.Incarnations)
	b.entries(f)
	b.machines(f)
	b.list(f.DeltasLength(), pointerSize+int(unsafe.Sizeof(DeltaT{})))
	b.rollouts(f.RolloutsLength(), f.Rollouts)
}

// state checks a state.
func (b *budget) state(s *State) {
	b.take(int(unsafe.Sizeof(StateT{})))
	var ballot Ballot
	b.ballot(s.Promised(&ballot))
	b.ballot(s.Accepted(&ballot))
	b.value(s.Value(nil))
	b.incarnations(s.IncarnationsLength(), s.Incarnations)
}
