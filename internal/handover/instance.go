// Package handover implements the hot restart of a sidecar: a new process starts beside the running one, receives duplicates
// of its listeners, and replaces it. The processes of one sidecar share a directory. It records which of them are alive and
// ready, and which servers operators have ejected manually, because ejections must outlive each process. The package does not
// depend on HTTP or on the state of servers. Peers are polled; the only goroutine is started by ServeListeners and ends with
// Leave.
//
// The directory has these files. n-N represents process number N, which increases with each process. The process holds an
// advisory lock on it (flock(2)) that the kernel releases however the process ends. The suffix .ready marks a process that
// serves requests. s-N is the Unix socket from which others receive the listeners of process N. out.json contains the ejected
// servers; it is replaced by rename while the lock of the file named lock is held.
//
// Start reading at Join.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lockFileName    = "lock"
	ejectedFileName = "out.json"
	readySuffix     = ".ready"

	// MaxEjected bounds the number of manually ejected servers.
	MaxEjected = 1024
	// lockTimeout and lockRetryInterval are used to acquire the directory's lock.
	lockTimeout       = 500 * time.Millisecond
	lockRetryInterval = time.Millisecond
	// maxEjectedFileSize bounds the size of out.json, in bytes.
	maxEjectedFileSize = 1 << 20
)

// ErrNoPredecessor is returned if no earlier process of the sidecar is alive.
var ErrNoPredecessor = errors.New("handover: no earlier process is alive")

// ErrTooManyEjected is returned if more than MaxEjected servers would be ejected.
var ErrTooManyEjected = fmt.Errorf("more than %d servers ejected", MaxEjected)

// Instance represents this process among those of its sidecar. Its methods are not safe for concurrent use, except
// UpdateEjected, Ejected and EjectedVersion.
type Instance struct {
	dir            string
	number         int
	lockFile       *os.File
	lockPath       string            // of lockFile
	listenerSocket *net.UnixListener // nil: none
}

