// Package daemon runs a catalogue server as a child process for tests and load tests. It writes the configuration file,
// starts and stops the process, and collects its log.
package daemon

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// AnyCore is the value of Command.Core for a process that may run on all cores.
const AnyCore = -1

// ErrStillRunning is returned by Process.Wait if the process has not exited within the timeout.
var ErrStillRunning = errors.New("daemon: the process has not exited")

// Command describes the process to start.
type Command struct {
	Program string
	Args    []string
	Env     []string // NAME=VALUE, added to this process's environment
	Core    int      // index of the only core that the process may use, or AnyCore
}

// Process is a started daemon. It is safe for concurrent use.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed after the process has exited
}

// Start starts the daemon. The daemon's standard error is written to the log.
func Start(command Command, log *Log) (*Process, error) {
	cmd := exec.Command(command.Program, command.Args...)
	cmd.Env = append(os.Environ(), command.Env...)
	cmd.Stderr = log
	if err := startOnCore(cmd, command.Core); err != nil {
		return nil, err
	}
	process := &Process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		cmd.Wait() // Process.Wait returns the exit status as part of the process's state
		close(process.exited)
	}()
	return process, nil
}

// startOnCore starts a program on the core with the given index, or on all cores if core is AnyCore.
func startOnCore(cmd *exec.Cmd, core int) error {
	if core < 0 {
		return cmd.Start()
	}
	runtime.LockOSThread() // a child inherits the CPU affinity of the thread that starts it
	defer runtime.UnlockOSThread()
	var original, pinned unix.CPUSet
	if err := unix.SchedGetaffinity(0, &original); err != nil {
		return err
	}
	pinned.Set(core)
	if err := unix.SchedSetaffinity(0, &pinned); err != nil {
		return fmt.Errorf("daemon: pin to core %d: %w", core, err)
	}
	startErr := cmd.Start()
	restoreErr := unix.SchedSetaffinity(0, &original)
	if startErr != nil {
		return startErr
	}
	return restoreErr
}

// OS returns the underlying os.Process.
func (p *Process) OS() *os.Process { return p.cmd.Process }

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) error { return p.cmd.Process.Signal(signal) }

// Exited returns a channel that is closed after the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Wait waits until the process exits and returns its final state. It returns ErrStillRunning after the timeout.
func (p *Process) Wait(timeout time.Duration) (*os.ProcessState, error) {
	select {
	case <-p.exited:
		return p.cmd.ProcessState, nil
	case <-time.After(timeout):
		return nil, ErrStillRunning
	}
}

// Kill kills the process if it is still running, and waits until it has exited.
func (p *Process) Kill() {
	p.cmd.Process.Kill() // fails only if the process has already exited
	<-p.exited
}
