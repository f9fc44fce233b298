package serve

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
)

// An answer in whose head the name of a field holds a byte that no name may hold is no answer, whatever
// the field says and wherever it stands. A body without a length would otherwise be delimited by a
// field that was not understood.
func TestAnswerWithAMalformedFieldNameIsNoAnswer(t *testing.T) {
	for name, line := range map[string]string{
		"blank before the colon":     "X-Note : 1",
		"blank before a length":      "Content-Length : 4",
		"blank before an encoding":   "Transfer-Encoding : chunked",
		"blank in the name":          "X Note: 1",
		"blank before the name":      " X-Note: 1",
		"blank before a length only": " Content-Length: 4",
		"tab before the name":        "\tX-Note: 1",
		"tab in the name":            "X\tNote: 1",
		"tab before the colon":       "X-Note\t: 1",
		"control byte":               "X-\x01Note: 1",
		"NUL":                        "X-Note\x00: 1",
		"carriage return":            "X-\rNote: 1",
		"carriage return first":      "\rX-Note: 1",
		"delete":                     "X-Note\x7f: 1",
		"high byte":                  "X-N\xf6te: 1",
		"separator":                  "X(Note): 1",
		"no name":                    ": 1",
		"no colon":                   "X-Note",
	} {
		t.Run(name, func(t *testing.T) {
			for position, head := range map[string]string{
				"first":         "HTTP/1.1 200 OK\r\n" + line + "\r\nComfreycart-Call: a\r\nConnection: close\r\n\r\n",
				"last":          "HTTP/1.1 200 OK\r\nComfreycart-Call: a\r\nConnection: close\r\n" + line + "\r\n\r\n",
				"line feeds":    "HTTP/1.1 200 OK\nComfreycart-Call: a\nConnection: close\n" + line + "\n\n",
				"informational": "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nComfreycart-Call: a\r\nConnection: close\r\n\r\n",
				"after another answer": "HTTP/1.1 200 OK\r\nComfreycart-Call: b\r\nContent-Length: 5\r\n\r\nother" +
					"HTTP/1.1 200 OK\r\nComfreycart-Call: a\r\nConnection: close\r\n" + line + "\r\n\r\n",
			} {
				for pieces, write := range map[string]func(c net.Conn, text string){
					"at once": func(c net.Conn, text string) { _, _ = io.WriteString(c, text) },
					"in two": func(c net.Conn, text string) {
						_, _ = io.WriteString(c, text[:len(text)-6])
						time.Sleep(time.Millisecond)
						_, _ = io.WriteString(c, text[len(text)-6:])
					},
				} {
					b := startBackend(t, func(_ *http.Request, c net.Conn) {
						write(c, head+"body and more")
						_ = c.Close()
					})
					got, f := runExchange(t, newPool(b.address), &lenientDialect{}, "a", "", 5*time.Second)
					require.NotNil(t, f, "%s, %s: passed on with the body %q", position, pieces, got)
					require.Equal(t, call.Unknown, f.Outcome)
					require.Equal(t, call.AnswerMalformed, f.Reason, "%s, %s", position, pieces)
				}
			}
		})
	}
}

