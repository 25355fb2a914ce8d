// Command simulator-adapter hosts many instances of the decision module for the simulator: it reads batches of events
// on standard input and writes one flushed reply for each on standard output.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/settings"
	"tillerusher/internal/simulatorwire"
)

// hosted is one instance with what its settings say.
type hosted struct {
	instance *admission.Instance
	actions  *simulatorwire.Actions
	told     *settings.Site
	touched  bool
}

// host holds all instances of this process.
type host struct {
	reply     simulatorwire.Reply
	instances map[uint32]*hosted
	touched   []*hosted // those with an event in the batch, in order of their first
}

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	h := &host{instances: map[uint32]*hosted{}}
	reader := simulatorwire.NewReader(in)
	var batch simulatorwire.Batch
	for {
		if err := reader.Next(&batch); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		h.reply.Reset()
		if err := h.handle(&batch); err != nil {
			return err
		}
		if err := h.reply.Flush(out); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// handle dispatches the events of a batch and settles each instance that had one.
func (h *host) handle(b *simulatorwire.Batch) error {
	h.touched = h.touched[:0]
	for i := range b.Events {
		e := &b.Events[i]
		if e.Code == simulatorwire.EventAttach {
			h.guard(e.InstanceID, func() { h.attach(e) })
		}
		if e.Code == simulatorwire.EventDetach {
			h.drop(e.InstanceID)
			continue
		}
		target := h.instances[e.InstanceID]
		if target == nil {
			if e.Code == simulatorwire.EventAttach {
				continue // New refused it, which the reply reports
			}
			return fmt.Errorf("event for instance %d, which was not attached", e.InstanceID)
		}
		if !target.touched {
			target.touched = true
			h.touched = append(h.touched, target)
		}
		h.guard(e.InstanceID, func() { target.dispatch(b.Now, e) })
	}
	for _, target := range h.touched {
		if target.instance != nil {
			h.guard(target.actions.InstanceID, func() { target.instance.Settle(b.Now) })
		}
		target.touched = false
	}
	return nil
}

// guard reports a panic of the decision code as the wire provides.
func (h *host) guard(instance uint32, step func()) {
	defer func() {
		if cause := recover(); cause != nil {
			h.reply.AddException(instance, fmt.Sprintf("panic: %v", cause))
			fmt.Fprintf(os.Stderr, "adapter: panic: %v\n%s", cause, debug.Stack())
		}
	}()
	step()
}

// attach starts an instance in place of any earlier one of its number.
func (h *host) attach(e *simulatorwire.Event) {
	h.drop(e.InstanceID)
	told, err := settings.Parse(e.Settings)
	actions := &simulatorwire.Actions{Reply: &h.reply, InstanceID: e.InstanceID}
	var instance *admission.Instance
	if err == nil {
		instance, err = admission.New(told.Admission, actions)
	}
	if err != nil {
		h.reply.AddException(e.InstanceID, err.Error())
		return
	}
	h.instances[e.InstanceID] = &hosted{instance: instance, actions: actions, told: told}
}

// drop forgets a dead process.
func (h *host) drop(instance uint32) {
	if old := h.instances[instance]; old != nil {
		old.instance = nil
		delete(h.instances, instance)
	}
}

// dispatch hands one event to the instance.
func (t *hosted) dispatch(now time.Duration, e *simulatorwire.Event) {
	switch e.Code {
	case simulatorwire.EventRequest:
		t.instance.Request(now, e.Request)
	case simulatorwire.EventCancel:
		t.instance.Cancel(now, e.RequestID)
	case simulatorwire.EventRunFinished:
		t.instance.RunFinished(now, e.RequestID, e.Outcome)
	case simulatorwire.EventCallRequested:
		t.instance.CallRequested(now, e.RequestID)
	case simulatorwire.EventCallFinished:
		t.instance.CallFinished(now, e.RequestID, e.Outcome, e.Duration)
	case simulatorwire.EventDrain:
		t.instance.Drain(now, e.Duration)
	case simulatorwire.EventTimer:
		t.instance.Timer(now, e.TimerToken, t.told.ReadGauges(e.Gauges))
	}
}
