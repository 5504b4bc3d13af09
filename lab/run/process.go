package run

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"firplank/lab/standin"
)

// Program is how a sidecar is started: a command that is configured by NODE_CONFIG.
type Program struct {
	Args []string
	Env  []string // further variables, NAME=value
	// Options is a file of options for each sidecar, to which a scenario may add. OptionsVar is the variable that tells
	// which file it is; empty: it is told by --config.
	Options    string
	OptionsVar string
}

const (
	startTimeout = 30 * time.Second
	stopTimeout  = 15 * time.Second
	keptLogBytes = 64 << 10 // bytes of a sidecar's log, its last ones
)

// process is one sidecar process, and those that follow it at its address.
type process struct {
	number  int
	program Program
	config  string
	cores   float64 // that it may use; below 1 it is held to that
	// options renders what the scenario adds to the program's options, for an address of MessagePack-RPC; nil: nothing.
	options func(listen string) ([]byte, error)
	rpc     bool // it listens for MessagePack-RPC

	mu              sync.Mutex
	addr            string // known once it has listened
	cmd             *exec.Cmd
	ended           chan struct{} // closed when cmd has ended
	httpReservation *standin.Reservation
	rpcAddr         string // its address for MessagePack-RPC, once known
	rpcReservation  *standin.Reservation
	log             logTail
	use             ResourceUsage
	exitErr         error

	paused bool // by a fault
}

// Use is what sidecars took of the machine, over all their processes.
type ResourceUsage struct {
	CPU      time.Duration `json:"cpu_ns"`
	MemoryKB int64         `json:"memory_kb"` // the most that one process held
}

// addresses are where a sidecar listens.
type addresses struct {
	http string
	rpc  string // empty: for no MessagePack-RPC
}

// tail keeps the end of a log and finds the address in it.
type logTail struct {
	mu    sync.Mutex
	text  []byte
	rpc   bool // there are two addresses to be found
	found chan addresses
}

var (
	listeningLine  = regexp.MustCompile(`msg=listening address=(\S+)\n`)
	rpcAddressLine = regexp.MustCompile(`rpc_address=(\S+)\n`)
)

func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if t.found != nil {
		m, r := listeningLine.FindSubmatch(t.text), rpcAddressLine.FindSubmatch(t.text)
		if m != nil && (r != nil || !t.rpc) {
			at := addresses{http: string(m[1])}
			if r != nil {
				at.rpc = string(r[1])
			}
			t.found <- at
			t.found = nil
		}
	}
	if len(t.text) > 2*keptLogBytes {
		t.text = append(t.text[:0], t.text[len(t.text)-keptLogBytes:]...)
	}
	return len(p), nil
}

func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(bytes.ToValidUTF8(t.text, []byte("?")))
}

// isPaused reports whether a fault has stopped it.
func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

// start starts the process and waits until it listens; the first time at an address that the kernel chooses, later at
// the same one.
func (p *process) start(ctx context.Context) error {
	found := make(chan addresses, 1)
	ended, err := p.spawn(found)
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", p.number, err)
	}
	select {
	case at := <-found:
		p.mu.Lock()
		p.addr, p.rpcAddr = at.http, at.rpc
		p.mu.Unlock()
		return nil
	case <-ended:
		return fmt.Errorf("sidecar %d ended before it listened: %w\n%s", p.number, p.exitErr, p.log.String())
	case <-time.After(startTimeout):
		return fmt.Errorf("sidecar %d does not listen\n%s", p.number, p.log.String())
	case <-ctx.Done():
		return ctx.Err()
	}
}

// spawn starts the program, and returns what is closed when it has ended. Where it listens comes on found.
func (p *process) spawn(found chan addresses) (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.mu.Lock()
	p.log.text, p.log.rpc, p.log.found = nil, p.rpc, found
	p.log.mu.Unlock()
	listen := cmp.Or(p.addr, "127.0.0.1:0")
	p.releaseAddresses()
	args, env, err := p.argsAndEnv()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = append(append(os.Environ(), env...), "NODE_CONFIG="+p.config, "NODE_LISTEN="+listen)
	cmd.Stderr = &p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the laboratory
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.paused = cmd, ended, false
	if p.cores > 0 && p.cores < 1 {
		go p.limitCPU(cmd.Process, ended)
	}
	go func() {
		defer close(ended)
		p.recordExit(cmd, cmd.Wait())
	}()
	return ended, nil
}

// noteEnd notes what an ended process took, and keeps its addresses for the next one.
func (p *process) recordExit(cmd *exec.Cmd, exit error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitErr = exit
	if st := cmd.ProcessState; st != nil {
		p.use.CPU += st.UserTime() + st.SystemTime()
		if ru, ok := st.SysUsage().(*syscall.Rusage); ok {
			p.use.MemoryKB = max(p.use.MemoryKB, ru.Maxrss)
		}
	}
	if p.addr != "" {
		p.httpReservation = standin.Reserve(p.addr)
	}
	if p.rpcAddr != "" {
		p.rpcReservation = standin.Reserve(p.rpcAddr)
	}
}

