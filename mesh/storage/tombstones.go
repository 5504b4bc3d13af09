package storage

import (
	"encoding/binary"
	"io"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-faster/errors"

	"firplank/mesh/tombstone"
)

// Tombstones are stored in log files in the folder "tombstones" of the data folder, named "log-NUMBER" with 16 hexadecimal digits. A log
// begins with the whole set, then a record of type logReady, which is synced before an earlier log is removed. Further records are
// appended. The current log is the highest one with that record.
//
// A record is, little endian: the length of the payload (4), the payload's xxHash64 (8), and the payload: its type (1), and for a tombstone
// the time at which it was requested, in milliseconds of Unix time (8), the length of the node's name (2), that name, and the server's ID.
// The first invalid record ends a log: what follows was not synced.
const (
	tombstonesName = "tombstones"
	logPrefix      = "log-"
	logHeaderSize  = 4 + 8
	// maxPayload is the size of the payload of a record, above which it is not valid.
	maxPayload = 4096
	// logRotationBytes is the number of bytes appended to a log after which a new one is created.
	logRotationBytes = 4 << 20
)

// logRecordType is the type of a record in a log of tombstones.
type logRecordType byte

const (
	logTombstone logRecordType = iota + 1
	logReady                   // the whole set precedes it
	logComplete
	logIncomplete
)

// RecoveredTombstones is the content of a log of tombstones when it was opened.
type RecoveredTombstones struct {
	// Found is false if there was no log, and Corrupt is set if there were only invalid ones. Then the disk may have lost tombstones.
	Found, Corrupt bool
	Complete       bool
	Tombstones     []tombstone.Aged
}

// TombstoneLog is an open log of tombstones. It is not safe for concurrent use.
type TombstoneLog struct {
	dir       string
	disk      vfs.FS
	now       func() time.Time
	retention time.Duration

	live     map[tombstone.Tombstone]time.Time // with the time at which each was requested
	complete bool
	number   uint64   // of the newest log
	file     vfs.File // nil: the next append creates a log
	appended int64    // bytes in file after the whole set
}

// OpenTombstones opens the log of tombstones in a data folder. Tombstones are dropped from it some time after retention. An error is one of
// the disk, and may be temporary.
func OpenTombstones(dir string, retention time.Duration) (*TombstoneLog, RecoveredTombstones, error) {
	return openTombstonesFS(vfs.Default, dir, retention, time.Now)
}

func openTombstonesFS(
	disk vfs.FS, dir string, retention time.Duration, now func() time.Time,
) (*TombstoneLog, RecoveredTombstones, error) {
	l := &TombstoneLog{
		dir:       filepath.Join(dir, tombstonesName),
		disk:      disk,
		now:       now,
		retention: retention,
		live:      map[tombstone.Tombstone]time.Time{},
	}
	if err := ensureDir(disk, l.dir); err != nil {
		return nil, RecoveredTombstones{}, err
	}
	found, err := l.load()
	if err != nil {
		return nil, RecoveredTombstones{}, err
	}
	recovered := RecoveredTombstones{Found: found, Corrupt: !found && l.number > 0, Complete: l.complete}
	for t, requestedAt := range l.live {
		recovered.Tombstones = append(recovered.Tombstones, tombstone.Aged{Tombstone: t, Age: max(0, now().Sub(requestedAt))})
	}
	return l, recovered, nil
}

// load reads the newest log that has its whole set. It reports false if there is none.
func (l *TombstoneLog) load() (found bool, err error) {
	numbers, err := l.list()
	if err != nil {
		return false, err
	}
	for _, number := range numbers {
		l.number = max(l.number, number)
	}
	for i := len(numbers) - 1; i >= 0; i-- {
		b, err := readFile(l.disk, l.path(numbers[i]))
		if err != nil {
			return false, err
		}
		if l.parse(b) {
			return true, nil
		}
	}
	return false, nil
}

