package front

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"os"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"comfreycart.dev/comfreycart/internal/memory"
)

// pendingRequest is a request with the state that its connection keeps for it.
type pendingRequest struct {
	Request
	// closesConn is set if the caller asked to close the connection after the reply.
	closesConn bool
	// bodyMemory is the memory reserved for the body, nil if there is none.
	bodyMemory *memory.Reservation
}

// requestError is why a request was rejected while it was read: the HTTP status and the
// detail for the caller. The connection closes after the reply.
type requestError struct {
	status int
	detail string
}

// requestErrorStatuses are all statuses that a requestError may have; each has a counter.
var requestErrorStatuses = []int{
	http.StatusBadRequest, http.StatusRequestTimeout, http.StatusRequestEntityTooLarge,
	http.StatusRequestHeaderFieldsTooLarge, http.StatusNotImplemented, http.StatusServiceUnavailable,
}

func malformed(detail string) *requestError { return &requestError{http.StatusBadRequest, detail} }

// readAheadBytes is added to the limit on a request's head, because the buffered reader may
// read bytes that follow the head.
const readAheadBytes = 4 << 10

// readRequest reads a request with its whole body. It returns neither a request nor an
// error if the caller disconnected in the middle.
func (c *conn) readRequest() (*pendingRequest, *requestError) {
	limits := c.server.Limits()
	c.reader.limitHead(limits.MaxHeaderBytes+readAheadBytes, limits.HeaderTimeout)
	text := textproto.NewReader(c.buffered)
	line, err := text.ReadLine()
	if err != nil {
		return nil, c.classifyHeadError(err)
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, c.classifyHeadError(err)
	}
	r, reqErr := c.parseHead(line, http.Header(header))
	if reqErr != nil {
		return nil, reqErr
	}
	if reqErr := c.readBody(r, limits.MaxBodyBytes); reqErr != nil {
		if reqErr == disconnected {
			return nil, nil
		}
		return nil, reqErr
	}
	return r, nil
}

// disconnected is returned if the caller disconnected while its body was read.
var disconnected = &requestError{}

// classifyHeadError returns the error for a head that is too large, too slow or malformed,
// and nil if the caller disconnected. The reader's own state is checked first because the
// header parser reports any end of input within a line as a malformed line.
func (c *conn) classifyHeadError(err error) *requestError {
	var protoErr textproto.ProtocolError
	switch {
	case c.reader.remainingBytes == 0:
		return &requestError{http.StatusRequestHeaderFieldsTooLarge, "the request's head is too large"}
	case errors.Is(c.reader.lastErr, os.ErrDeadlineExceeded):
		return &requestError{http.StatusRequestTimeout, "the request's head did not come in time"}
	case c.reader.lastErr != nil:
		return nil
	case errors.As(err, &protoErr):
		return malformed("malformed header: " + protoErr.Error())
	}
	return nil
}

// parseHead parses the request line and checks the header.
func (c *conn) parseHead(line string, h http.Header) (*pendingRequest, *requestError) {
	method, rest, ok1 := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	major, minor, ok3 := http.ParseHTTPVersion(proto)
	if !ok1 || !ok2 || !ok3 || major != 1 || !httpguts.ValidHeaderFieldName(method) || !validTarget(target) {
		return nil, malformed("malformed request line")
	}
	if reqErr := c.checkHeader(h); reqErr != nil {
		return nil, reqErr
	}
	hosts := h["Host"]
	if len(hosts) != 1 || !httpguts.ValidHostHeader(hosts[0]) {
		return nil, malformed("a request needs one valid Host header")
	}
	h.Del("Host")
	r := &pendingRequest{Request: Request{Method: method, Target: target, Host: hosts[0], Header: h}}
	r.closesConn = httpguts.HeaderValuesContainsToken(h["Connection"], "close") ||
		minor == 0 && !httpguts.HeaderValuesContainsToken(h["Connection"], "keep-alive")
	return r, nil
}

func validTarget(target string) bool {
	if !strings.HasPrefix(target, "/") {
		return false
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f {
			return false
		}
	}
	return true
}

// checkHeader rejects invalid header names and values, and repeated headers that may occur
// only once.
func (c *conn) checkHeader(h http.Header) *requestError {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("malformed header name")
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return malformed("malformed value of header " + name)
			}
		}
	}
	for _, name := range c.server.SingleValueHeaders {
		if len(h[name]) > 1 {
			return malformed("header " + name + " stands more than once")
		}
	}
	return nil
}

