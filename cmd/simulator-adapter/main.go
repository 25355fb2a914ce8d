// Command simulator-adapter hosts the simulator's instances of the decision module. It reads batches of events from
// standard input and writes one reply for each batch to standard output, without buffering.
package main

import (
	"fmt"
	"io"
	"os"

	"tillerusher/internal/simulatorwire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// serve reads batches from in and writes the replies to out until the input ends.
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
			return fmt.Errorf("write reply: %w", err)
		}
	}
}
