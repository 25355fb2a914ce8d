package fastcgi

import "errors"

// minSkipAllowance is how many bytes a connection may skip at its start and after a valid request.
const minSkipAllowance = 64 << 10

// errTooManySkipped is returned once a connection has skipped more bytes than its allowance permits.
var errTooManySkipped = errors.New("fastcgi: too many bytes that belong to no request")

// skipAllowance limits the bytes that a connection may skip: the rest of requests that were ended before their last byte, and
// records that belong to no request. Each request that begins adds its maximum size. So the connection survives many requests
// that are ended early, one after the other or interleaved, but not an endless body.
type skipAllowance struct {
	left        int // number of bytes that may still be skipped; negative once the allowance is exceeded
	requestSize int // maximum size of one request
	max         int // of left
}

// newSkipAllowance returns the allowance of a new connection.
func newSkipAllowance(limits Limits) skipAllowance {
	const emptyRecords = 2 // at the end of the parameters and of the body
	requestSize := limits.ParamBytes + limits.BodyBytes + emptyRecords*headerSize
	return skipAllowance{
		left:        minSkipAllowance,
		requestSize: requestSize,
		max:         minSkipAllowance + openRequestsFactor*limits.OpenRequests*requestSize,
	}
}

// skip counts n skipped bytes.
func (a *skipAllowance) skip(n int) { a.left -= n }

// skipEmptyRecord counts a record that belongs to no request. The content of a record that is not empty was counted already.
func (a *skipAllowance) skipEmptyRecord(header recordHeader) {
	if header.contentLength == 0 {
		a.skip(headerSize)
	}
}

// requestBegun adds the maximum size of a request, up to the sum for all requests that may be open.
func (a *skipAllowance) requestBegun() { a.left = min(a.left+a.requestSize, a.max) }

// requestReceived restores the minimum after a valid request.
func (a *skipAllowance) requestReceived() { a.left = max(a.left, minSkipAllowance) }

// isExceeded reports whether too many bytes were skipped.
func (a *skipAllowance) isExceeded() bool { return a.left < 0 }
