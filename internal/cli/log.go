package cli

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logQueueLines is the maximum number of queued lines.
	logQueueLines = 1024
	// sameMessagePerSecond is the maximum number of lines per second with the same message.
	sameMessagePerSecond = 10
	// flushTimeout is the longest time that close waits for the queued lines to be written.
	flushTimeout = 100 * time.Millisecond
)

// asyncWriter queues lines for a background goroutine, so that a log reader that has stopped reading never blocks the
// event loop. Lines that do not fit into the queue are dropped and counted.
type asyncWriter struct {
	lines      chan []byte
	dropped    atomic.Uint64
	stop, done chan struct{}
}

// newAsyncWriter returns a writer and starts its goroutine, which writes the queued lines to out.
func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{
		lines: make(chan []byte, logQueueLines),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write implements io.Writer. It queues a copy of p and never blocks.
func (w *asyncWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// run writes queued lines to out until stop is closed, and then the lines that are left in the queue.
func (w *asyncWriter) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			out.Write(line) // an error of the log itself cannot be reported anywhere
		case <-w.stop:
			for len(w.lines) > 0 {
				out.Write(<-w.lines)
			}
			return
		}
	}
}

// close stops the goroutine and waits until it has written the queue, but at most flushTimeout.
func (w *asyncWriter) close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// NewLogger returns a logger that writes JSON lines to out and never blocks. flush writes the queued lines and stops the
// logger; lines logged after that are lost.
func NewLogger(out io.Writer) (log *zap.Logger, flush func()) {
	writer := newAsyncWriter(out)
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.AddSync(writer), zap.InfoLevel)
	// A repeated message is logged only a few times per second. The counters count every occurrence of an error.
	log = zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sameMessagePerSecond, 0))
	return log, func() {
		if n := writer.dropped.Load(); n > 0 {
			log.Warn("log lines dropped", zap.Uint64("lines", n))
		}
		writer.close()
	}
}
