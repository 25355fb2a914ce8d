// Detection of retry storms from the arrivals. The interface is in interface.go.

package admission

import "time"

const (
	// stormRetryShare is the share of retries among the arrivals above which there is a retry storm.
	stormRetryShare = 0.5
	// stormReadDelay is the read delay, as a fraction of the longest objective, above which there is a
	// retry storm.
	stormReadDelay = 0.1
)

// trafficMonitor keeps averages over the latest arrivals. Each arrival has the weight learnWeight.
type trafficMonitor struct {
	retryShare float64 // fraction that were marked as retries
	readDelay  float64 // seconds from their arrival at the machine until they were read
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

// decayReadDelay reduces the read delay as if a request without delay had been read: a server that is sent
// no requests has no backlog.
func (m *trafficMonitor) decayReadDelay() { m.readDelay *= 1 - learnWeight }

// isRetryStorm reports whether the server spends its time on reading rather than on runs: most arrivals are
// retries despite rejections, or arrivals wait long before they are read. Rejections then ask for no retry
// on any server. The test does not depend on the cause of the retries or of the backlog. It does harm if a
// single slow server thereby prevents retries on other servers that have capacity.
func (in *Instance) isRetryStorm() bool {
	if in.traffic.retryShare > stormRetryShare {
		return true
	}
	return in.traffic.readDelay > stormReadDelay*in.longestObjective.Seconds()
}
