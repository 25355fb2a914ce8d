package fake

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// errSCGI says that a request is not as the protocol has it.
var errSCGI = errors.New("standin: no SCGI request")

// readSCGI reads one request: a netstring of names and values, of which CONTENT_LENGTH comes first, and the body.
func readSCGI(c io.Reader) (params map[string]string, body []byte, err error) {
	size := 0
	for {
		var one [1]byte
		if _, err := io.ReadFull(c, one[:]); err != nil {
			return nil, nil, err
		}
		if one[0] == ':' {
			break
		}
		if one[0] < '0' || one[0] > '9' || size > 1<<20 {
			return nil, nil, fmt.Errorf("%w: length", errSCGI)
		}
		size = size*10 + int(one[0]-'0')
	}
	list := make([]byte, size+1)
	if _, err := io.ReadFull(c, list); err != nil {
		return nil, nil, err
	}
	if size == 0 || list[size] != ',' || list[size-1] != 0 {
		return nil, nil, fmt.Errorf("%w: the end of its header", errSCGI)
	}
	words := bytes.Split(list[:size-1], []byte{0})
	if len(words)%2 != 0 || string(words[0]) != "CONTENT_LENGTH" {
		return nil, nil, fmt.Errorf("%w: header", errSCGI)
	}
	params = map[string]string{}
	for i := 0; i < len(words); i += 2 {
		name := string(words[i])
		if _, twice := params[name]; twice {
			return nil, nil, fmt.Errorf("%w: %s is given twice", errSCGI, name)
		}
		params[name] = string(words[i+1])
	}
	if params["SCGI"] != "1" {
		return nil, nil, fmt.Errorf("%w: version", errSCGI)
	}
	n, err := strconv.Atoi(params["CONTENT_LENGTH"])
	if err != nil || n < 0 {
		return nil, nil, fmt.Errorf("%w: CONTENT_LENGTH", errSCGI)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(c, body)
	return params, body, err
}
