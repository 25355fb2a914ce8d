package fastcgi

import (
	"strconv"
	"strings"

	"tillerusher/internal/gateway"
)

// The CGI variables that are parsed into fields of gateway.Request (RFC 3875, section 4.1).
const (
	varRequestURI    = "REQUEST_URI" // not in the RFC, but sent by nginx and Apache
	varRequestMethod = "REQUEST_METHOD"
	varScriptName    = "SCRIPT_NAME"
	varQueryString   = "QUERY_STRING"
	varHeaderPrefix  = "HTTP_"
)

// The variables of GET_VALUES (section 4.1).
const (
	varMaxRequests      = "FCGI_MAX_REQS"
	varMultiplexesConns = "FCGI_MPXS_CONNS"
)

// initialParamsCapacity is the initial capacity of a request's maps of headers and parameters.
const initialParamsCapacity = 16

// parseRequest parses the parameters of a request. It does not parse those of an invalid request.
func (s *Session) parseRequest(req *request) (gateway.Request, error) {
	r := gateway.Request{Body: req.body, Headers: make(map[string]string, initialParamsCapacity)}
	if s.limits.KeepParams {
		r.Params = make(map[string]string, initialParamsCapacity)
	}
	if req.isInvalid {
		return r, nil
	}
	err := parsePairs(req.params, func(name, value []byte) { setParam(&r, string(name), string(value)) })
	return r, err
}

// setParam stores one parameter in the request: in Params if they are kept, and in the field or header that it sets.
func setParam(request *gateway.Request, name, value string) {
	if request.Params != nil {
		request.Params[name] = value
	}
	switch name {
	case varRequestURI:
		request.URI = value
	case varRequestMethod:
		request.Method = value
	case varScriptName:
		request.Path = value
	case varQueryString:
		request.Query = value
	default:
		if header, ok := strings.CutPrefix(name, varHeaderPrefix); ok {
			request.Headers[strings.ReplaceAll(strings.ToLower(header), "_", "-")] = value
		}
	}
}

// Respond implements gateway.Session.
func (s *Session) Respond(stream gateway.StreamID, response gateway.Response) {
	id := uint16(stream)
	req := s.open[id]
	if req == nil || !req.isComplete {
		return
	}
	if response.Overloaded {
		s.finish(id, req, appendEndRequest(s.shared.recordBuf[:0], id, appFailure, statusOverloaded))
		return
	}
	s.shared.cgiBuf = appendCGIResponse(s.shared.cgiBuf[:0], &response)
	records := appendStream(s.shared.recordBuf[:0], typeStdout, id, s.shared.cgiBuf)
	s.finish(id, req, appendEndRequest(records, id, appSuccess, statusComplete))
}

// appendCGIResponse appends a response in the format of RFC 3875, section 6.
func appendCGIResponse(buf []byte, response *gateway.Response) []byte {
	buf = append(buf, "Status: "...)
	buf = strconv.AppendInt(buf, int64(response.Status), 10)
	buf = append(buf, "\r\n"...)
	for _, field := range response.Headers {
		buf = append(buf, field.Name...)
		buf = append(buf, ": "...)
		buf = append(buf, field.Value...)
		buf = append(buf, "\r\n"...)
	}
	buf = append(buf, "\r\n"...)
	return append(buf, response.Body...)
}

// write sends records that were assembled in the shared buffer, and keeps the buffer for reuse.
func (s *Session) write(records []byte) {
	s.out.Write(records)
	s.shared.recordBuf = records[:0]
}

// finish writes a request's last records and removes it.
func (s *Session) finish(id uint16, req *request, records []byte) {
	s.write(records)
	delete(s.open, id)
	s.shared.memory.release(s, req)
	s.hasEnded = s.hasEnded || !req.keepConn
}

// handleManagement responds to a management record.
func (s *Session) handleManagement(header recordHeader, content []byte) error {
	if header.recordType != typeGetValues {
		s.write(appendUnknownType(s.shared.recordBuf[:0], header.recordType))
		return nil
	}
	var values []byte
	err := parsePairs(content, func(name, _ []byte) {
		switch string(name) {
		case varMaxRequests:
			values = appendPair(values, varMaxRequests, strconv.Itoa(s.limits.OpenRequests))
		case varMultiplexesConns:
			values = appendPair(values, varMultiplexesConns, "1")
		}
	})
	if err != nil {
		return err
	}
	records := appendHeader(s.shared.recordBuf[:0], typeGetValuesResult, managementID, len(values))
	s.write(append(records, values...))
	return nil
}
