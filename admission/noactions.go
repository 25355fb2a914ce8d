// Actions without effect. This file makes no decisions.

package admission

import "time"

// NoActions implements Actions and does nothing; hosts that carry out only some actions embed it.
type NoActions struct{}

// Run implements Actions.
func (NoActions) Run(RequestID) {}

// Reject implements Actions.
func (NoActions) Reject(RequestID, time.Duration, bool) {}

// Fail implements Actions.
func (NoActions) Fail(RequestID) {}

// Call implements Actions.
func (NoActions) Call(RequestID, time.Duration) {}

// SkipCall implements Actions.
func (NoActions) SkipCall(RequestID) {}

// Stop implements Actions.
func (NoActions) Stop(RequestID) {}

// KeepKey implements Actions.
func (NoActions) KeepKey(RequestID, time.Duration) {}

// ReleaseKey implements Actions.
func (NoActions) ReleaseKey(RequestID) {}

// ReplayResult implements Actions.
func (NoActions) ReplayResult(RequestID) {}

// AdvertiseLoad implements Actions.
func (NoActions) AdvertiseLoad(float64) {}

// SetHealth implements Actions.
func (NoActions) SetHealth(bool, bool) {}

// CloseIdleConnections implements Actions.
func (NoActions) CloseIdleConnections(time.Duration) {}

// SetTimer implements Actions.
func (NoActions) SetTimer(time.Duration, uint32) {}

// Log implements Actions.
func (NoActions) Log(string) {}
