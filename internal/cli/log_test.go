package cli

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"tillerusher/internal/servertest"
)

// blockedWriter is a writer whose Write blocks until the channel is closed.
type blockedWriter chan bool

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w
	return len(p), nil
}

// TestLogNeverBlocks checks that neither logging nor flushing blocks when the queue is full and nobody reads the log.
func TestLogNeverBlocks(t *testing.T) {
	out := make(blockedWriter)
	defer close(out)
	log, flush := NewLogger(out)
	returned := make(chan bool)
	go func() {
		for i := range 10 * logQueueLines {
			log.Info(strings.Repeat("x", i%100))
		}
		flush()
		close(returned)
	}()
	select {
	case <-returned:
	case <-time.After(servertest.WaitTimeout):
		t.Fatal("logging or flushing blocked")
	}
}

// TestLogFlush checks that flush writes all queued lines, and that a repeated message is logged only a few times.
func TestLogFlush(t *testing.T) {
	var out bytes.Buffer
	log, flush := NewLogger(&out)
	for range 500 {
		log.Warn("again")
	}
	log.Info("last")
	flush()
	if n := strings.Count(out.String(), "again"); n == 0 || n > 100 || !strings.Contains(out.String(), `"msg":"last"`) {
		t.Errorf("%d repeated lines, want 1 to 100 and the last line in %q", n, out.String())
	}
}
