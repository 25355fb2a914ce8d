package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"tillerusher/internal/daemon"
	"tillerusher/internal/fake"
)

// deployFile is the deploy file, relative to the root of the repository.
const deployFile = "deploy/balancer.toml"

// runPattern finds the run command in the deploy file.
var runPattern = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// stopWait is how long the end of a case waits for a program after SIGTERM, longer than the stop timeouts of the programs.
const stopWait = 6 * time.Second

// environment holds everything that one case starts: the record, the temporary folder and the programs.
type environment struct {
	trouble bool // whether the disruption is played
	start   time.Time
	folder  string // temporary
	prefix  string // of the run command

	mu       sync.Mutex
	record   *os.File
	programs []*program
}

// program is one started program of the project.
type program struct {
	*daemon.Process
	log daemon.Log
}

// newEnvironment creates the record and the temporary folder of a case.
func newEnvironment(recordFile string, trouble bool) (*environment, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		record.Close()
		return nil, err
	}
	e := &environment{trouble: trouble, start: time.Now(), folder: folder, record: record}
	e.printf("disruption: %t", trouble)
	return e, nil
}

// printf writes one line to the record and to standard output.
func (e *environment) printf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(e.start).Seconds()) + fmt.Sprintf(format, args...)
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintln(e.record, line)
	fmt.Println(line)
}

// run starts a program by the run command of the deploy file, with arguments and further variables of the environment.
func (e *environment) run(arguments string, env ...string) (*program, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	found := runPattern.FindSubmatch(text)
	if found == nil {
		return nil, errors.New("the deploy file has no run command")
	}
	command := strings.TrimSpace(e.prefix + string(found[1]) + " " + arguments)
	e.printf("start: %s", command)
	env = append(env, "TMPDIR="+e.folder)
	started := &program{}
	shell := daemon.Command{Program: "/bin/sh", Args: []string{"-c", command}, Env: env, Core: daemon.AnyCore}
	if started.Process, err = daemon.Start(shell, &started.log); err != nil {
		return nil, err
	}
	e.programs = append(e.programs, started)
	return started, nil
}

// close ends the programs, adds their logs to the record and removes the temporary folder.
func (e *environment) close() {
	for _, p := range e.programs {
		p.Signal(syscall.SIGTERM) // fails only if the process has exited
	}
	for i, p := range e.programs {
		if _, err := p.Wait(stopWait); err != nil {
			p.Kill()
		}
		fmt.Fprintf(e.record, "log of program %d:\n%s", i+1, p.log.String())
	}
	e.record.Close()
	os.RemoveAll(e.folder)
}

// waitLog waits until the program has logged a message.
func (p *program) waitLog(message string) error {
	return waitFor("log line "+message, func() bool { return p.log.Last(message, nil) != nil })
}

// waitTimeout is how long the set-up of a case waits for a condition.
const waitTimeout = 10 * time.Second

// waitFor waits until a condition holds.
func waitFor(condition string, holds func() bool) error {
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("timed out waiting for %s", condition)
		}
	}
	return nil
}

// firstService is how long a case waits after the start of a program before anything else. The platform sends no SIGHUP in the
// first second of service.
const firstService = 1200 * time.Millisecond

// router is a running router.
type router struct {
	*program
	addr, file string
}

// startRouter starts a router with the routes, in which LISTEN stands for its address.
func (e *environment) startRouter(routes string) (router, error) {
	addr, err := fake.FreeAddr()
	if err != nil {
		return router{}, err
	}
	r := router{addr: addr, file: filepath.Join(e.folder, fmt.Sprintf("routes%d.sexp", len(e.programs)+1))}
	if err := e.writeRoutes(r, routes); err != nil {
		return router{}, err
	}
	if r.program, err = e.run("route --config " + r.file + " --listen " + r.addr); err != nil {
		return router{}, err
	}
	if err := r.waitLog("interpreter up"); err != nil {
		return router{}, err
	}
	time.Sleep(firstService)
	return r, nil
}

// writeRoutes replaces the routes of a router.
func (e *environment) writeRoutes(r router, routes string) error {
	routes = strings.ReplaceAll(routes, "LISTEN", r.addr)
	e.printf("routes:\n%s", routes)
	return replaceFile(r.file, routes)
}

// reload replaces the routes of a router, sends it SIGHUP and waits until it has logged that they are in force.
func (e *environment) reload(r router, routes string) error {
	e.printf("the file is replaced, SIGHUP")
	if err := e.writeRoutes(r, routes); err != nil {
		return err
	}
	if err := r.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	return r.waitLog("routes reloaded")
}

// replaceFile replaces a file atomically.
func replaceFile(name, text string) error {
	if err := os.WriteFile(name+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// answerTimeout is how long a client waits for an answer: longer than every deadline of the routes.
const answerTimeout = 10 * time.Second

// ask sends one request on a new connection and returns the status of the answer, or 0 if there is none.
func (e *environment) ask(addr, name string, request fake.Request) int {
	client, err := fake.Dial(addr)
	if err != nil {
		e.printf("%s: no connection: %v", name, err)
		return 0
	}
	defer client.Close()
	sent := time.Now()
	if err := client.Write(request.Encode(1)); err != nil {
		e.printf("%s: not sent: %v", name, err)
		return 0
	}
	answer, err := client.ReadResponse(1, sent.Add(answerTimeout))
	if err != nil {
		e.printf("%s: no answer: %v", name, err)
		return 0
	}
	status := answer.Status
	if answer.ProtocolStatus != 0 {
		status = 503
	}
	e.printf("%s: answer %d after %v %s", name, status, time.Since(sent).Round(time.Millisecond), answer.Body)
	return status
}

// reset resets a client's connection, as a gateway that ends abruptly does.
func reset(client *fake.Gateway) {
	if conn, ok := client.Conn().(*net.TCPConn); ok {
		conn.SetLinger(0)
	}
	client.Close()
}

// get returns a read.
func get(path string) fake.Request { return fake.Request{Method: "GET", Path: path} }
