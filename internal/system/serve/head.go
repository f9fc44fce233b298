package serve

import (
	"io"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxHeadBytes bounds the head of an answer: the status line and the header.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of an answer's head, since a parsed line takes much more
	// memory than the line itself.
	maxHeadLines = 512
	// maxInformational is the number of informational (1xx) answers after which an exchange
	// fails.
	maxInformational = 16
)

// malformedError says why the bytes that a backend server sent are no answer.
type malformedError string

// Error implements error.
func (e malformedError) Error() string { return string(e) }

const (
	errHeadTooLarge   malformedError = "the answer's head has no end"
	errHeadMalformed  malformedError = "the answer's head has bytes that HTTP does not allow there"
	errVersion        malformedError = "the answer has another protocol version than HTTP/1"
	errStatus         malformedError = "the answer has a status that HTTP does not define"
	errTooManyInterim malformedError = "too many informational answers"
)

// headReader reads from a connection and fails in the head of an answer once the head exceeds
// maxHeadBytes or maxHeadLines, or holds a byte that HTTP does not allow there. The parser above it
// accepts blanks in and before the name of a field and then takes the line for a field that does not
// exist, or for a part of the line before it, and it accepts any byte in the status line.
type headReader struct {
	source io.Reader
	state  headState
	bytes  int
	lines  int
	// name is the field's name that is being read, cut off behind the length of transferEncoding.
	name []byte
	// isEncoded is set if the head has the field transferEncoding.
	isEncoded bool
	// err is the error of the head, kept since the parser above may report another one for it.
	err error
}

// headState says what the next byte of an answer belongs to.
type headState uint8

const (
	// notInHead is the state outside of a head.
	notInHead headState = iota
	// inRestOfLine is the state in the status line and behind a field's name.
	inRestOfLine
	atLineStart
	inName
	// endOfLine and endOfHead are the states after the carriage return of a line and of the empty
	// line that ends the head.
	endOfLine
	endOfHead
)

// begin starts the head of the next answer. buffered holds the bytes that were read before.
func (h *headReader) begin(buffered []byte) {
	h.state, h.bytes, h.lines, h.isEncoded, h.err = inRestOfLine, 0, 0, false, nil
	h.scan(buffered)
}

// end ends the head; the body has limits of its own.
func (h *headReader) end() { h.state = notInHead }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.err != nil {
		return 0, h.err
	}
	n, err := h.source.Read(p)
	h.scan(p[:n])
	if h.err != nil {
		return 0, h.err
	}
	return n, err
}

// scan checks the bytes up to the end of the head.
func (h *headReader) scan(p []byte) {
	for i := 0; i < len(p) && h.state != notInHead && h.err == nil; i++ {
		h.bytes++
		if p[i] == '\n' {
			h.lines++
		}
		if h.bytes > maxHeadBytes || h.lines > maxHeadLines {
			h.err = errHeadTooLarge
			return
		}
		h.state = h.next(p[i])
	}
}

// next returns the state after b. It sets err if b is not allowed.
func (h *headReader) next(b byte) headState {
	switch {
	case h.state == inRestOfLine && b == '\r':
		return endOfLine
	case (h.state == inRestOfLine || h.state == endOfLine) && b == '\n':
		return atLineStart
	case h.state == inRestOfLine && (b == '\t' || b >= ' ' && b != del):
		return inRestOfLine
	case h.state == atLineStart && b == '\r':
		return endOfHead
	case (h.state == atLineStart || h.state == endOfHead) && b == '\n':
		return notInHead
	case (h.state == atLineStart || h.state == inName) && httpguts.IsTokenRune(rune(b)):
		h.addToName(b)
		return inName
	case h.state == inName && b == ':':
		h.isEncoded = h.isEncoded || strings.EqualFold(string(h.name), transferEncoding)
		return inRestOfLine
	}
	h.err = errHeadMalformed
	return h.state
}

// addToName adds a byte to the name, or begins a new one.
func (h *headReader) addToName(b byte) {
	if h.state == atLineStart {
		h.name = h.name[:0]
	}
	if len(h.name) <= len(transferEncoding) {
		h.name = append(h.name, b)
	}
}

const transferEncoding = "Transfer-Encoding"

// del is the control byte that stands behind the printable ones.
const del = 0x7f
