package serve

import (
	"errors"
	"io"

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

var (
	errHeadTooLarge   = errors.New("the answer's head has no end")
	errFieldName      = errors.New("the answer's head has a malformed field name")
	errTooManyInterim = errors.New("too many informational answers")
)

// headReader reads from a connection and fails in the head of an answer once the head exceeds
// maxHeadBytes or maxHeadLines, or holds a malformed field name. The parser above it accepts blanks
// in and before a name and then takes the line for a field that does not exist, or for a part of the
// line before it.
type headReader struct {
	source io.Reader
	state  headState
	bytes  int
	lines  int
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
	// afterCR is the state after a carriage return at the start of a line.
	afterCR
	inName
)

// begin starts the head of the next answer. buffered holds the bytes that were read before.
func (h *headReader) begin(buffered []byte) {
	h.state, h.bytes, h.lines, h.err = inRestOfLine, 0, 0, nil
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
	case h.state == inRestOfLine && b == '\n':
		return atLineStart
	case h.state == inRestOfLine:
		return inRestOfLine
	case h.state == atLineStart && b == '\r':
		return afterCR
	case (h.state == atLineStart || h.state == afterCR) && b == '\n':
		return notInHead
	case h.state == inName && b == ':':
		return inRestOfLine
	case (h.state == atLineStart || h.state == inName) && httpguts.IsTokenRune(rune(b)):
		return inName
	}
	h.err = errFieldName
	return h.state
}
