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

// hopHeaders concern one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// secretHeaders may hold a key, or are ours to set.
var secretHeaders = []string{"Authorization", "Proxy-Authorization", "Cookie"}

// NewServer returns an HTTP/1.1, HTTP/2 and h2c server with the limits of every listener.
func NewServer(h http.Handler) *http.Server { return newServer(h, readTimeout) }

func newServer(h http.Handler, bodyTime time.Duration) *http.Server {
	n := negroni.New(negroni.NewRecovery())
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
		return nil, call.Refuse(call.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, call.Refuse(call.BadRequest, "the body was not received whole")
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
		return 0, call.Refuse(call.BadRequest, "header %s: %q is not a number of milliseconds", HeaderTimeout, text)
	}
	if ms > limit.Milliseconds() {
		return limit, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// Forwarded returns the request as it may be passed on: without what concerns this
// connection and without the secret, wherever it stands.
func Forwarded(r *http.Request, body []byte, secret string) *call.Request {
	return &call.Request{
		Method:   r.Method,
		Path:     r.URL.Path,
		RawQuery: cleanQuery(r.URL.RawQuery, secret),
		Header:   CleanHeader(r.Header, secret),
		Body:     body,
	}
}

// CleanHeader copies a header without hop-by-hop fields, ours, and the secret.
func CleanHeader(h http.Header, secret string) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if strings.HasPrefix(name, "Comfreycart-") || holds(values, secret) {
			continue
		}
		out[name] = values
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for _, name := range secretHeaders {
		out.Del(name)
	}
	out.Del(HeaderTimeout)
	return out
}

func holds(values []string, secret string) bool {
	if secret == "" {
		return false
	}
	for _, v := range values {
		if strings.Contains(v, secret) {
			return true
		}
	}
	return false
}

func cleanQuery(raw, secret string) string {
	if secret == "" || !strings.Contains(raw, secret) {
		return raw
	}
	var kept []string
	for part := range strings.SplitSeq(raw, "&") {
		if !strings.Contains(part, secret) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

// WriteAnswer passes a whole answer on.
func WriteAnswer(w http.ResponseWriter, a *call.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		if !slices.Contains(hopHeaders, name) {
			h[name] = values
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
