package core

// timer is a timer of the balancer, or the expiry of a request.
type timer struct {
	at      float64 // by the loop's clock
	token   uint64  // of the balancer's timers
	request *request
	index   int // in the heap; -1: removed
}

// timers is a heap of timers by time, for container/heap.
type timers []*timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	x.(*timer).index = len(*t)
	*t = append(*t, x.(*timer))
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	x.index = -1
	*t = (*t)[:last]
	return x
}
