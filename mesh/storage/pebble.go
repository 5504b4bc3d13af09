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
	// memTableSize and cacheSize are what pebble may take of memory for a store, in bytes.
	memTableSize = 1 << 20
	cacheSize    = 1 << 20
	// maxOpenFiles bounds the files that pebble has open in a store.
	maxOpenFiles = 32
	// maxLevelZeroFiles is more than a generation can flush: nothing waits for a compaction, as none is made.
	maxLevelZeroFiles = 1000
)

// errPebbleExited is returned where pebble ended a call for good (Logger.Fatalf).
var errPebbleExited = errors.New("pebble ended the call")

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

// callPebble makes a call of pebble in a goroutine of its own, waits for it, and returns its error, also where the call
// panics or its goroutine is ended. Pebble counts on Fatalf not to return; what it holds then is released by its
// deferred calls or stays held, so that a store in which this happened is only ever abandoned.
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

// pebbleLogger drops messages. Where pebble would end the process, it reports the error and ends the goroutine that
// logs.
type pebbleLogger struct {
	onFatal func(error) // nil: it isn't reported
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

// copyToMemory copies a store's folder into memory to be read there: an error of the disk comes from the copying, and
// whatever pebble then finds wrong is corruption. Nothing in the folder changes, and no lock of it is taken.
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

// getRecords reads records of a store in memory.
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
		_ = closer.Close() // releases the bytes that were copied
	}
	return records, nil
}
