package serve

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"comfreycart.dev/comfreycart/internal/call"
)

// Whatever bytes a backend server sends, reading an answer ends with an answer or an error.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"))
	f.Add([]byte("\x00\xff"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		head := &headReader{source: bytes.NewReader(data)}
		cn := &conn{head: head, reader: bufio.NewReader(head)}
		req, _ := http.NewRequest(http.MethodGet, "http://backend/", nil)
		x := &exchange{call: &call.Call{AnswerLimit: 1 << 16, Request: &call.Request{Method: http.MethodGet}}}
		if resp, err := readHead(cn, req); err == nil {
			_, _ = x.readBody(resp, true)
		}
	})
}
