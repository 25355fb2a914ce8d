// Package fastcgi reads and writes FastCGI 1.0 as an application in the role Responder sees it. It owns no
// socket: a Session is fed bytes and writes its records to an output.
package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The record types.
const (
	typeBeginRequest    = 1
	typeAbort           = 2
	typeEnd             = 3
	typeParams          = 4
	typeStdin           = 5
	typeStdout          = 6
	typeGetValues       = 9
	typeGetValuesResult = 10
	typeUnknown         = 11
)

// The protocol statuses of an END_REQUEST record.
const (
	statusComplete    = 0
	statusOverloaded  = 2
	statusUnknownRole = 3
)

const (
	version       = 1
	headerSize    = 8
	roleResponder = 1
	flagKeepConn  = 1
	maxContent    = 65535
)

// errTruncatedPair says that a list of names and values ends in the middle of one.
var errTruncatedPair = errors.New("fastcgi: cut name-value pair")

// recordHeader is the head of one record.
type recordHeader struct {
	recordType byte
	requestID  uint16
	content    int
	padding    int
}

// recordReader cuts a byte stream into records, wherever the stream is split. Content is handed on as it comes, so
// that nothing but a header is ever buffered.
type recordReader struct {
	head   [headerSize]byte
	have   int // bytes of head
	rec    recordHeader
	inside bool // rec is being read
	left   int  // body bytes still to come
	pad    int  // drawPadding bytes still to come
}

// recordHandler takes what a parser finds: parts of the content in order, then the end of the record.
type recordHandler interface {
	content(r recordHeader, p []byte)
	endRecord(r recordHeader) error
}

// feed takes in the next bytes.
func (ps *recordReader) feed(p []byte, to recordHandler) error {
	for len(p) > 0 || ps.inside && ps.left == 0 && ps.pad == 0 {
		if !ps.inside {
			n := copy(ps.head[ps.have:], p)
			ps.have += n
			p = p[n:]
			if ps.have < headerSize {
				return nil
			}
			if ps.head[0] != version {
				return fmt.Errorf("fastcgi: record of version %d", ps.head[0])
			}
			ps.rec = recordHeader{recordType: ps.head[1], requestID: binary.BigEndian.Uint16(ps.head[2:]),
				content: int(binary.BigEndian.Uint16(ps.head[4:])), padding: int(ps.head[6])}
			ps.have, ps.inside, ps.left, ps.pad = 0, true, ps.rec.content, ps.rec.padding
		}
		if n := min(ps.left, len(p)); n > 0 {
			to.content(ps.rec, p[:n])
			ps.left -= n
			p = p[n:]
		}
		if ps.left == 0 {
			n := min(ps.pad, len(p))
			ps.pad -= n
			p = p[n:]
			if ps.pad == 0 {
				ps.inside = false
				if err := to.endRecord(ps.rec); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// appendHeader adds the head of a record without padding.
func appendHeader(b []byte, kind byte, id uint16, content int) []byte {
	return append(b, version, kind, byte(id>>8), byte(id), byte(content>>8), byte(content), 0, 0)
}

// appendStream adds a stream's content as records, and the empty record that ends it.
func appendStream(b []byte, kind byte, id uint16, content []byte) []byte {
	for len(content) > 0 {
		n := min(len(content), maxContent)
		b = append(appendHeader(b, kind, id, n), content[:n]...)
		content = content[n:]
	}
	return appendHeader(b, kind, id, 0)
}

// appendEnd adds an END_REQUEST record.
func appendEnd(b []byte, id uint16, appStatus uint32, status byte) []byte {
	b = binary.BigEndian.AppendUint32(appendHeader(b, typeEnd, id, 8), appStatus)
	return append(b, status, 0, 0, 0)
}

// appendPair adds one name and value.
func appendPair(b []byte, name, value string) []byte {
	for _, n := range []int{len(name), len(value)} {
		if n < 128 {
			b = append(b, byte(n))
		} else {
			b = binary.BigEndian.AppendUint32(b, uint32(n)|1<<31)
		}
	}
	return append(append(b, name...), value...)
}

// parsePairs calls take for each name and value of a list.
func parsePairs(p []byte, take func(name, value []byte)) error {
	for len(p) > 0 {
		var n [2]int
		for i := range n {
			switch {
			case len(p) >= 1 && p[0] < 128:
				n[i] = int(p[0])
				p = p[1:]
			case len(p) >= 4:
				n[i] = int(binary.BigEndian.Uint32(p) &^ (1 << 31))
				p = p[4:]
			default:
				return errTruncatedPair
			}
		}
		if n[0] > len(p) || n[1] > len(p)-n[0] {
			return errTruncatedPair
		}
		take(p[:n[0]], p[n[0]:n[0]+n[1]])
		p = p[n[0]+n[1]:]
	}
	return nil
}
