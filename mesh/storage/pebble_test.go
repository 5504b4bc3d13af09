package storage

import (
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/go-faster/errors"
)

// callPebble returns whether its call returns, panics or is ended by the logger's Fatalf, and the process continues.
func TestCallPebbleAlwaysReturns(t *testing.T) {
	if err := callPebble(func() error { return nil }); err != nil {
		t.Error(err)
	}
	refused := errors.New("refused")
	if err := callPebble(func() error { return refused }); !errors.Is(err, refused) {
		t.Error(err)
	}
	if err := callPebble(func() error { panic("a bug") }); err == nil {
		t.Error("a panic returns no error")
	}
	var reported error
	returned := false
	err := callPebble(func() error {
		pebbleLogger{func(err error) { reported = err }}.Fatalf("MANIFEST %d", 7)
		returned = true
		return nil
	})
	if !errors.Is(err, errPebbleExited) || reported == nil || reported.Error() != "MANIFEST 7" || returned {
		t.Errorf("error %v, reported %v, Fatalf returned %v", err, reported, returned)
	}
}

// An error of the disk for which pebble would end the process only ends the call, even if pebble holds locks. Here the
// errors reach pebble, because there is no failStopFS.
func TestPebbleFatalErrorEndsOnlyTheCall(t *testing.T) {
	injector := &writeErrorInjector{pathPart: "marker.manifest"}
	disk := errorfs.Wrap(vfs.NewMem(), injector)
	var fatal atomic.Int32
	log := pebbleLogger{func(error) { fatal.Add(1) }}
	var db *pebble.DB
	open := func(name string) error {
		return callPebble(func() (err error) {
			db, err = pebble.Open(name, pebbleOptions(disk, memTableSize, log))
			return err
		})
	}
	injector.enabled.Store(true)
	if err := open("/one"); !errors.Is(err, errPebbleExited) || fatal.Load() != 1 {
		t.Errorf("open with errors on the MANIFEST's marker: %v, %d fatal errors", err, fatal.Load())
	}
	injector.enabled.Store(false)
	if err := open("/two"); err != nil {
		t.Fatal(err)
	}
	injector.pathPart = logExtension
	injector.enabled.Store(true)
	err := callPebble(func() error { return db.Set(valueKey, []byte("x"), pebble.Sync) })
	if !errors.Is(err, errPebbleExited) || fatal.Load() != 2 {
		t.Errorf("write with errors on the log: %v, %d fatal errors", err, fatal.Load())
	}
	if err := callPebble(db.Close); errors.Is(err, errPebbleExited) {
		t.Error("a store with errors on its log cannot be closed")
	}
}