// release frees the addresses that are kept while nothing listens there. The caller holds mu.
func (p *process) releaseAddresses() {
	p.httpReservation.Release()
	p.rpcReservation.Release()
	p.httpReservation, p.rpcReservation = nil, nil
}

// withOptions returns the program's arguments and variables, with a file of options if there are any. The caller holds mu.
func (p *process) argsAndEnv() (args, env []string, err error) {
	args, env = p.program.Args, p.program.Env
	path := p.program.Options
	if p.options != nil {
		var text []byte
		if path != "" {
			if text, err = os.ReadFile(path); err != nil {
				return nil, nil, fmt.Errorf("options: %w", err)
			}
		}
		scenarioOptions, err := p.options(cmp.Or(p.rpcAddr, "127.0.0.1:0"))
		if err != nil {
			return nil, nil, err
		}
		path = p.config + ".toml"
		if err := replaceFile(path, append(append(text, '\n'), scenarioOptions...)); err != nil {
			return nil, nil, fmt.Errorf("options: %w", err)
		}
	}
	switch {
	case path == "":
	case p.program.OptionsVar != "":
		env = append(slices.Clone(env), p.program.OptionsVar+"="+path)
	default:
		args = append(slices.Clone(args), "--config", path)
	}
	return args, env, nil
}

// awaitReady waits until the sidecar says that it serves.
func (p *process) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for {
		resp, err := client.Get("http://" + p.address() + "/up")
		if err == nil {
			_ = resp.Body.Close() // the body has been read, or is not wanted
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("sidecar %d is not ready: %w\n%s", p.number, ctx.Err(), p.log.String())
		}
	}
}

func (p *process) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

func (p *process) signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("sidecar %d: %v: %w", p.number, sig, err)
	}
	return nil
}

// awaitEnd waits until the process has ended, and ends it by force when that takes too long.
func (p *process) awaitExit() error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		_ = p.signal(syscall.SIGKILL) // fails only where the process has ended
		<-ended
		return fmt.Errorf("sidecar %d did not end on SIGTERM\n%s", p.number, p.log.String())
	}
	return nil
}

// close ends the process, if it runs, and frees its address.
func (p *process) close() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		_ = p.signal(syscall.SIGKILL) // fails only where the process has ended
		_ = p.awaitExit()             // it was killed: how it ended says nothing
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseAddresses()
}

// rpcAddress is where clients of MessagePack-RPC find the sidecar.
func (p *process) rpcAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rpcAddr
}

// running reports whether the process runs.
func (p *process) running() bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// pause stops the process, or lets it go on.
func (p *process) setPaused(on bool) error {
	p.mu.Lock()
	wasPaused := p.paused
	p.paused = on
	p.mu.Unlock()
	if !on && !wasPaused {
		return nil // it may be stopped for its part of a core, and has to stay so
	}
	if on {
		return p.signal(syscall.SIGSTOP)
	}
	return p.signal(syscall.SIGCONT)
}

// holdPeriod is the time in which a process may use its part of a core.
const cpuQuotaPeriod = 50 * time.Millisecond

// hold keeps a process to its part of a core until it has ended: who has used it up is stopped until the next period,
// as a quota of the kernel's would do, for which one needs privileges.
func (p *process) limitCPU(process *os.Process, ended <-chan struct{}) {
	pid := process.Pid
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	quota := time.Duration(p.cores * float64(cpuQuotaPeriod))
	start, usedBefore := time.Now(), processTime(pid)
	stopped := false
	for {
		select {
		case <-tick.C:
		case <-ended:
			return
		}
		used := processTime(pid) - usedBefore
		switch now := time.Now(); {
		case now.Sub(start) >= cpuQuotaPeriod:
			start = now
			usedBefore += min(used, quota) // what went beyond is owed
			switch {
			case !stopped:
			case used >= 2*quota:
				_ = process.Signal(syscall.SIGSTOP) // the end of a fault may have let it go on
			default:
				p.mu.Lock()
				if !p.paused {
					_ = process.Signal(syscall.SIGCONT) // fails only where the process has ended
				}
				p.mu.Unlock()
				stopped = false
			}
		case used >= quota && !stopped:
			_ = process.Signal(syscall.SIGSTOP) // fails only where the process has ended
			stopped = true
		}
	}
}

// processTime is the processor time that a process has used; 0 once it is gone.
func processTime(pid int) time.Duration {
	var ts syscall.Timespec
	clock := int32(^pid)<<3 | 2 // the clock of a whole process, as clock_getcpuclockid(3) has it
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, uintptr(clock), uintptr(unsafe.Pointer(&ts)), 0); errno != 0 {
		return 0
	}
	return time.Duration(ts.Nano())
}
