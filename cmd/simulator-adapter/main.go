// Command simulator-adapter hosts many instances of the decision module for the simulator: it reads batches of events
// on standard input and writes one flushed reply for each on standard output.
package main

import (
	"fmt"
	"io"
	"os"

	"tillerusher/internal/simulatorwire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	host := newHost()
	reader := simulatorwire.NewReader(in)
	var batch simulatorwire.Batch
	for {
		err := reader.Next(&batch)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		host.reply.Reset()
		if err := host.handle(&batch); err != nil {
			return err
		}
		if err := host.reply.Flush(out); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}
