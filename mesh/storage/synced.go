package storage

import (
	"encoding/binary"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// The file "synced" next to the generations has the sequence number of the newest synced save, in 16 bytes, little
// endian: the number (8) and its xxHash64 (8). It detects lost saves: pebble drops an incomplete end of its log, whether
// that was cut short while writing or altered later, and a state with a lower sequence number than in this file is
// therefore corrupt. The file is written after a save was synced, and is never synced itself. After a power loss, it may
// be missing, torn or of an earlier save. It then detects less, but a valid number is always that of a synced save.
const syncedSize = 8 + 8

func encodeSynced(sequence uint64) []byte {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, syncedSize), sequence)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// decodeSynced returns 0, which no state is below, if b is incomplete or invalid.
func decodeSynced(b []byte) (sequence uint64) {
	if len(b) != syncedSize || binary.LittleEndian.Uint64(b[8:]) != xxhash.Sum64(b[:8]) {
		return 0
	}
	return binary.LittleEndian.Uint64(b)
}

func syncedPath(dir string) string { return filepath.Join(registerDir(dir), syncedName) }

// readSynced returns the sequence number of a save that is known to have been synced, or 0 if there is none.
func readSynced(disk vfs.FS, dir string) (sequence uint64, err error) {
	path := syncedPath(dir)
	if there, err := exists(disk, path); err != nil || !there {
		return 0, err
	}
	b, err := readFile(disk, path)
	return decodeSynced(b), err
}

// RecordSynced records that the last Save returned without an error. It only helps to detect more corruption. Therefore
// it may be called after the caller has acted on the save, and its errors are ignored.
func (s *Store) RecordSynced() {
	if s.generation == nil {
		return
	}
	if s.syncedFile == nil {
		f, err := s.disk.OpenReadWrite(syncedPath(s.dir), vfs.WriteCategoryUnspecified)
		if err != nil {
			return
		}
		s.syncedFile = f
	}
	if _, err := s.syncedFile.WriteAt(encodeSynced(s.sequence), 0); err != nil {
		s.closeSyncedFile()
	}
}

func (s *Store) closeSyncedFile() {
	if s.syncedFile != nil {
		_ = s.syncedFile.Close() // ignored, as the file only helps to detect corruption
		s.syncedFile = nil
	}
}
