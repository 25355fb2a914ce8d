package fastcgi

import (
	"tillerusher/internal/gateway"
	"tillerusher/internal/usage"
)

// Complete requests may use completeShareNumerator/completeShareDenominator of Limits.TotalBytes. The rest is left for
// requests that are being read, because the handler can't find out whether a request is a retry before it has read it.
const (
	completeShareNumerator   = 3
	completeShareDenominator = 4
)

// requestMemory accounts for the bytes of all open requests of all sessions, and enforces Limits.TotalBytes. Complete
// requests keep their memory until they have responses. Incomplete ones may be ended before, so that clients that do not
// complete their requests can't keep others from being read.
type requestMemory struct {
	limit         int
	incomplete    usage.Total[*Session]
	completeBytes int
}

// used returns the number of bytes of all open requests.
func (m *requestMemory) used() int { return m.incomplete.Bytes() + m.completeBytes }

// reserve reserves n bytes for an incomplete request of a session, and reports whether it did. If the memory is full, it
// ends incomplete requests of sessions that use more memory for them than this session would.
func (m *requestMemory) reserve(s *Session, n int) bool {
	for m.used()+n > m.limit {
		largest := m.incomplete.Largest()
		if largest == nil || largest.Bytes() <= s.incompleteMemory.Bytes()+n {
			return false
		}
		largest.Owner.endLargestIncomplete()
	}
	m.incomplete.Add(&s.incompleteMemory, n)
	return true
}

// addComplete adds n bytes, which may be negative, to the memory of complete requests. It reports whether these are
// within their share.
func (m *requestMemory) addComplete(n int) bool {
	m.completeBytes += n
	return m.completeBytes <= m.limit*completeShareNumerator/completeShareDenominator
}

// release releases the memory of a request that is completed or removed.
func (m *requestMemory) release(s *Session, req *request) {
	if req.isComplete {
		m.addComplete(-req.reservedBytes)
	} else {
		m.incomplete.Add(&s.incompleteMemory, -req.reservedBytes)
	}
	req.reservedBytes = 0
}

// endLargestIncomplete ends the incomplete request that uses the most memory, for lack of memory.
func (s *Session) endLargestIncomplete() {
	var largestID uint16
	var largest *request
	for id, req := range s.open {
		isLarger := largest == nil || req.reservedBytes > largest.reservedBytes ||
			req.reservedBytes == largest.reservedBytes && id < largestID
		if !req.isComplete && isLarger {
			largestID, largest = id, req
		}
	}
	largest.invalidate(gateway.OutOfMemory)
	s.complete(largestID, largest)
}

// appendWithinLimits returns the collected part of a request with the added bytes. If they exceed a limit, it invalidates
// the request and returns collected unchanged.
func (s *Session) appendWithinLimits(req *request, collected, added []byte, limit int) []byte {
	if len(collected)+len(added) > limit {
		req.invalidate(gateway.TooLarge)
		return collected
	}
	// Many connections that send requests slowly must not exhaust the process's memory.
	if !s.shared.memory.reserve(s, len(added)) {
		req.invalidate(gateway.OutOfMemory)
		return collected
	}
	req.reservedBytes += len(added)
	return append(collected, added...)
}

// reserveComplete reserves the memory that a complete request keeps until its response. It reports whether all complete
// requests together are within their limit.
func (s *Session) reserveComplete(req *request) bool {
	req.reservedBytes = len(req.body)
	if s.limits.KeepParams {
		req.reservedBytes += len(req.params)
	}
	return s.shared.memory.addComplete(req.reservedBytes)
}
