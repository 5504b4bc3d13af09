package scale

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"firplank/mesh/codec"
	"firplank/mesh/config"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/membership"
	"firplank/mesh/timing"
	"firplank/mesh/wire"
)

// The benchmarks cover the operations whose cost grows with the size of the mesh, at sizes up to the target: the cost of
// one change for a sidecar or control machine, independent of the load of the host. See docs/measurements/capacity-by-parts.md.

var partSizes = []int{1000, 3000, 8192} // the last is the maximum number of entries of a directory

func directoryOf(n int) *directory.Directory {
	d := directory.New()
	p := testPlan()
	for i, s := range p.hollows(n + p.Real) {
		e := *entry(i)
		e.Node, e.PeerAddr, e.Zone, e.Service, e.Server = s.Node, s.PeerAddr, s.Zone, s.Service, fmt.Sprintf("i-%08d", i)
		d.Merge(e, 0)
	}
	return d
}

func atSizes(b *testing.B, do func(b *testing.B, n int)) {
	for _, n := range partSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { do(b, n) })
	}
}

// runLoop runs the loop of a benchmark and also reports processor time, because elapsed time says little on a shared host.
func runLoop(b *testing.B, do func()) {
	began := processorTime()
	for b.Loop() {
		do()
	}
	b.ReportMetric(float64(processorTime()-began)/float64(b.N), "cpu-ns/op")
}

func processorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkDirectorySince measures a search for changed entries, which runs once for each child that lacks a change, and
// every 0.3 s for each link.
func BenchmarkDirectorySince(b *testing.B) {
	atSizes(b, func(b *testing.B, n int) {
		d := directoryOf(n)
		runLoop(b, func() {
			if len(d.ChangedSince(d.Revision()-1)) != 1 {
				b.Fatal("not one entry is new")
			}
		})
	})
}

// BenchmarkDirectoryAll measures a copy of all entries, which a sidecar makes several times for each change.
func BenchmarkDirectoryAll(b *testing.B) {
	atSizes(b, func(b *testing.B, n int) {
		d := directoryOf(n)
		runLoop(b, func() {
			d.All()
		})
	})
}

// BenchmarkSetMembers measures the update of a sidecar's failure detector after a change of the directory.
func BenchmarkSetMembers(b *testing.B) {
	atSizes(b, func(b *testing.B, n int) {
		var names []string
		for _, e := range directoryOf(n).All() {
			names = append(names, e.Node)
		}
		c := membership.New(names[0], 1, membership.DefaultConfig())
		c.SetMembers(0, names)
		runLoop(b, func() {
			c.SetMembers(0, names)
		})
	})
}

// BenchmarkDetectorTick measures the tick of a sidecar's failure detector, which runs five times a second.
func BenchmarkDetectorTick(b *testing.B) {
	atSizes(b, func(b *testing.B, n int) {
		var names []string
		for _, e := range directoryOf(n).All() {
			names = append(names, e.Node)
		}
		c := membership.New(names[0], 1, membership.DefaultConfig())
		c.SetMembers(0, names)
		runLoop(b, func() {
			c.Tick(0)
		})
	})
}

// BenchmarkParents measures the choice of a relay.
func BenchmarkParents(b *testing.B) {
	atSizes(b, func(b *testing.B, n int) {
		var all []dissemination.Member
		for _, e := range directoryOf(n).All() {
			all = append(all, dissemination.Member{Node: e.Node, Zone: e.Zone, PeerAddr: e.PeerAddr})
		}
		runLoop(b, func() {
			dissemination.ParentCandidates(all[n/2].Node, all)
		})
	})
}

// BenchmarkTellOneChange measures the cost for a publisher of one changed entry, with as many children as a control machine
// has relays at the target's size, and with the maximum number of children.
func BenchmarkTellOneChange(b *testing.B) {
	for _, children := range []int{78, dissemination.MaxSubscribers} {
		b.Run(fmt.Sprintf("8192/children=%d", children), func(b *testing.B) {
			p := dissemination.NewPublisher(timing.Default().Dissemination)
			p.Directory = directoryOf(8192)
			p.SetConfig(1, []byte("configuration"), nil, 0)
			for id := range children {
				p.Subscribe(uint64(id+1), 1, 0)
			}
			now := time.Hour
			p.Tick(now)
			for id := range children { // acknowledge the first update
				p.HandleAck(uint64(id+1), dissemination.Ack{Nonce: 1, Version: 1, LowestInForce: 1}, now)
			}
			e, _ := p.Directory.Get("hollow-000000")
			runLoop(b, func() {
				e.Sequence++
				p.Directory.Merge(e, now)
				p.Tick(now) // the change is held back to be batched
				now += time.Second
				news, _ := p.Tick(now)
				for i := range news {
					wire.Encode(codec.UpdateToFrame(&news[i], nil, now))
				}
			})
		})
	}
}

// BenchmarkWholeDirectory measures the encoding and decoding of the first update for a child.
func BenchmarkWholeDirectory(b *testing.B) {
	atSizes(b, func(b *testing.B, n int) {
		f := codec.UpdateToFrame(&dissemination.Update{Version: 1, Entries: directoryOf(n).All()}, nil, 0)
		size := 0
		runLoop(b, func() {
			text := wire.Encode(f)
			if _, err := wire.Decode(text[4:]); err != nil {
				b.Fatal(err)
			}
			size = len(text)
		})
		b.ReportMetric(float64(size), "bytes")
	})
}

// BenchmarkDirectoryMemory measures the memory of a directory that was decoded from a frame, as in sidecars.
func BenchmarkDirectoryMemory(b *testing.B) {
	atSizes(b, func(b *testing.B, n int) {
		text := wire.Encode(codec.UpdateToFrame(&dissemination.Update{Version: 1, Entries: directoryOf(n).All()}, nil, 0))
		held := uint64(0)
		runLoop(b, func() {
			before := heap()
			d := directory.New()
			f, err := wire.Decode(text[4:])
			if err != nil {
				b.Fatal(err)
			}
			for _, t := range f.Entries {
				e, _ := codec.EntryFromWire(t, 0)
				d.ApplyUpdate(e, 0)
			}
			f = nil
			held = heap() - before
			runtime.KeepAlive(d)
		})
		b.ReportMetric(float64(held)/float64(n), "bytes/entry")
	})
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkParseConfiguration measures the parsing of a configuration with the target's number of services, which each
// sidecar does for each change.
func BenchmarkParseConfiguration(b *testing.B) {
	for _, routes := range []int{2, 10} {
		b.Run(fmt.Sprintf("330x%d", routes), func(b *testing.B) {
			p := testPlan()
			p.Routes = routes
			text, err := json.Marshal(p.document(1))
			if err != nil {
				b.Fatal(err)
			}
			packed := config.Pack(text)
			runLoop(b, func() {
				if _, err := config.ParsePacked(packed); err != nil {
					b.Fatal(err)
				}
			})
			b.ReportMetric(float64(len(text)), "bytes")
			b.ReportMetric(float64(len(packed)), "packed-bytes")
		})
	}
}
