package node

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/test/standin/instance"
)

// A backend server in trouble sends an answer whose status is 000, in any form that a parser may let
// through. It is no answer: it reaches no caller, and claims nothing about the request.
func TestMeshPassesOnNoAnswerWithStatus000(t *testing.T) {
	f := startMesh(t, "front", "deep")
	f.publishSettings(2, "k1")
	f.waitUntilReady()
	a, b := f.nodes[0], f.nodes[1]
	f.waitUntilServed(b, "/safe/1", "k1")
	f.waitUntilServed(a, "/safe/1", "k1")
	upload := strings.Repeat("x", 1<<20)
	for name, edit := range map[string]func(answer string) string{
		"plain":                    replaceOnce("200 OK", "000 OK"),
		"no reason":                replaceOnce("200 OK", "000 "),
		"no reason, no blank":      replaceOnce("200 OK", "000"),
		"one digit":                replaceOnce("200 OK", "0 OK"),
		"two digits":               replaceOnce("200 OK", "00 OK"),
		"four digits":              replaceOnce("200 OK", "0000 OK"),
		"signed":                   replaceOnce("200 OK", "+00 OK"),
		"negative":                 replaceOnce("200 OK", "-00 OK"),
		"two blanks":               replaceOnce("200 OK", " 000 OK"),
		"another status behind it": replaceOnce("200 OK", "000 200 OK"),
		"HTTP/1.0":                 replaceOnce("HTTP/1.1 200 OK", "HTTP/1.0 000 OK"),
		"HTTP/0.0":                 replaceOnce("HTTP/1.1 200 OK", "HTTP/0.0 000 OK"),
		"status line alone":        func(string) string { return "HTTP/1.1 000 OK\r\n\r\n" },
		"line feeds alone":         func(s string) string { return strings.ReplaceAll(edit000(s), "\r\n", "\n") },
		"not executed": func(s string) string {
			return strings.Replace(edit000(s), "Response-Seal", "Not-Executed: 1\r\nResponse-Seal", 1)
		},
		"leaving": func(s string) string {
			return strings.Replace(edit000(s), "Response-Seal", "Server-Leaving: 1\r\nResponse-Seal", 1)
		},
		"closes": func(s string) string {
			return strings.Replace(edit000(s), "Response-Seal", "Connection: close\r\nResponse-Seal", 1)
		},
		"no length": func(s string) string { return strings.Replace(edit000(s), "Content-Length", "X-Length", 1) },
		"chunked": func(s string) string {
			head, body := cutHead(edit000(s))
			return strings.Replace(head, "Content-Length", "Transfer-Encoding: chunked\r\nX-Length", 1) + "5\r\n" + body[:5] + "\r\n0\r\n\r\n"
		},
		"behind an interim answer": func(s string) string {
			return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + edit000(s)
		},
		"in front of a good answer": func(s string) string {
			head, _ := cutHead(edit000(s))
			return strings.Replace(head, "Content-Length", "X-Length", 1) + s
		},
		"an interim answer": func(s string) string { return "HTTP/1.1 000 Continue\r\n\r\n" + s },
	} {
		t.Run(name, func(t *testing.T) {
			a.instance.SetFaults(instance.Faults{EditAnswer: edit})
			for _, n := range []*meshNode{a, b} {
				for _, x := range []struct{ method, path, body string }{
					{http.MethodGet, "/safe/1", ""}, {http.MethodHead, "/safe/1", ""},
					{http.MethodPost, "/unsafe/1", "x"}, {http.MethodPost, "/unsafe/1", upload},
				} {
					attempt, resp, body := f.sendRequest(n, x.method, x.path, "k1", x.body)
					require.Equal(t, http.StatusBadGateway, resp.StatusCode, "%s at %s: %s", x.method, n.id, body)
					require.Empty(t, resp.Header.Get("Response-Seal"))
					require.Equal(t, 1, f.countRuns(attempt))
				}
			}
			a.instance.SetFaults(instance.Faults{})
			f.waitUntilServed(b, "/safe/1", "k1")
		})
	}
}

func replaceOnce(old, replacement string) func(string) string {
	return func(s string) string { return strings.Replace(s, old, replacement, 1) }
}

func edit000(answer string) string { return strings.Replace(answer, "200 OK", "000 OK", 1) }

// cutHead returns the head of an answer with the empty line that ends it, and the body.
func cutHead(answer string) (head, body string) {
	head, body, _ = strings.Cut(answer, "\r\n\r\n")
	return head + "\r\n\r\n", body
}
