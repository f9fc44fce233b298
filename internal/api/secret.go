package api

import (
	"bytes"
	"net/http"
	"net/url"
	"regexp"
	"strings"

	"comfreycart.dev/comfreycart/internal/call"
)

// minSecretBytes is the length from which any credential is looked for; a shorter
// one is too likely to stand in a request by chance.
const minSecretBytes = 16

// grantedKey matches keys as the system grants them.
var grantedKey = regexp.MustCompile(`(?:^|[^A-Za-z0-9_-])ck_[A-Za-z0-9_-]{32}(?:$|[^A-Za-z0-9_-])`)

// grantedPrefix begins each granted key.
const grantedPrefix = "ck_"

// secret recognizes callers' keys in a request: the one that came with it, and
// whatever looks like a granted one.
type secret struct{ key string }

func newSecret(key string) secret {
	if len(key) < minSecretBytes {
		return secret{}
	}
	return secret{key}
}

// in reports whether a text holds a key.
func (s secret) in(text string) bool {
	if s.key != "" && strings.Contains(text, s.key) {
		return true
	}
	return strings.Contains(text, grantedPrefix) && grantedKey.MatchString(text)
}

// inBytes is in for a body.
func (s secret) inBytes(body []byte) bool {
	if s.key != "" && bytes.Contains(body, []byte(s.key)) {
		return true
	}
	return bytes.Contains(body, []byte(grantedPrefix)) && grantedKey.Match(body)
}

func (s secret) inAny(values []string) bool {
	for _, v := range values {
		if s.in(v) {
			return true
		}
	}
	return false
}

// cleanQuery drops the parameters that hold a key, escaped or not.
func (s secret) cleanQuery(raw string) string {
	var kept []string
	for part := range strings.SplitSeq(raw, "&") {
		plain, err := url.QueryUnescape(part)
		if s.in(part) || err == nil && s.in(plain) {
			continue
		}
		kept = append(kept, part)
	}
	return strings.Join(kept, "&")
}

// refuse returns a refusal if a key stands where it cannot be taken out without
// changing what the request asks for.
func (s secret) refuse(r *http.Request, body []byte) *call.Failure {
	switch {
	case s.in(r.URL.Path):
		return call.NewRefusal(call.BadRequest, "the path holds a key; it belongs into Authorization")
	case s.inBytes(body):
		return call.NewRefusal(call.BadRequest, "the body holds a key; it belongs into Authorization")
	case s.inAny(r.Header.Values("Idempotency-Key")):
		return call.NewRefusal(call.BadRequest, "the idempotency key holds a key; it belongs into Authorization")
	}
	return nil
}