// Join registers this process in a directory under the next number. It creates the directory if it is missing, and removes the
// files of processes that have ended.
func Join(dir string) (*Instance, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	inst := &Instance{dir: dir}
	err := inst.withLock(func() error {
		files, err := inst.instanceFiles()
		if err != nil {
			return err
		}
		for _, o := range files {
			inst.number = max(inst.number, o.number)
			if !o.alive {
				_ = os.Remove(filepath.Join(dir, o.name)) // it may have been removed already
			}
		}
		inst.number++
		inst.lockPath = filepath.Join(dir, "n-"+strconv.Itoa(inst.number))
		if inst.lockFile, err = os.OpenFile(inst.lockPath, os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600); err != nil {
			return err
		}
		return unix.Flock(int(inst.lockFile.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	})
	if err != nil {
		inst.Leave()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return inst, nil
}

// Leave removes this process from the directory and stops serving listeners.
func (i *Instance) Leave() {
	if i.listenerSocket != nil {
		_ = i.listenerSocket.Close() // accepting ends either way
		i.listenerSocket = nil
	}
	if i.lockFile != nil {
		_ = os.Remove(i.lockPath) // it may have been removed already
		_ = i.lockFile.Close()    // closing the descriptor releases the lock
		i.lockFile = nil
	}
}

// MarkReady publishes that this process serves requests.
func (i *Instance) MarkReady() error {
	if strings.HasSuffix(i.lockPath, readySuffix) {
		return nil
	}
	if err := os.Rename(i.lockPath, i.lockPath+readySuffix); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	i.lockPath += readySuffix
	return nil
}

// Peers summarizes the other live processes of the sidecar.
type Peers struct {
	Older        bool  // at least one was started before this process
	Younger      bool  // at least one was started after this process
	ReadyYounger bool  // at least one younger process serves requests
	Usage        Usage // the sum of their last published usage
}

// Usage is how much of the shared limits a process uses.
type Usage struct {
	Clients, Servers int  // open connections
	Draining         bool // the process accepts no more connections
}

// PublishUsage writes this process's usage for the others. Errors are ignored, because the next call writes it again.
func (i *Instance) PublishUsage(u Usage) {
	draining := 0
	if u.Draining {
		draining = 1
	}
	_, _ = i.lockFile.WriteAt(fmt.Appendf(nil, "%8d %8d %d\n", u.Clients, u.Servers, draining), 0)
}

// readUsage reads the usage published in a process's file. It returns zero if there is none.
func (i *Instance) readUsage(name string) (u Usage) {
	text, err := os.ReadFile(filepath.Join(i.dir, name))
	draining := 0
	if err == nil {
		if n, _ := fmt.Sscan(string(text), &u.Clients, &u.Servers, &draining); n < 3 {
			return Usage{}
		}
	}
	u.Draining = draining == 1
	return u
}

// Peers returns the state of the other processes. A process whose file cannot be read is not counted; if the directory cannot be
// read, none is.
func (i *Instance) Peers() Peers {
	var peers Peers
	others, err := i.instanceFiles()
	if err != nil {
		return peers
	}
	for _, other := range others {
		if other.alive && other.number != i.number {
			peers.Older = peers.Older || other.number < i.number
			peers.Younger = peers.Younger || other.number > i.number
			peers.ReadyYounger = peers.ReadyYounger || other.number > i.number && other.ready
			u := i.readUsage(other.name)
			peers.Usage.Clients, peers.Usage.Servers = peers.Usage.Clients+max(0, u.Clients), peers.Usage.Servers+max(0, u.Servers)
			peers.Usage.Draining = u.Draining
		}
	}
	return peers
}

type instanceFile struct {
	name         string
	number       int
	ready, alive bool
}

func (i *Instance) instanceFiles() ([]instanceFile, error) {
	entries, err := os.ReadDir(i.dir)
	if err != nil {
		return nil, err
	}
	var files []instanceFile
	for _, e := range entries {
		text, ok := strings.CutPrefix(e.Name(), "n-")
		text, ready := strings.CutSuffix(text, readySuffix)
		n, err := strconv.Atoi(text)
		if !ok || err != nil {
			continue
		}
		files = append(files, instanceFile{name: e.Name(), number: n, ready: ready, alive: n == i.number || i.isLocked(e.Name())})
	}
	return files, nil
}

// isLocked reports whether a process's file is still locked, which means that the process is alive.
func (i *Instance) isLocked(name string) bool {
	f, err := os.Open(filepath.Join(i.dir, name))
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }() // only read from
	return errors.Is(unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB), unix.EWOULDBLOCK)
}

// withLock calls fn while it holds the directory's lock.
func (i *Instance) withLock(fn func() error) error {
	f, err := os.OpenFile(filepath.Join(i.dir, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // only read from
	if err := acquireLock(int(f.Fd())); err != nil {
		return err
	}
	return fn()
}

// acquireLock acquires an exclusive lock. The lock is normally held only briefly, but a process could be stopped while it holds
// the lock, so the wait is bounded by lockTimeout.
func acquireLock(fd int) error {
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err := unix.Flock(fd, unix.LOCK_EX|unix.LOCK_NB)
		if err != unix.EWOULDBLOCK && err != unix.EINTR || time.Now().After(deadline) {
			return err
		}
	}
}

// Ejected maps the ids of manually ejected servers to the times of their ejection. It is encoded in out.json.
type Ejected map[string]time.Time

// UpdateEjected calls update with the present ejected servers, stores the servers as changed by update, and returns them. All
// processes read the stored set from then on. On an error nothing has changed.
func (i *Instance) UpdateEjected(update func(Ejected) error) (Ejected, error) {
	var ejected Ejected
	err := i.withLock(func() (err error) {
		if ejected, err = i.Ejected(); err != nil {
			return err
		}
		if err := update(ejected); err != nil {
			return err
		}
		if len(ejected) > MaxEjected {
			return ErrTooManyEjected
		}
		text, err := json.Marshal(ejected)
		if err != nil {
			return err
		}
		tmp := filepath.Join(i.dir, ejectedFileName+".new")
		if err := os.WriteFile(tmp, text, 0o600); err != nil {
			return err
		}
		return os.Rename(tmp, filepath.Join(i.dir, ejectedFileName))
	})
	if err != nil {
		return nil, fmt.Errorf("update ejected servers: %w", err)
	}
	return ejected, nil
}

// Ejected reads the ejected servers. The set is empty if there is no file.
func (i *Instance) Ejected() (Ejected, error) {
	path := filepath.Join(i.dir, ejectedFileName)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Ejected{}, nil
	}
	if err != nil {
		return nil, err
	}
	if info.Size() > maxEjectedFileSize {
		return nil, fmt.Errorf("%s has %d bytes: want %d at most", path, info.Size(), maxEjectedFileSize)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	ejected := Ejected{}
	if err := json.Unmarshal(text, &ejected); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return ejected, nil
}

// EjectedVersion returns a value that changes whenever the stored ejected servers change: the inode number and modification time
// of their file.
func (i *Instance) EjectedVersion() (version [2]int64) {
	var st unix.Stat_t
	if unix.Stat(filepath.Join(i.dir, ejectedFileName), &st) == nil {
		version = [2]int64{int64(st.Ino), st.Mtim.Nano()}
	}
	return version
}
