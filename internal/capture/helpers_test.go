package capture

import (
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"tillerusher/admission"
)

// testSettings returns the module settings of a server with two cores.
func testSettings() admission.Settings {
	return admission.Settings{Servers: 2, Callers: 3, Cores: 2, Tick: 5 * time.Millisecond, MemoryKB: 40000, KeyKB: 50,
		RunningMemoryFactor: 16, MaxConcurrencyFactor: 8, MaxRetryAfter: time.Second, CallerIdleTimeout: 15 * time.Second,
		Classes: []admission.Class{{LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, Weight: 1},
			{LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 2, Effect: admission.IdempotentByKey, KeyWindow: 5 * time.Second}},
		Tenants: []admission.Tenant{{Quota: 55}, {Quota: 26}}}
}

// recordedModule is a decision module whose events and actions are recorded.
type recordedModule struct {
	*Recorder
	tap *Tap
	now time.Duration
	id  admission.RequestID
}

// startRecording creates a module and starts recording it.
func startRecording(t testing.TB, directory Directory, config Config, reportError func(error)) *recordedModule {
	t.Helper()
	recorder, err := NewRecorder(directory, config, Meta{Server: "n3", Classes: []string{"look", "take"}}, time.Now, reportError)
	if err != nil {
		t.Fatal(err)
	}
	tap := NewTap(recorder, admission.NoActions{})
	module, err := admission.New(testSettings(), tap)
	if err != nil {
		t.Fatal(err)
	}
	tap.Attach(module, 0)
	return &recordedModule{Recorder: recorder, tap: tap}
}

// round passes a typical round of events to the module: a request arrives, an earlier run ends, and a timer fires in every
// thirtieth round.
func (m *recordedModule) round() {
	m.now += 3 * time.Millisecond
	m.id++
	m.tap.NameRequest(m.id, "00000000000000aa", "")
	m.tap.Request(m.now, admission.Request{ID: m.id, Class: int(m.id % 2), Tenant: int(m.id % 2), Caller: 1, SizeKB: 24.5})
	if m.id > 4 {
		m.tap.RunFinished(m.now, m.id-4, admission.OK)
	}
	if m.id%30 == 0 {
		m.tap.Timer(m.now, 0, admission.Gauges{Utilization: 0.5, Runnable: 2})
	}
	m.tap.Settle(m.now)
}

// smallConfig returns a configuration with many small blocks and segments.
func smallConfig() Config {
	return Config{SegmentBytes: minSegmentBytes, SegmentAge: time.Hour, MaxBytes: 1 << 30, BufferBytes: minBufferBytes, FlushInterval: time.Hour}
}

// ignoreError ignores disk errors, for tests that expect them.
func ignoreError(error) {}

// faultyDirectory is a directory on a disk that can be full. Writes stall while a test holds mu.
type faultyDirectory struct {
	Directory
	mu     sync.Mutex
	isFull bool
}

var errFull = errors.New("no space left on device")

func (d *faultyDirectory) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isFull = full
}

// Create implements Directory.
func (d *faultyDirectory) Create(name string) (io.WriteCloser, error) {
	file, err := d.Directory.Create(name)
	if err != nil {
		return nil, err
	}
	return faultyFile{d, file}, nil
}

// faultyFile is a file of a faultyDirectory.
type faultyFile struct {
	directory *faultyDirectory
	file      io.WriteCloser
}

// Write implements io.Writer. On a full disk it writes half of p and returns errFull.
func (f faultyFile) Write(p []byte) (int, error) {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	if f.directory.isFull {
		n, _ := f.file.Write(p[:len(p)/2])
		return n, errFull
	}
	return f.file.Write(p)
}

// Close implements io.Closer.
func (f faultyFile) Close() error { return f.file.Close() }
