package cli

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logQueueLines is how many lines may wait to be written.
	logQueueLines = 1024
	// sameMessagePerSecond is how often a second the same message is logged.
	sameMessagePerSecond = 10
	// flushTimeout is how long close waits until the queued lines are written.
	flushTimeout = 100 * time.Millisecond
)

// asyncWriter passes lines to a goroutine of its own, so that a reader of the log that has stopped reading never blocks
// the event loop. Lines that do not fit into the queue are dropped and counted.
type asyncWriter struct {
	lines      chan []byte
	dropped    atomic.Uint64
	stop, done chan struct{}
}

// newAsyncWriter returns a writer whose goroutine writes to another one.
func newAsyncWriter(to io.Writer) *asyncWriter {
	w := &asyncWriter{
		lines: make(chan []byte, logQueueLines),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go w.run(to)
	return w
}

// Write implements io.Writer.
func (w *asyncWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// run writes lines until it is stopped, and then those in the queue.
func (w *asyncWriter) run(to io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			to.Write(line) // a log that can't be written has nowhere to be reported
		case <-w.stop:
			for len(w.lines) > 0 {
				to.Write(<-w.lines)
			}
			return
		}
	}
}

// close stops the goroutine once it has written the queue, or after flushTimeout.
func (w *asyncWriter) close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// NewLogger returns a logger that never blocks, and a function that writes out the queued lines and ends it; lines
// logged after that are lost.
func NewLogger(to io.Writer) (log *zap.Logger, flush func()) {
	writer := newAsyncWriter(to)
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.AddSync(writer), zap.InfoLevel)
	// An error that repeats is logged a few times a second; the counters have it in full.
	log = zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sameMessagePerSecond, 0))
	return log, func() {
		if n := writer.dropped.Load(); n > 0 {
			log.Warn("log lines dropped", zap.Uint64("lines", n))
		}
		writer.close()
	}
}
