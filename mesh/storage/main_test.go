package storage

import (
	"os"
	"runtime/debug"
	"testing"
)

// garbagePercent makes garbage collections rare, which halves the time of the tests: they open about ten thousand
// stores, each of which is garbage at once.
const garbagePercent = 800

func TestMain(m *testing.M) {
	debug.SetGCPercent(garbagePercent)
	os.Exit(m.Run())
}
