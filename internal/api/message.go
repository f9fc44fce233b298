// Package api holds what a node's HTTP listeners share: server limits, reading and forwarding
// requests, and writing answers.
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

// Limits of every listener that NewServer is used for.
const (
	readHeaderTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// HeaderTimeout carries the caller's timeout for its request, in milliseconds.
const HeaderTimeout = "Request-Timeout-Ms"

// hopByHopHeaders apply to a single connection or message and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// reservedHeaderPrefix is the prefix of headers that only the nodes set; a caller's are dropped.
const reservedHeaderPrefix = "Comfreycart-"

// credentialHeaders may hold a key and are never forwarded.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "Cookie"}

// NewServer returns an HTTP/1.1, HTTP/2 and h2c server with the limits of every listener.
func NewServer(h http.Handler) *http.Server { return newServer(h, readTimeout) }

func newServer(h http.Handler, readTimeout time.Duration) *http.Server {
	n := negroni.New(negroni.HandlerFunc(recoverPanic))
	n.UseHandler(h)
	s := &http.Server{
		Handler:           n,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         &http.Protocols{},
	}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetHTTP2(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// ReadBody reads the whole body of a request. It refuses a body of more than limit bytes.
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

// Timeout returns a request's timeout: the value of HeaderTimeout, but at most limit, or limit
// if the header is missing.
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

// ForwardedRequest returns the request to forward: without trailers, hop-by-hop headers and
// keys, neither the caller's own key nor any other granted one. It refuses a request whose
// key cannot be removed without changing what the request asks for.
func ForwardedRequest(r *http.Request, body []byte, key string) (*call.Request, *call.Failure) {
	keys := newKeyDetector(key)
	if f := keys.checkRequest(r, body); f != nil {
		return nil, f
	}
	return &call.Request{
		Method:   r.Method,
		Path:     r.URL.Path,
		RawQuery: keys.stripQuery(r.URL.RawQuery),
		Header:   forwardedHeader(r.Header, keys),
		Body:     body,
	}, nil
}

func forwardedHeader(h http.Header, keys keyDetector) http.Header {
	out := stripHopByHop(h)
	for name, values := range out {
		if keys.inText(strings.ToLower(name)) || keys.inAnyText(values) {
			delete(out, name)
		}
	}
	for _, name := range credentialHeaders {
		out.Del(name)
	}
	out.Del(HeaderTimeout)
	return out
}

// AnswerHeader copies an answer's header without hop-by-hop and reserved fields.
func AnswerHeader(h http.Header) http.Header { return stripHopByHop(h) }

// stripHopByHop copies a header without hop-by-hop and reserved fields.
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

// WriteAnswer writes a backend server's answer as the response to a request.
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

// contentLength returns the value of Content-Length: the length of the body, or, for an answer
// without one (as to HEAD), the value that the backend server sent.
func contentLength(method string, a *call.Answer) string {
	if hasBody(method, a.Status) {
		return strconv.Itoa(len(a.Body))
	}
	return a.Header.Get("Content-Length")
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
