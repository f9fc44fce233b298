package api

import (
	"bytes"
	"net/http"
	"net/url"
	"regexp"
	"strings"

	"comfreycart.dev/comfreycart/internal/call"
)

// minKeyBytes is the shortest credential that is searched for in the request; a shorter one is
// too likely to occur there by chance.
const minKeyBytes = 16

// grantedKeyPattern matches keys in the format that the admin API grants.
var grantedKeyPattern = regexp.MustCompile(`(?:^|[^A-Za-z0-9_-])ck_[A-Za-z0-9_-]{32}(?:$|[^A-Za-z0-9_-])`)

// grantedKeyPrefix starts every granted key. Searching for it first avoids most runs of the
// regular expression.
const grantedKeyPrefix = "ck_"

// keyDetector finds callers' keys in a request: the key that the request was sent with, and
// any text in the format of a granted key.
type keyDetector struct{ key string }

func newKeyDetector(key string) keyDetector {
	if len(key) < minKeyBytes {
		return keyDetector{}
	}
	return keyDetector{key}
}

// inText reports whether text contains a key.
func (d keyDetector) inText(text string) bool {
	if d.key != "" && strings.Contains(text, d.key) {
		return true
	}
	return strings.Contains(text, grantedKeyPrefix) && grantedKeyPattern.MatchString(text)
}

// inBytes reports whether body contains a key.
func (d keyDetector) inBytes(body []byte) bool {
	if d.key != "" && bytes.Contains(body, []byte(d.key)) {
		return true
	}
	return bytes.Contains(body, []byte(grantedKeyPrefix)) && grantedKeyPattern.Match(body)
}

func (d keyDetector) inAnyText(values []string) bool {
	for _, v := range values {
		if d.inText(v) {
			return true
		}
	}
	return false
}

// stripQuery removes the query parameters that contain a key, escaped or not.
func (d keyDetector) stripQuery(raw string) string {
	var kept []string
	for part := range strings.SplitSeq(raw, "&") {
		plain, err := url.QueryUnescape(part)
		if d.inText(part) || err == nil && d.inText(plain) {
			continue
		}
		kept = append(kept, part)
	}
	return strings.Join(kept, "&")
}

// checkRequest refuses a request with a key in its path, body or idempotency key, from where
// it cannot be removed without changing what the request asks for.
func (d keyDetector) checkRequest(r *http.Request, body []byte) *call.Failure {
	switch {
	case d.inText(r.URL.Path):
		return call.NewRefusal(call.BadRequest, "the path holds a key; it belongs into Authorization")
	case d.inBytes(body):
		return call.NewRefusal(call.BadRequest, "the body holds a key; it belongs into Authorization")
	case d.inAnyText(r.Header.Values("Idempotency-Key")):
		return call.NewRefusal(call.BadRequest, "the idempotency key holds a key; it belongs into Authorization")
	}
	return nil
}
