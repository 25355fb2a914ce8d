package cli

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"tillerusher/internal/servertest"
)

// stuck is a writer that blocks until it is closed.
type stuck chan bool

func (s stuck) Write(p []byte) (int, error) {
	<-s
	return len(p), nil
}

// TestLogNeverBlocks fills a log that nobody reads: neither logging nor flushing may block.
func TestLogNeverBlocks(t *testing.T) {
	to := make(stuck)
	defer close(to)
	log, flush := NewLogger(to)
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
		t.Fatal("the log blocked")
	}
}

// TestLogFlush has all lines out before the end, and repeated ones only a few times.
func TestLogFlush(t *testing.T) {
	var out bytes.Buffer
	log, flush := NewLogger(&out)
	for range 500 {
		log.Warn("again")
	}
	log.Info("last")
	flush()
	if n := strings.Count(out.String(), "again"); n == 0 || n > 100 || !strings.Contains(out.String(), `"msg":"last"`) {
		t.Errorf("%d repeated lines in %q", n, out.String())
	}
}
