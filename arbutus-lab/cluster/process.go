package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a program that was started. Its output is appended to a log file.
type Process struct {
	Name string

	cmd *exec.Cmd
	// done holds the exit error once the process has exited. Each reader sends it back for
	// the next one.
	done chan error
	log  *os.File
}

// start starts the program with its output appended to name.log in logDir.
func start(name, program, logDir string, args ...string) (*Process, error) {
	f, err := os.OpenFile(filepath.Join(logDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan error, 1), log: f}
	go func() { p.done <- errors.Join(cmd.Wait(), f.Close()) }()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// ID returns the process ID.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Ended reports whether the process has exited.
func (p *Process) Ended() bool { return len(p.done) > 0 }

// Wait waits until the process has exited and returns its exit error, or an error
// after the timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(timeout):
		return fmt.Errorf("%s has not exited after %s", p.Name, timeout)
	}
}

// Stop sends SIGTERM to the process and returns its exit error. If the process has not
// exited after the timeout, Stop kills it and returns an error that says so.
func (p *Process) Stop(timeout time.Duration) error {
	_ = p.Signal(syscall.SIGTERM)
	if err := p.Wait(timeout); err == nil || !isTimeout(err, p) {
		return err
	}
	return errors.Join(p.Kill(), fmt.Errorf("%s did not exit on SIGTERM and was killed", p.Name))
}

// Kill sends SIGKILL to the process, and SIGCONT in case it is frozen by SIGSTOP. It waits
// for the exit and returns nil.
func (p *Process) Kill() error {
	_ = p.Signal(syscall.SIGKILL)
	_ = p.Signal(syscall.SIGCONT)
	err := <-p.done
	p.done <- err
	return nil
}

// isTimeout reports whether Wait returned err because the process had not exited.
func isTimeout(err error, p *Process) bool {
	return err != nil && len(p.done) == 0
}

// RunProgram runs the program in the directory bin until it exits, and returns its
// output and exit code. The code is -1 if the program can't be started; the output
// then is the error.
func RunProgram(bin, program string, args ...string) (output string, code int) {
	cmd := exec.Command(filepath.Join(bin, program), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		return err.Error(), -1
	}
	return string(out), cmd.ProcessState.ExitCode()
}
