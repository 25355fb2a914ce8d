package clustersim

import (
	"testing"
	"time"
)

// TestRuleChecker checks that each kind of violation is detected.
func TestRuleChecker(t *testing.T) {
	config := DefaultConfig()
	config.Servers.Count = 1
	class := &config.Classes[1]
	for rule, violate := range map[Rule]func(checker *ruleChecker){
		RuleLost: func(checker *ruleChecker) { checker.attemptAnswered(1, outcomeServed, class.Deadline+time.Second) },
		RuleDuplicate: func(checker *ruleChecker) {
			checker.runStarted(1, 0, 1)
			checker.runEnded(1, 0)
			checker.attemptAnswered(1, outcomeRejected, 2)
		},
		RuleDrain: func(checker *ruleChecker) {
			checker.drainStarted(0, 0)
			checker.serverStopped(0, 1, exitDrained)
		},
		RuleCrash: func(checker *ruleChecker) {
			config.Servers.MemoryKB = 1
			checker.exceedsMemory(0, 1)
			config.Servers.MemoryKB = 1e6
		},
	} {
		checker := newRuleChecker(&config)
		checker.serverStarted(0)
		checker.attemptSent(1, 7, class, 10)
		checker.attemptArrived(1, 0, 0)
		checker.attemptRead(1, 0)
		if violate(checker); checker.violations[rule] == 0 {
			t.Errorf("no violation of rule %s was recorded", rule)
		}
	}
	checker := newRuleChecker(&config)
	checker.serverStarted(0)
	for n := range uint64(2) {
		checker.attemptSent(n, 7, class, 10)
		checker.attemptArrived(n, 0, 0)
		checker.attemptRead(n, 0)
		checker.runStarted(n, 0, 1)
	}
	if checker.violations[RuleDuplicate] == 0 {
		t.Error("a second run for the same key was not recorded as a violation")
	}
	checker.finish(time.Hour)
	if checker.violations[RuleLost] == 0 {
		t.Error("an attempt that was never answered was not recorded as a violation")
	}
}
