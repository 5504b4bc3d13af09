package storage

import (
	"bytes"
	"fmt"
	"runtime"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-faster/errors"
)

const (
	// memTableSize and cacheSize limit the memory of pebble for a store, in bytes.
	memTableSize = 1 << 20
	cacheSize    = 1 << 20
	// maxOpenFiles limits the files that pebble has open in a store.
	maxOpenFiles = 32
	// maxLevelZeroFiles is more than the files that a generation can flush, so that writes never stop to wait for a
	// compaction: compactions are disabled.
	maxLevelZeroFiles = 1000
)

// errPebbleExited is returned if pebble ended a call with Logger.Fatalf.
var errPebbleExited = errors.New("pebble ended the call after a fatal error")

func pebbleOptions(disk vfs.FS, memTableSize uint64, log pebble.Logger) *pebble.Options {
	return &pebble.Options{
		FS:                          disk,
		Logger:                      log,
		FormatMajorVersion:          pebble.FormatNewest,
		MemTableSize:                memTableSize,
		MaxOpenFiles:                maxOpenFiles,
		L0StopWritesThreshold:       maxLevelZeroFiles,
		DisableAutomaticCompactions: true,
		DisableTableStats:           true,
	}
}

// callPebble calls pebble in a separate goroutine, waits for it, and returns its error. It also returns an error if the
// call panics or its goroutine ends. Pebble relies on Fatalf not returning. Locks that it holds at that time are released
// only if a deferred call does so. Therefore a store in which this has happened has to be abandoned.
func callPebble(call func() error) error {
	result := make(chan error, 1)
	go func() {
		err := errPebbleExited
		defer func() {
			if p := recover(); p != nil {
				err = errors.Errorf("pebble panicked: %v", p)
			}
			result <- err
		}()
		err = call()
	}()
	return <-result
}

// pebbleLogger discards messages. On an error for which pebble would end the process, it reports the error and ends the
// calling goroutine.
type pebbleLogger struct {
	onFatal func(error) // nil: errors are not reported
}

// Infof implements pebble.Logger.
func (pebbleLogger) Infof(string, ...any) {}

// Errorf implements pebble.Logger.
func (pebbleLogger) Errorf(string, ...any) {}

// Fatalf implements pebble.Logger.
func (l pebbleLogger) Fatalf(format string, args ...any) {
	if l.onFatal != nil {
		l.onFatal(errors.New(fmt.Sprintf(format, args...)))
	}
	runtime.Goexit()
}

// copyToMemory copies a store's folder into memory, where pebble can read it. In this way, errors of the disk only occur
// while copying, and an error that pebble returns afterwards is corruption. The folder is neither changed nor locked.
func copyToMemory(disk vfs.FS, folder string) (*vfs.MemFS, error) {
	memory := vfs.NewMem()
	there, err := vfs.Clone(disk, memory, folder, folder)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", folder)
	}
	if !there {
		return nil, corruptError("missing store")
	}
	return memory, nil
}

// getRecords returns the records of some keys of a store in memory.
func getRecords(memory *vfs.MemFS, folder string, keys ...[]byte) (records [][]byte, err error) {
	err = callPebble(func() error {
		cache := pebble.NewCache(cacheSize)
		defer cache.Unref()
		options := pebbleOptions(memory, memTableSize, pebbleLogger{})
		options.Cache = cache
		options.ReadOnly = true
		options.ErrorIfNotExists = true
		db, err := pebble.Open(folder, options)
		if err != nil {
			return err
		}
		defer func() { _ = db.Close() }() // it was only read
		records, err = getAll(db, keys)
		return err
	})
	return records, err
}

func getAll(db *pebble.DB, keys [][]byte) (records [][]byte, err error) {
	for _, key := range keys {
		b, closer, err := db.Get(key)
		if err != nil {
			return nil, err
		}
		records = append(records, bytes.Clone(b))
		_ = closer.Close() // releases b, which was copied
	}
	return records, nil
}
