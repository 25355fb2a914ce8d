package fastcgi

import "tillerusher/internal/gateway"

// Complete requests may use completeShareNumerator/completeShareDenominator of Limits.TotalBytes. The rest is left for
// requests that are being read: the handler needs the whole request to find out whether it is a retry.
const (
	completeShareNumerator   = 3
	completeShareDenominator = 4
)

// requestMemory accounts for the bytes of all open requests of all sessions, and enforces Limits.TotalBytes. Complete
// requests keep their memory until they have responses. Incomplete ones may be ended before, so that clients that do not
// complete their requests can't keep others from being read.
type requestMemory struct {
	limit         int
	used          int        // bytes of all open requests
	completeBytes int        // bytes of the complete ones among them
	reading       []*Session // sessions with incompleteBytes above 0, in any order
}

// reserve reserves n bytes for an incomplete request of a session, and reports whether it did. If the memory is full, it
// ends incomplete requests of sessions that use more memory for them than this session would.
func (m *requestMemory) reserve(s *Session, n int) bool {
	for m.used+n > m.limit {
		largest := m.largestReader()
		if largest == nil || largest.incompleteBytes <= s.incompleteBytes+n {
			return false
		}
		largest.endLargestIncomplete()
	}
	m.addIncomplete(s, n)
	return true
}

// largestReader returns the session that uses the most memory for incomplete requests, or nil if there is none.
func (m *requestMemory) largestReader() *Session {
	var largest *Session
	for _, s := range m.reading {
		if largest == nil || s.incompleteBytes > largest.incompleteBytes {
			largest = s
		}
	}
	return largest
}

// addIncomplete adds n bytes, which may be negative, to the memory of a session's incomplete requests.
func (m *requestMemory) addIncomplete(s *Session, n int) {
	m.used += n
	wasReading := s.incompleteBytes > 0
	s.incompleteBytes += n
	switch isReading := s.incompleteBytes > 0; {
	case isReading && !wasReading:
		s.readingIndex = len(m.reading)
		m.reading = append(m.reading, s)
	case wasReading && !isReading:
		m.removeReader(s)
	}
}

// removeReader removes a session from reading. The last session of the list takes its place.
func (m *requestMemory) removeReader(s *Session) {
	end := len(m.reading) - 1
	last := m.reading[end]
	m.reading[s.readingIndex], last.readingIndex = last, s.readingIndex
	m.reading[end] = nil
	m.reading = m.reading[:end]
}

// addComplete adds n bytes, which may be negative, to the memory of complete requests. It reports whether these use no more
// than their share.
func (m *requestMemory) addComplete(n int) bool {
	m.used += n
	m.completeBytes += n
	return m.completeBytes <= m.limit*completeShareNumerator/completeShareDenominator
}

// release releases the memory of a request that is completed or removed.
func (m *requestMemory) release(s *Session, req *request) {
	if req.isComplete {
		m.addComplete(-req.reservedBytes)
	} else {
		m.addIncomplete(s, -req.reservedBytes)
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
