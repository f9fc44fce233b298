package api

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/rs/zerolog/log"
	"github.com/urfave/negroni/v3"

	"comfreycart.dev/comfreycart/internal/api/problem"
	"comfreycart.dev/comfreycart/internal/call"
)

// recoverPanic is middleware that answers a request whose handler panicked. The panic value
// appears neither in the answer nor in the log, since it may contain a key.
func recoverPanic(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			panic(http.ErrAbortHandler)
		}
		log.Error().Str("type", fmt.Sprintf("%T", v)).Bytes("stack", debug.Stack()).Msg("a handler panicked")
		if rw, ok := w.(negroni.ResponseWriter); ok && rw.Written() {
			panic(http.ErrAbortHandler)
		}
		problem.Write(w, call.NewUnknownOutcome(call.Internal, "the node failed while it handled the request"))
	}()
	next(w, r)
}
