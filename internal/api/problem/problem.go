// Package problem writes failures as RFC 9457 problem documents.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
)

// HeaderOutcome carries the outcome: whether the caller's request may have run.
const HeaderOutcome = "Comfreycart-Outcome"

// Document is an RFC 9457 problem document with the members reason, outcome and path added.
type Document struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Detail  string       `json:"detail,omitempty"`
	Reason  call.Reason  `json:"reason"`
	Outcome call.Outcome `json:"outcome,omitempty"`
	// Path is a JSON pointer to the invalid value in the request's document.
	Path string `json:"path,omitempty"`
}

// Write writes a failure as the response to a request.
func Write(w http.ResponseWriter, f *call.Failure) {
	w.Header().Set(HeaderOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	WriteDocument(w, Document{
		Status:  f.Status(),
		Detail:  f.Detail,
		Reason:  f.Reason,
		Outcome: f.Outcome,
	})
}

// WriteDocument writes a document as the response to a request. It sets the type and the title.
func WriteDocument(w http.ResponseWriter, d Document) {
	d.Type = "about:blank"
	d.Title = http.StatusText(d.Status)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(d.Status)
	_ = json.NewEncoder(w).Encode(d)
}
