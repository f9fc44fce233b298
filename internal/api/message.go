// Package api holds what the HTTP listeners of a node have in common.
package api

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/negroni/v3"

	"comfreycart.dev/comfreycart/internal/call"
)

// Limits of every listener.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// HeaderTimeout carries the time that a caller gives its request, in milliseconds.
const HeaderTimeout = "Request-Timeout-Ms"

// hopByHopHeaders concern one connection and are never passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// reservedHeaderPrefix begins the headers that only the system sets.
const reservedHeaderPrefix = "Comfreycart-"

// credentialHeaders may hold a key.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "Cookie"}

// NewServer returns an HTTP/1.1, HTTP/2 and h2c server with the limits of every listener.
func NewServer(h http.Handler) *http.Server { return newServer(h, readTimeout) }

func newServer(h http.Handler, bodyTime time.Duration) *http.Server {
	n := negroni.New(negroni.HandlerFunc(recoverPanic))
	n.UseHandler(h)
	s := &http.Server{
		Handler:           n,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTime,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         &http.Protocols{},
	}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetHTTP2(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// ReadBody reads a request's body whole, up to limit bytes.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *call.Failure) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, call.NewRefusal(call.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, call.NewRefusal(call.BadRequest, "the body was not received whole")
	}
	return body, nil
}

// Timeout returns the time that a request is given: its header's, at most limit.
func Timeout(h http.Header, limit time.Duration) (time.Duration, *call.Failure) {
	text := h.Get(HeaderTimeout)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return 0, call.NewRefusal(call.BadRequest, "header %s is not a number of milliseconds", HeaderTimeout)
	}
	if ms > limit.Milliseconds() {
		return limit, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// ForwardedRequest returns the request as it may be passed on: without trailers, without
// what concerns this connection, and without key. A key that cannot be taken out is
// a reason to refuse the request.
func ForwardedRequest(r *http.Request, body []byte, key string) (*call.Request, *call.Failure) {
	s := newKeyDetector(key)
	if f := s.checkRequest(r, body); f != nil {
		return nil, f
	}
	return &call.Request{
		Method:   r.Method,
		Path:     r.URL.Path,
		RawQuery: s.stripQuery(r.URL.RawQuery),
		Header:   forwardedHeader(r.Header, s),
		Body:     body,
	}, nil
}

func forwardedHeader(h http.Header, s keyDetector) http.Header {
	out := stripHopByHop(h)
	for name, values := range out {
		if s.inText(strings.ToLower(name)) || s.inAnyText(values) {
			delete(out, name)
		}
	}
	for _, name := range credentialHeaders {
		out.Del(name)
	}
	out.Del(HeaderTimeout)
	return out
}

// AnswerHeader copies an answer's header without hop-by-hop fields and ours.
func AnswerHeader(h http.Header) http.Header { return stripHopByHop(h) }

// stripHopByHop copies a header without hop-by-hop fields and ours.
func stripHopByHop(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, reservedHeaderPrefix) {
			out[name] = values
		}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// WriteAnswer passes a whole answer to a request on.
func WriteAnswer(w http.ResponseWriter, r *http.Request, a *call.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		if !slices.Contains(hopByHopHeaders, name) {
			h[name] = values
		}
	}
	if length := contentLength(r.Method, a); length != "" {
		h.Set("Content-Length", length)
	}
	w.WriteHeader(a.Status)
	if hasBody(r.Method, a.Status) {
		_, _ = w.Write(a.Body)
	}
}

// contentLength is the length of the body that is sent, or for an answer without one
// the length that the backend server named.
func contentLength(method string, a *call.Answer) string {
	if hasBody(method, a.Status) {
		return strconv.Itoa(len(a.Body))
	}
	return a.Header.Get("Content-Length")
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
