package api

import (
	"bytes"
	"net/http"
	"net/url"
	"regexp"
	"strings"

	"comfreycart.dev/comfreycart/internal/call"
)

// minKeyBytes is the length from which any credential is looked for; a shorter
// one is too likely to stand in a request by chance.
const minKeyBytes = 16

// grantedKeyPattern matches keys as the system grants them.
var grantedKeyPattern = regexp.MustCompile(`(?:^|[^A-Za-z0-9_-])ck_[A-Za-z0-9_-]{32}(?:$|[^A-Za-z0-9_-])`)

// grantedKeyPrefix begins each granted key.
const grantedKeyPrefix = "ck_"

// keyDetector recognizes callers' keys in a request: the one that came with it, and
// whatever looks like a granted one.
type keyDetector struct{ key string }

func newKeyDetector(key string) keyDetector {
	if len(key) < minKeyBytes {
		return keyDetector{}
	}
	return keyDetector{key}
}

// inText reports whether a text holds a key.
func (s keyDetector) inText(text string) bool {
	if s.key != "" && strings.Contains(text, s.key) {
		return true
	}
	return strings.Contains(text, grantedKeyPrefix) && grantedKeyPattern.MatchString(text)
}

// inBytes is in for a body.
func (s keyDetector) inBytes(body []byte) bool {
	if s.key != "" && bytes.Contains(body, []byte(s.key)) {
		return true
	}
	return bytes.Contains(body, []byte(grantedKeyPrefix)) && grantedKeyPattern.Match(body)
}

func (s keyDetector) inAnyText(values []string) bool {
	for _, v := range values {
		if s.inText(v) {
			return true
		}
	}
	return false
}

// stripQuery drops the parameters that hold a key, escaped or not.
func (s keyDetector) stripQuery(raw string) string {
	var kept []string
	for part := range strings.SplitSeq(raw, "&") {
		plain, err := url.QueryUnescape(part)
		if s.inText(part) || err == nil && s.inText(plain) {
			continue
		}
		kept = append(kept, part)
	}
	return strings.Join(kept, "&")
}

// checkRequest returns a refusal if a key stands where it cannot be taken out without
// changing what the request asks for.
func (s keyDetector) checkRequest(r *http.Request, body []byte) *call.Failure {
	switch {
	case s.inText(r.URL.Path):
		return call.NewRefusal(call.BadRequest, "the path holds a key; it belongs into Authorization")
	case s.inBytes(body):
		return call.NewRefusal(call.BadRequest, "the body holds a key; it belongs into Authorization")
	case s.inAnyText(r.Header.Values("Idempotency-Key")):
		return call.NewRefusal(call.BadRequest, "the idempotency key holds a key; it belongs into Authorization")
	}
	return nil
}
