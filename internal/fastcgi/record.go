package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The record types (section 8).
const (
	typeBeginRequest    = 1
	typeAbortRequest    = 2
	typeEndRequest      = 3
	typeParams          = 4
	typeStdin           = 5
	typeStdout          = 6
	typeStderr          = 7
	typeGetValues       = 9
	typeGetValuesResult = 10
	typeUnknownType     = 11
)

// The protocol statuses of an END_REQUEST record.
const (
	statusComplete    = 0
	statusOverloaded  = 2
	statusUnknownRole = 3
)

// The application statuses that this package writes. They correspond to the exit status of a CGI program.
const (
	appSuccess = 0
	appFailure = 1
)

const (
	version       = 1
	roleResponder = 1
	flagKeepConn  = 1

	headerSize       = 8
	beginRequestSize = 8 // of the content
	endRequestSize   = 8 // of the content
	unknownTypeSize  = 8 // of the content
	maxContent       = 65535

	// Lengths in name-value pairs below minLongLength are encoded in one byte. Longer ones are encoded in four bytes with
	// the highest bit set.
	minLongLength = 128
	longLengthBit = 1 << 31

	// managementID is the request ID of management records, which belong to no request.
	managementID = 0
)

// errTruncatedPair reports a list of name-value pairs that ends in the middle of a pair.
var errTruncatedPair = errors.New("fastcgi: truncated name-value pair")

// VersionError reports a record whose version is not 1. The bytes after its header can't be parsed.
type VersionError struct{ Version byte }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("fastcgi: record version %d, want 1", e.Version)
}

// recordHeader is the header of a record.
type recordHeader struct {
	recordType    byte
	requestID     uint16
	contentLength int
	paddingLength int
}

// parseHeader parses a record header.
func parseHeader(p *[headerSize]byte) (recordHeader, error) {
	if p[0] != version {
		return recordHeader{}, &VersionError{Version: p[0]}
	}
	return recordHeader{
		recordType:    p[1],
		requestID:     binary.BigEndian.Uint16(p[2:]),
		contentLength: int(binary.BigEndian.Uint16(p[4:])),
		paddingLength: int(p[6]),
	}, nil
}

// recordHandler handles the records of a recordReader. For each record, content is called with the parts of its content in
// order, and then endRecord.
type recordHandler interface {
	content(h recordHeader, p []byte)
	endRecord(h recordHeader) error
}

// recordReader splits a byte stream into records. It passes content to the handler as it is read and buffers only headers.
type recordReader struct {
	header      [headerSize]byte
	headerBytes int // number of bytes in header
	current     recordHeader
	inRecord    bool // the header of current was read
	contentLeft int
	paddingLeft int
}

// hasPartialRecord reports whether a record was read partially.
func (r *recordReader) hasPartialRecord() bool { return r.inRecord || r.headerBytes > 0 }

// feed reads the next bytes. It returns the first error of a header or of the handler.
func (r *recordReader) feed(data []byte, handler recordHandler) error {
	for len(data) > 0 || r.inRecord && r.contentLeft == 0 && r.paddingLeft == 0 {
		if !r.inRecord {
			var err error
			if data, err = r.readHeader(data); err != nil || !r.inRecord {
				return err
			}
		}
		data = r.readContent(data, handler)
		if r.contentLeft > 0 {
			continue
		}
		data = r.skipPadding(data)
		if r.paddingLeft == 0 {
			r.inRecord = false
			if err := handler.endRecord(r.current); err != nil {
				return err
			}
		}
	}
	return nil
}

// readHeader reads bytes of a header, begins the record once the header is complete, and returns the bytes after it.
func (r *recordReader) readHeader(data []byte) ([]byte, error) {
	n := copy(r.header[r.headerBytes:], data)
	r.headerBytes += n
	if r.headerBytes < headerSize {
		return nil, nil
	}
	header, err := parseHeader(&r.header)
	if err != nil {
		return nil, err
	}
	r.current, r.headerBytes, r.inRecord = header, 0, true
	r.contentLeft, r.paddingLeft = header.contentLength, header.paddingLength
	return data[n:], nil
}

// readContent passes bytes of the content to the handler and returns the bytes after the content.
func (r *recordReader) readContent(data []byte, handler recordHandler) []byte {
	n := min(r.contentLeft, len(data))
	if n > 0 {
		handler.content(r.current, data[:n])
		r.contentLeft -= n
	}
	return data[n:]
}

// skipPadding skips bytes of the padding and returns the bytes after it.
func (r *recordReader) skipPadding(data []byte) []byte {
	n := min(r.paddingLeft, len(data))
	r.paddingLeft -= n
	return data[n:]
}

// appendHeader appends the header of a record without padding.
func appendHeader(buf []byte, recordType byte, requestID uint16, contentLength int) []byte {
	return append(buf, version, recordType, byte(requestID>>8), byte(requestID),
		byte(contentLength>>8), byte(contentLength), 0, 0)
}

// appendStream appends the content of a stream as records, followed by the empty record that ends the stream.
func appendStream(buf []byte, recordType byte, requestID uint16, content []byte) []byte {
	for len(content) > 0 {
		n := min(len(content), maxContent)
		buf = append(appendHeader(buf, recordType, requestID, n), content[:n]...)
		content = content[n:]
	}
	return appendHeader(buf, recordType, requestID, 0)
}

// appendEndRequest appends an END_REQUEST record.
func appendEndRequest(buf []byte, requestID uint16, appStatus uint32, protocolStatus byte) []byte {
	buf = appendHeader(buf, typeEndRequest, requestID, endRequestSize)
	buf = binary.BigEndian.AppendUint32(buf, appStatus)
	return append(buf, protocolStatus, 0, 0, 0)
}

// appendUnknownType appends an UNKNOWN_TYPE record, which is the response to a management record of an unknown type.
func appendUnknownType(buf []byte, recordType byte) []byte {
	buf = appendHeader(buf, typeUnknownType, managementID, unknownTypeSize)
	return append(buf, recordType, 0, 0, 0, 0, 0, 0, 0)
}

// appendPair appends one name-value pair (section 3.4).
func appendPair(buf []byte, name, value string) []byte {
	buf = appendLength(buf, len(name))
	buf = appendLength(buf, len(value))
	buf = append(buf, name...)
	return append(buf, value...)
}

// appendLength appends the length of a name or value.
func appendLength(buf []byte, n int) []byte {
	if n < minLongLength {
		return append(buf, byte(n))
	}
	return binary.BigEndian.AppendUint32(buf, uint32(n)|longLengthBit)
}

// parsePairs calls yield for each name-value pair of a list. The slices share memory with list.
func parsePairs(list []byte, yield func(name, value []byte)) error {
	for len(list) > 0 {
		nameLength, afterNameLength, err := parseLength(list)
		if err != nil {
			return err
		}
		valueLength, afterValueLength, err := parseLength(afterNameLength)
		if err != nil {
			return err
		}
		list = afterValueLength
		if nameLength > len(list) || valueLength > len(list)-nameLength {
			return errTruncatedPair
		}
		end := nameLength + valueLength
		yield(list[:nameLength], list[nameLength:end])
		list = list[end:]
	}
	return nil
}

// parseLength parses the length of a name or value. It returns the length and the bytes after it.
func parseLength(p []byte) (int, []byte, error) {
	switch {
	case len(p) >= 1 && p[0] < minLongLength:
		return int(p[0]), p[1:], nil
	case len(p) >= 4:
		return int(binary.BigEndian.Uint32(p) &^ longLengthBit), p[4:], nil
	}
	return 0, nil, errTruncatedPair
}
