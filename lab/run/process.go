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

// Program is the command that starts a sidecar. The sidecar reads its configuration from NODE_CONFIG.
type Program struct {
	Args []string
	Env  []string // further variables, NAME=value
	// Options is the options file of each sidecar, to which a scenario may add. OptionsVar is the environment variable that
	// carries its path. If it is empty, the path is passed as --config.
	Options    string
	OptionsVar string
}

const (
	startTimeout = 30 * time.Second
	stopTimeout  = 15 * time.Second
	keptLogBytes = 64 << 10 // the end of a sidecar's log that is kept for error messages
)

// process is a sidecar's process, and after restarts its successors at the same addresses.
type process struct {
	number  int
	program Program
	config  string
	cores   float64 // CPU cores that it may use; limitCPU enforces values below 1
	// options returns what the scenario adds to the program's options, given the address for MessagePack-RPC; nil: nothing.
	options func(listen string) ([]byte, error)
	rpc     bool // whether it listens for MessagePack-RPC

	mu              sync.Mutex
	addr            string // empty until it first listens
	cmd             *exec.Cmd
	ended           chan struct{} // closed when cmd has ended
	httpReservation *standin.Reservation
	rpcAddr         string // its address for MessagePack-RPC; empty until it first listens
	rpcReservation  *standin.Reservation
	log             logTail
	use             ResourceUsage
	exitErr         error

	paused bool // whether a fault has stopped it
}

// ResourceUsage is the CPU time and memory that sidecars used, over all their processes.
type ResourceUsage struct {
	CPU      time.Duration `json:"cpu_ns"`
	MemoryKB int64         `json:"memory_kb"` // the highest resident set of one process
}

// addresses are the listen addresses of a sidecar.
type addresses struct {
	http string
	rpc  string // empty if it does not listen for MessagePack-RPC
}

// logTail keeps the end of a log and finds the listen addresses in it.
type logTail struct {
	mu    sync.Mutex
	text  []byte
	rpc   bool // whether a MessagePack-RPC address is expected too
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

// isPaused reports whether a fault has stopped the process.
func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

// start starts the process and waits until it listens. The kernel chooses the address at the first start; later starts reuse
// it.
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
		return fmt.Errorf("sidecar %d exited before it listened: %w\n%s", p.number, p.exitErr, p.log.String())
	case <-time.After(startTimeout):
		return fmt.Errorf("sidecar %d: timed out waiting for it to listen\n%s", p.number, p.log.String())
	case <-ctx.Done():
		return ctx.Err()
	}
}

// spawn starts the program and returns a channel that is closed when it has exited. Its listen addresses are sent on found.
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
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the laboratory process
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

// recordExit records the resources that an exited process used, and reserves its addresses for the next one.
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

// releaseAddresses ends the reservations of the addresses, so that a process can listen there. The caller holds mu.
func (p *process) releaseAddresses() {
	p.httpReservation.Release()
	p.rpcReservation.Release()
	p.httpReservation, p.rpcReservation = nil, nil
}

// argsAndEnv returns the program's arguments and environment variables, with the options file if there is one. The caller holds
// mu.
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

// awaitReady waits until the sidecar reports on /up that it serves.
func (p *process) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for {
		resp, err := client.Get("http://" + p.address() + "/up")
		if err == nil {
			_ = resp.Body.Close() // the body has been read or is not needed
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

// awaitExit waits until the process has exited, and kills it after stopTimeout.
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
		return fmt.Errorf("sidecar %d did not exit on SIGTERM\n%s", p.number, p.log.String())
	}
	return nil
}

// close kills the process if it runs, and releases its addresses.
func (p *process) close() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		_ = p.signal(syscall.SIGKILL) // fails only where the process has ended
		_ = p.awaitExit()             // it was killed, so its exit status is of no interest
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseAddresses()
}

// rpcAddress returns the sidecar's address for MessagePack-RPC.
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

// setPaused stops the process or resumes it.
func (p *process) setPaused(on bool) error {
	p.mu.Lock()
	wasPaused := p.paused
	p.paused = on
	p.mu.Unlock()
	if !on && !wasPaused {
		return nil // limitCPU may have stopped it, and resumes it by itself
	}
	if on {
		return p.signal(syscall.SIGSTOP)
	}
	return p.signal(syscall.SIGCONT)
}

// cpuQuotaPeriod is the period over which a process may use its share of a core.
const cpuQuotaPeriod = 50 * time.Millisecond

// limitCPU limits a process to its share of a core until it has exited. A process that has used up its quota is stopped until
// the next period, as with the kernel's CPU quota, which would need privileges.
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
			usedBefore += min(used, quota) // use above the quota counts in the next period
			switch {
			case !stopped:
			case used >= 2*quota:
				_ = process.Signal(syscall.SIGSTOP) // the end of a fault may have resumed it
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

// processTime returns the CPU time that a process has used; 0 once it is gone.
func processTime(pid int) time.Duration {
	var ts syscall.Timespec
	clock := int32(^pid)<<3 | 2 // the clock of the whole process, see clock_getcpuclockid(3)
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, uintptr(clock), uintptr(unsafe.Pointer(&ts)), 0); errno != 0 {
		return 0
	}
	return time.Duration(ts.Nano())
}