// list returns the numbers of the logs, in ascending order.
func (l *TombstoneLog) list() (numbers []uint64, err error) {
	names, err := listDir(l.disk, l.dir, "")
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if number, ok := parseNumberedName(name, logPrefix); ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (l *TombstoneLog) path(number uint64) string {
	return filepath.Join(l.dir, numberedName(logPrefix, number))
}

// parse applies the records of a log. It reports false, and applies nothing, if the whole set is not in it.
func (l *TombstoneLog) parse(b []byte) (ready bool) {
	live, complete := map[tombstone.Tombstone]time.Time{}, false
	for {
		payload, rest, ok := nextLogRecord(b)
		if !ok {
			break
		}
		b = rest
		switch logRecordType(payload[0]) {
		case logTombstone:
			if t, requestedAt, ok := parseTombstone(payload[1:]); ok && requestedAt.After(live[t]) {
				live[t] = requestedAt
			}
		case logReady:
			ready = true
		case logComplete:
			complete = true
		case logIncomplete:
			complete = false
		}
	}
	if ready {
		l.live, l.complete = live, complete
	}
	return ready
}

// nextLogRecord returns the payload of the first record, which is not empty, and the bytes after it.
func nextLogRecord(b []byte) (payload, rest []byte, ok bool) {
	if len(b) < logHeaderSize {
		return nil, nil, false
	}
	size := int(binary.LittleEndian.Uint32(b))
	if size == 0 || size > maxPayload || len(b) < logHeaderSize+size {
		return nil, nil, false
	}
	payload = b[logHeaderSize : logHeaderSize+size]
	if xxhash.Sum64(payload) != binary.LittleEndian.Uint64(b[4:]) {
		return nil, nil, false
	}
	return payload, b[logHeaderSize+size:], true
}

func appendLogRecord(b []byte, recordType logRecordType, content []byte) []byte {
	payload := append([]byte{byte(recordType)}, content...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(payload))
	return append(b, payload...)
}

func encodeTombstone(t tombstone.Tombstone, requestedAt time.Time) []byte {
	b := binary.LittleEndian.AppendUint64(nil, uint64(requestedAt.UnixMilli()))
	b = binary.LittleEndian.AppendUint16(b, uint16(len(t.Node)))
	return append(append(b, t.Node...), t.Server...)
}

func parseTombstone(b []byte) (t tombstone.Tombstone, requestedAt time.Time, ok bool) {
	const fixed = 8 + 2
	if len(b) < fixed {
		return t, requestedAt, false
	}
	nodeSize := int(binary.LittleEndian.Uint16(b[8:]))
	if len(b) < fixed+nodeSize {
		return t, requestedAt, false
	}
	t.Node, t.Server = string(b[fixed:fixed+nodeSize]), string(b[fixed+nodeSize:])
	return t, time.UnixMilli(int64(binary.LittleEndian.Uint64(b))), true
}

// Append returns once tombstones, and then a mark, are durable, or with an error of the disk. What an append with an error contained may be
// on the disk, and the next append writes it again. The first append creates a log.
func (l *TombstoneLog) Append(tombstones []tombstone.Aged, mark tombstone.Mark) error {
	now := l.now()
	var records []byte
	for _, t := range tombstones {
		requestedAt := now.Add(-t.Age)
		l.live[t.Tombstone] = requestedAt
		records = appendLogRecord(records, logTombstone, encodeTombstone(t.Tombstone, requestedAt))
	}
	switch mark {
	case tombstone.MarkComplete:
		l.complete = true
		records = appendLogRecord(records, logComplete, nil)
	case tombstone.MarkIncomplete:
		l.complete = false
		records = appendLogRecord(records, logIncomplete, nil)
	case tombstone.NoMark:
	}
	if l.file == nil || l.appended >= logRotationBytes {
		return l.rotate(now)
	}
	l.appended += int64(len(records))
	if err := writeAndSync(l.file, records); err != nil {
		l.closeFile() // what follows an incomplete record would not be read
		return errors.Wrap(err, "append tombstones")
	}
	return nil
}

func writeAndSync(f vfs.File, b []byte) error {
	if _, err := f.Write(b); err != nil {
		return err
	}
	return f.Sync()
}

// rotate creates a log with the tombstones that have not expired, and removes the earlier ones.
func (l *TombstoneLog) rotate(now time.Time) error {
	l.closeFile()
	earlier, err := l.list()
	if err != nil {
		return err
	}
	var records []byte
	for t, requestedAt := range l.live {
		if now.Sub(requestedAt) > l.retention {
			delete(l.live, t)
			continue
		}
		records = appendLogRecord(records, logTombstone, encodeTombstone(t, requestedAt))
	}
	mark := logIncomplete
	if l.complete {
		mark = logComplete
	}
	records = appendLogRecord(appendLogRecord(records, mark, nil), logReady, nil)
	l.number++
	file, err := l.disk.Create(l.path(l.number), vfs.WriteCategoryUnspecified)
	if err != nil {
		return errors.Wrap(err, "create a log of tombstones")
	}
	err = writeAndSync(file, records)
	if err == nil {
		err = syncDir(l.disk, l.dir)
	}
	if err != nil {
		_ = file.Close() // the log is not used
		return errors.Wrap(err, "write a log of tombstones")
	}
	l.file, l.appended = file, 0
	for _, number := range earlier {
		_ = l.disk.Remove(l.path(number)) // one that remains is not read any more
	}
	return nil
}

func (l *TombstoneLog) closeFile() {
	if l.file != nil {
		_ = l.file.Close() // what matters was synced
		l.file = nil
	}
}

// Close closes the log.
func (l *TombstoneLog) Close() error {
	if l.file == nil {
		return nil
	}
	file := io.Closer(l.file)
	l.file = nil
	return file.Close()
}

// parseNumberedName parses the result of numberedName.
func parseNumberedName(name, prefix string) (number uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}
