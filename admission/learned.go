// What an Instance has learned of its classes, apart from what is in hand, and an Instance told of it at its start. How much
// an earlier process's knowledge counts is decided by internal/idempotency; nothing here decides.

package admission

import "time"

// LearnedClass is what was learned of a class.
type LearnedClass struct {
	Run  time.Duration // core time of a whole run
	Wall time.Duration // from the start of a run to its end
	Runs int           // that this was learned from
}

// Learned is what is worth keeping over a restart: how long runs take. What follows the load of the moment (tenants' rates,
// levels, backlogs, the running limit) is harmful when it is old, and not part of it.
type Learned struct {
	Classes []LearnedClass // by the settings' index
}

// Learned is what the Instance has learned so far.
func (in *Instance) Learned() Learned {
	l := Learned{Classes: make([]LearnedClass, len(in.classes))}
	for i, c := range in.classes {
		l.Classes[i] = LearnedClass{Run: seconds(c.run), Wall: seconds(c.wall), Runs: c.runs}
	}
	return l
}

// Recall tells an Instance what an earlier one learned. A class of which it has learned something by itself keeps that; in
// the others the Runs say how much what is recalled counts against the first runs that are measured.
func (in *Instance) Recall(l Learned) {
	for i := range min(len(l.Classes), len(in.classes)) {
		c, from := &in.classes[i], l.Classes[i]
		if c.runs == 0 && from.Run > 0 && from.Runs > 0 {
			c.run, c.wall, c.runs = from.Run.Seconds(), from.Wall.Seconds(), from.Runs
		}
	}
}
