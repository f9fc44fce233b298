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
)

// readRequest is a request and what its connection needs to know of it.
type readRequest struct {
	Request
	// last is set if the caller asked to close the connection afterwards.
	last bool
	// held is the part of the server's body bytes that the request holds.
	held int64
}

// unreadable says why a request was not read; the connection ends after the reply.
type unreadable struct {
	status int
	detail string
}

// refusable has the statuses of requests that were not read.
var refusable = []int{
	http.StatusBadRequest, http.StatusRequestTimeout, http.StatusRequestEntityTooLarge,
	http.StatusRequestHeaderFieldsTooLarge, http.StatusNotImplemented, http.StatusServiceUnavailable,
}

func malformed(detail string) *unreadable { return &unreadable{http.StatusBadRequest, detail} }

// readSlack is what the buffer may read of the bytes behind a head.
const readSlack = 4 << 10

// readRequest reads a request whole. It returns neither a request nor a problem if the
// caller left in the middle.
func (c *conn) readRequest() (*readRequest, *unreadable) {
	limits := c.server.Limits()
	c.source.head(limits.HeaderBytes+readSlack, limits.HeaderTimeout)
	text := textproto.NewReader(c.in)
	line, err := text.ReadLine()
	if err != nil {
		return nil, c.headFault(err)
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, c.headFault(err)
	}
	r, bad := c.head(line, http.Header(header))
	if bad != nil {
		return nil, bad
	}
	if bad := c.readBody(r, limits.BodyBytes); bad != nil {
		if bad == cutOff {
			return nil, nil
		}
		return nil, bad
	}
	return r, nil
}

// cutOff stands for a body whose caller left.
var cutOff = &unreadable{}

// headFault tells a head that is too large or too slow from a caller that left. The
// header's parser takes any end within a line for a malformed one.
func (c *conn) headFault(err error) *unreadable {
	var bad textproto.ProtocolError
	switch {
	case c.source.left == 0:
		return &unreadable{http.StatusRequestHeaderFieldsTooLarge, "the request's head is too large"}
	case errors.Is(c.source.failed, os.ErrDeadlineExceeded):
		return &unreadable{http.StatusRequestTimeout, "the request's head did not come in time"}
	case c.source.failed != nil:
		return nil
	case errors.As(err, &bad):
		return malformed("malformed header: " + bad.Error())
	}
	return nil
}

// head takes a request's first line and header apart.
func (c *conn) head(line string, h http.Header) (*readRequest, *unreadable) {
	method, rest, ok1 := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	major, minor, ok3 := http.ParseHTTPVersion(proto)
	if !ok1 || !ok2 || !ok3 || major != 1 || !httpguts.ValidHeaderFieldName(method) || !validTarget(target) {
		return nil, malformed("malformed request line")
	}
	if bad := c.checkHeader(h); bad != nil {
		return nil, bad
	}
	hosts := h["Host"]
	if len(hosts) != 1 || !httpguts.ValidHostHeader(hosts[0]) {
		return nil, malformed("a request needs one valid Host header")
	}
	h.Del("Host")
	r := &readRequest{Request: Request{Method: method, Target: target, Host: hosts[0], Header: h}}
	r.last = httpguts.HeaderValuesContainsToken(h["Connection"], "close") ||
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

// checkHeader refuses values that do not belong in a header, and headers that must not
// stand twice.
func (c *conn) checkHeader(h http.Header) *unreadable {
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
	for _, name := range c.server.Single {
		if len(h[name]) > 1 {
			return malformed("header " + name + " stands more than once")
		}
	}
	return nil
}

// readBody reads a request's body, whose framing must not be ambiguous.
func (c *conn) readBody(r *readRequest, limit int64) *unreadable {
	length, chunked, bad := framing(r.Header)
	if bad != nil {
		return bad
	}
	r.Header.Del("Content-Length")
	r.Header.Del("Transfer-Encoding")
	r.Header.Del("Trailer")
	if !chunked && length == 0 {
		return nil
	}
	if length > limit {
		return &unreadable{http.StatusRequestEntityTooLarge, "the body exceeds " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	if r.Header.Get("Expect") != "" {
		if !strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
			return malformed("unknown expectation")
		}
		r.Header.Del("Expect")
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return cutOff
		}
	}
	c.source.body()
	if chunked {
		return c.readChunked(r, limit)
	}
	return c.readLength(r, length)
}

// framing returns the length of a body, or that it comes in chunks.
func framing(h http.Header) (length int64, chunked bool, bad *unreadable) {
	lengths, encodings := h["Content-Length"], h["Transfer-Encoding"]
	switch {
	case len(lengths) > 0 && len(encodings) > 0:
		return 0, false, malformed("both Content-Length and Transfer-Encoding")
	case len(lengths) > 1 || len(encodings) > 1:
		return 0, false, malformed("the body's framing is given more than once")
	case len(encodings) == 1 && !strings.EqualFold(encodings[0], "chunked"):
		return 0, false, &unreadable{http.StatusNotImplemented, "unknown Transfer-Encoding"}
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

func (c *conn) readLength(r *readRequest, length int64) *unreadable {
	if !c.server.bodies.TryAcquire(length) {
		return noMemory()
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, c.in, length); err != nil {
		c.server.bodies.Release(length)
		return bodyFault(err)
	}
	r.Body, r.held = body.Bytes(), length
	return nil
}

// readChunked reads a body in chunks; it grows its part of the server's bytes as it goes.
func (c *conn) readChunked(r *readRequest, limit int64) (bad *unreadable) {
	chunks := httputil.NewChunkedReader(c.in)
	var body bytes.Buffer
	held := int64(0)
	defer func() {
		if bad != nil {
			c.server.bodies.Release(held)
		}
	}()
	for {
		if !c.server.bodies.TryAcquire(writePart) {
			return noMemory()
		}
		held += writePart
		_, err := io.CopyN(&body, chunks, writePart)
		if int64(body.Len()) > limit {
			return &unreadable{http.StatusRequestEntityTooLarge, "the body exceeds " + strconv.FormatInt(limit, 10) + " bytes"}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return bodyFault(err)
		}
	}
	if _, err := textproto.NewReader(c.in).ReadMIMEHeader(); err != nil {
		return bodyFault(err)
	}
	r.Body, r.held = body.Bytes(), held
	return nil
}

func noMemory() *unreadable {
	return &unreadable{http.StatusServiceUnavailable, "too many bytes of requests are held"}
}

func bodyFault(err error) *unreadable {
	var bad textproto.ProtocolError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &unreadable{http.StatusRequestTimeout, "the body stopped coming"}
	case errors.As(err, &bad):
		return malformed("malformed trailer")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return cutOff
	}
	var network interface{ Timeout() bool }
	if errors.As(err, &network) {
		return cutOff
	}
	return malformed("malformed chunk")
}
