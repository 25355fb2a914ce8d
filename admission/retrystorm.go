// Detection of retry storms from the arrivals. The interface is in interface.go.

package admission

import "time"

const (
	// stormRetryShare is the part of the arrivals that are retries in a retry storm.
	stormRetryShare = 0.5
	// stormReadDelay is the delay before requests are read in a retry storm, as a part of the longest
	// objective.
	stormReadDelay = 0.1
)

// trafficMonitor keeps averages over the latest arrivals, each with the weight learnWeight.
type trafficMonitor struct {
	retryShare float64 // part that were marked as retries
	readDelay  float64 // seconds between their arrival at the machine and being read
}

// countArrival counts one request that was read.
func (m *trafficMonitor) countArrival(isRetry bool, queueingDelay time.Duration) {
	delay := max(queueingDelay, 0).Seconds()
	m.readDelay += (delay - m.readDelay) * learnWeight
	m.retryShare *= 1 - learnWeight
	if isRetry {
		m.retryShare += learnWeight
	}
}

// decayReadDelay lets the read delay fall as if a request without delay had been read: a server that is
// sent nothing has no backlog.
func (m *trafficMonitor) decayReadDelay() { m.readDelay *= 1 - learnWeight }

// isRetryStorm tells whether the server spends its time on reading rather than on runs: most arrivals are
// retries despite rejections, or arrivals wait long before they are read. Rejections then ask for no retry
// on any server. The test does not depend on the cause of the retries or of the backlog. It does harm where
// one slow server so prevents retries on others that have room.
func (in *Instance) isRetryStorm() bool {
	if in.traffic.retryShare > stormRetryShare {
		return true
	}
	return in.traffic.readDelay > stormReadDelay*in.longestObjective.Seconds()
}