// readBody reads a request's body into memory. It rejects ambiguous framing, which another
// server might read differently (request smuggling).
func (c *conn) readBody(r *pendingRequest, limit int64) *requestError {
	length, chunked, reqErr := framing(r.Header)
	if reqErr != nil {
		return reqErr
	}
	r.Header.Del("Content-Length")
	r.Header.Del("Transfer-Encoding")
	r.Header.Del("Trailer")
	if !chunked && length == 0 {
		return nil
	}
	if length > limit {
		return &requestError{http.StatusRequestEntityTooLarge, "the body exceeds " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	if r.Header.Get("Expect") != "" {
		if !strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
			return malformed("unknown expectation")
		}
		r.Header.Del("Expect")
		if _, err := io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return disconnected
		}
	}
	c.reader.limitBody()
	if chunked {
		return c.readChunked(r, limit)
	}
	return c.readLength(r, length)
}

// framing returns the length of a body in bytes, or that it is chunked.
func framing(h http.Header) (length int64, chunked bool, reqErr *requestError) {
	lengths, encodings := h["Content-Length"], h["Transfer-Encoding"]
	switch {
	case len(lengths) > 0 && len(encodings) > 0:
		return 0, false, malformed("both Content-Length and Transfer-Encoding")
	case len(lengths) > 1 || len(encodings) > 1:
		return 0, false, malformed("the body's framing is given more than once")
	case len(encodings) == 1 && !strings.EqualFold(encodings[0], "chunked"):
		return 0, false, &requestError{http.StatusNotImplemented, "unknown Transfer-Encoding"}
	case len(encodings) == 1:
		return 0, true, nil
	case len(lengths) == 0:
		return 0, false, nil
	}
	n, err := strconv.ParseUint(lengths[0], 10, 62)
	if err != nil {
		return 0, false, malformed("Content-Length is not a number")
	}
	return int64(n), false, nil
}

func (c *conn) readLength(r *pendingRequest, length int64) *requestError {
	held := c.server.Memory.Reserve(0)
	if held.Grow(length) != nil {
		return bodyMemoryExceeded()
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, c.buffered, length); err != nil {
		held.Release()
		return classifyBodyError(err)
	}
	r.Body, r.bodyMemory = body.Bytes(), held
	return nil
}

// readChunked reads a chunked body. Since its length is not known beforehand, it reserves
// body memory step by step.
func (c *conn) readChunked(r *pendingRequest, limit int64) (reqErr *requestError) {
	chunks := httputil.NewChunkedReader(c.buffered)
	var body bytes.Buffer
	held := c.server.Memory.Reserve(0)
	defer func() {
		if reqErr != nil {
			held.Release()
		}
	}()
	for {
		if held.Grow(ioChunkBytes) != nil {
			return bodyMemoryExceeded()
		}
		_, err := io.CopyN(&body, chunks, ioChunkBytes)
		if int64(body.Len()) > limit {
			return &requestError{http.StatusRequestEntityTooLarge, "the body exceeds " + strconv.FormatInt(limit, 10) + " bytes"}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return classifyBodyError(err)
		}
	}
	if reqErr := c.skipTrailer(); reqErr != nil {
		return reqErr
	}
	r.Body, r.bodyMemory = body.Bytes(), held
	return nil
}

// skipTrailer reads the trailer of a chunked body, which may be as large as a head.
func (c *conn) skipTrailer() *requestError {
	limits := c.server.Limits()
	c.reader.limitHead(limits.MaxHeaderBytes+readAheadBytes, limits.HeaderTimeout)
	_, err := textproto.NewReader(c.buffered).ReadMIMEHeader()
	if err == nil {
		return nil
	}
	if c.reader.remainingBytes == 0 {
		return &requestError{http.StatusRequestHeaderFieldsTooLarge, "the body's trailer is too large"}
	}
	return classifyBodyError(err)
}

func bodyMemoryExceeded() *requestError {
	return &requestError{http.StatusServiceUnavailable, "too many bytes of requests are held"}
}

func classifyBodyError(err error) *requestError {
	var protoErr textproto.ProtocolError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &requestError{http.StatusRequestTimeout, "the body stopped coming"}
	case errors.As(err, &protoErr):
		return malformed("malformed trailer")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return disconnected
	}
	var netErr interface{ Timeout() bool }
	if errors.As(err, &netErr) {
		return disconnected
	}
	return malformed("malformed chunk")
}
