package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/settings"
	"tillerusher/internal/simulatorwire"
)

// hostedInstance is an instance of the decision module with its actions and the settings of its site.
type hostedInstance struct {
	instance   *admission.Instance // nil after the instance is detached
	actions    *simulatorwire.Actions
	site       *settings.Site
	isAffected bool // whether the instance has an event in the current batch
}

// host holds all instances of this process by ID.
type host struct {
	reply     simulatorwire.Reply
	instances map[uint32]*hostedInstance
	affected  []*hostedInstance // the instances with an event in the current batch, in the order of their first events
}

// newHost returns a host without instances.
func newHost() *host { return &host{instances: map[uint32]*hostedInstance{}} }

// handle dispatches the events of a batch and then calls Settle on each instance that had an event. An instance that was
// detached in the batch is skipped.
func (h *host) handle(batch *simulatorwire.Batch) error {
	h.affected = h.affected[:0]
	for i := range batch.Events {
		if err := h.handleEvent(batch.Now, &batch.Events[i]); err != nil {
			return err
		}
	}
	for _, target := range h.affected {
		if target.instance != nil {
			h.guard(target.actions.InstanceID, func() { target.instance.Settle(batch.Now) })
		}
		target.isAffected = false
	}
	return nil
}

// handleEvent dispatches one event. An event for an instance that does not exist is an error, except an attach event
// whose settings were rejected: the reply reports that as an exception.
func (h *host) handleEvent(now time.Duration, event *simulatorwire.Event) error {
	switch event.Code {
	case simulatorwire.EventAttach:
		h.guard(event.InstanceID, func() { h.attach(event) })
	case simulatorwire.EventDetach:
		h.detach(event.InstanceID)
		return nil
	}
	target := h.instances[event.InstanceID]
	if target == nil {
		if event.Code == simulatorwire.EventAttach {
			return nil
		}
		return fmt.Errorf("event for instance %d, which was not attached", event.InstanceID)
	}
	if !target.isAffected {
		target.isAffected = true
		h.affected = append(h.affected, target)
	}
	h.guard(event.InstanceID, func() { target.dispatch(now, event) })
	return nil
}

// guard calls step and recovers from a panic in it. It reports the panic in the reply and on standard error.
func (h *host) guard(instance uint32, step func()) {
	defer func() {
		if cause := recover(); cause != nil {
			h.reply.AddException(instance, fmt.Sprintf("panic: %v", cause))
			fmt.Fprintf(os.Stderr, "simulator-adapter: panic: %v\n%s", cause, debug.Stack())
		}
	}()
	step()
}

// attach removes the instance with the event's ID, if there is one, and starts a new instance. If the settings are
// rejected, it adds an exception to the reply instead of starting an instance.
func (h *host) attach(event *simulatorwire.Event) {
	h.detach(event.InstanceID)
	hosted, err := h.newInstance(event)
	if err != nil {
		h.reply.AddException(event.InstanceID, err.Error())
		return
	}
	h.instances[event.InstanceID] = hosted
}

// newInstance returns an instance with the settings of an attach event.
func (h *host) newInstance(event *simulatorwire.Event) (*hostedInstance, error) {
	site, err := settings.Parse(event.Settings)
	if err != nil {
		return nil, err
	}
	actions := &simulatorwire.Actions{Reply: &h.reply, InstanceID: event.InstanceID}
	instance, err := admission.New(site.Admission, actions)
	if err != nil {
		return nil, err
	}
	return &hostedInstance{instance: instance, actions: actions, site: site}, nil
}

// detach removes an instance if it exists.
func (h *host) detach(instance uint32) {
	if hosted := h.instances[instance]; hosted != nil {
		hosted.instance = nil
		delete(h.instances, instance)
	}
}

// dispatch passes an event to the instance.
func (i *hostedInstance) dispatch(now time.Duration, event *simulatorwire.Event) {
	switch event.Code {
	case simulatorwire.EventRequest:
		i.instance.Request(now, event.Request)
	case simulatorwire.EventCancel:
		i.instance.Cancel(now, event.RequestID)
	case simulatorwire.EventRunFinished:
		i.instance.RunFinished(now, event.RequestID, event.Outcome)
	case simulatorwire.EventCallRequested:
		i.instance.CallRequested(now, event.RequestID)
	case simulatorwire.EventCallFinished:
		i.instance.CallFinished(now, event.RequestID, event.Outcome, event.Duration)
	case simulatorwire.EventDrain:
		i.instance.Drain(now, event.Duration)
	case simulatorwire.EventTimer:
		i.instance.Timer(now, event.TimerToken, i.site.ReadGauges(event.Gauges))
	}
}