// A control byte in the status line or in a value is no more allowed than in a name. A carriage return
// that ends no line would hide the field behind it.
func TestAnswerWithAControlByteInItsHeadIsNoAnswer(t *testing.T) {
	for _, control := range []string{"\r", "\x00", "\x0b", "\x1b", "\x7f"} {
		for _, head := range []string{
			"HTTP/1.1 200 OK" + control + "Content-Length: 4\r\nComfreycart-Call: a\r\n\r\n",
			"HTTP/1.1 200 " + control + "OK\r\nComfreycart-Call: a\r\n\r\n",
			"HTTP/1.1 200 OK" + control + "\r\nComfreycart-Call: a\r\n\r\n",
			"HTTP/1.1 200 OK\r\nX-Note: 1" + control + "2\r\nComfreycart-Call: a\r\n\r\n",
			"HTTP/1.1 200 OK\r\nX-Note: " + control + "1\r\nComfreycart-Call: a\r\n\r\n",
			"HTTP/1.1 200 OK\r\nComfreycart-Call: a\r\nX-Note: 1" + control + "\r\n\r\n",
		} {
			b := startBackend(t, func(_ *http.Request, c net.Conn) {
				_, _ = io.WriteString(c, head+"body and more")
				_ = c.Close()
			})
			got, f := runExchange(t, newPool(b.address), &lenientDialect{}, "a", "", 5*time.Second)
			require.NotNil(t, f, "%q: passed on with the body %q", head, got)
			require.Equal(t, call.Unknown, f.Outcome)
			require.Equal(t, call.AnswerMalformed, f.Reason, "%q", head)
		}
	}
}

// HTTP/1.0 has no transfer encodings, so that the parser ignores one and takes the chunks' sizes for a part
// of the body.
func TestEncodedAnswerOfHTTP10IsNoAnswer(t *testing.T) {
	for _, name := range []string{"Transfer-Encoding", "transfer-encoding", "TRANSFER-ENCODING"} {
		for _, position := range []string{"%sComfreycart-Call: a\r\n", "Comfreycart-Call: a\r\n%s", "Comfreycart-Call: a\r\n%sContent-Length: 4\r\n"} {
			b := startBackend(t, func(_ *http.Request, c net.Conn) {
				_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n"+fmt.Sprintf(position, name+": chunked\r\n")+"\r\n4\r\nbody\r\n0\r\n\r\n")
				_ = c.Close()
			})
			got, f := runExchange(t, newPool(b.address), &lenientDialect{}, "a", "", 5*time.Second)
			require.NotNil(t, f, "passed on with the body %q", got)
			require.Equal(t, call.AnswerMalformed, f.Reason)
			require.Equal(t, call.Unknown, f.Outcome)
		}
	}
	b := startBackend(t, func(_ *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\nComfreycart-Call: a\r\nTransfer-Encodings: x\r\n\r\nbody")
		_ = c.Close()
	})
	got, f := runExchange(t, newPool(b.address), &lenientDialect{}, "a", "", 5*time.Second)
	require.Nil(t, f)
	require.Equal(t, "body", got)
}

// An answer in another protocol's version is no answer, whatever follows it.
func TestAnswerOfAnotherProtocolVersionIsNoAnswer(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.1", "HTTP/1", "HTTP/1.x", "HTTP/1.10", "http/1.1", "HTTPS/1.1", "RTSP/1.0", "ICY"} {
		b := startBackend(t, func(r *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, strings.Replace(formatAnswer(r.Header.Get(HeaderCall), "body"), "HTTP/1.1", version, 1))
			_ = c.Close()
		})
		_, f := runExchange(t, newPool(b.address), &lenientDialect{}, "a", "", 5*time.Second)
		require.NotNil(t, f, version)
		require.Equal(t, call.Unknown, f.Outcome)
	}
}

// Every name that HTTP allows is passed on, also where the head comes byte by byte.
func TestAnswerWithUnusualFieldNamesIsServed(t *testing.T) {
	head := "HTTP/1.1 200 \tOK \xf6\r\nComfreycart-Call: a\r\n!#$%&'*+-.^_`|~09azAZ: \t odd value: with colon \xf6\t\r\nX-Empty:\r\nContent-Length: 4\r\n\r\nbody"
	b := startBackend(t, func(_ *http.Request, c net.Conn) {
		for i := range len(head) {
			_, _ = io.WriteString(c, head[i:i+1])
		}
	})
	p := newPool(b.address)
	for range 3 {
		got, f := runExchange(t, p, &NativeDialect{}, "a", "", 5*time.Second)
		require.Nil(t, f)
		require.Equal(t, "body", got)
	}
}
