// Package daemon runs a catalogue server as a child process, for tests and load tests: its configuration file, its start,
// its log and its end.
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

// AnyCore is the Command.Core of a process that may run on all cores.
const AnyCore = -1

// ErrStillRunning is returned by Process.Wait where the process did not end in time.
var ErrStillRunning = errors.New("the daemon did not end")

// Command is the program to start, with its environment.
type Command struct {
	Program string
	Args    []string
	Env     []string // NAME=VALUE, in addition to this process's own environment
	Core    int      // the only core that it may use, or AnyCore
}

// Process is a started daemon. It is safe for concurrent use.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed after the process has ended
}

// Start starts the daemon. Its standard error is written to the log.
func Start(command Command, log *Log) (*Process, error) {
	cmd := exec.Command(command.Program, command.Args...)
	cmd.Env = append(os.Environ(), command.Env...)
	cmd.Stderr = log
	if err := startOnCore(cmd, command.Core); err != nil {
		return nil, err
	}
	process := &Process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		cmd.Wait() // the exit status is read from the state
		close(process.exited)
	}()
	return process, nil
}

// startOnCore starts a program on one core, or on all where core is AnyCore.
func startOnCore(cmd *exec.Cmd, core int) error {
	if core < 0 {
		return cmd.Start()
	}
	runtime.LockOSThread() // a child inherits the cores of the thread that starts it
	defer runtime.UnlockOSThread()
	var before, pinned unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	pinned.Set(core)
	if err := unix.SchedSetaffinity(0, &pinned); err != nil {
		return fmt.Errorf("core %d: %w", core, err)
	}
	startErr := cmd.Start()
	restoreErr := unix.SchedSetaffinity(0, &before)
	if startErr != nil {
		return startErr
	}
	return restoreErr
}

// OS returns the operating system's handle of the process.
func (p *Process) OS() *os.Process { return p.cmd.Process }

// Signal sends the process a signal.
func (p *Process) Signal(signal os.Signal) error { return p.cmd.Process.Signal(signal) }

// Exited returns a channel that is closed after the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Wait waits for the end of the process and returns its state then, or ErrStillRunning after the timeout.
func (p *Process) Wait(timeout time.Duration) (*os.ProcessState, error) {
	select {
	case <-p.exited:
		return p.cmd.ProcessState, nil
	case <-time.After(timeout):
		return nil, ErrStillRunning
	}
}

// Kill kills the process, unless it has ended, and waits for its end.
func (p *Process) Kill() {
	p.cmd.Process.Kill() // fails only for a process that has ended
	<-p.exited
}
