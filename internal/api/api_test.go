package api

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/log"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
)

var testKey = "ck_" + strings.Repeat("k", 32)

// A panic's value may hold a key: neither the answer nor the log shows it.
func TestPanicValueIsNotExposed(t *testing.T) {
	var logged bytes.Buffer
	before := log.Logger
	log.Logger = zerolog.New(&logged)
	defer func() { log.Logger = before }()
	s := httptest.NewServer(NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic("with " + testKey)
	})).Handler)
	defer s.Close()
	resp, err := http.Get(s.URL)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, 500, resp.StatusCode)
	require.Equal(t, "unknown", resp.Header.Get("Comfreycart-Outcome"))
	require.Contains(t, string(body), `"reason":"internal"`)
	require.NotContains(t, string(body), testKey)
	require.Contains(t, logged.String(), "a handler panicked")
	require.NotContains(t, logged.String(), testKey)
}

func TestForwardedRequestHoldsNoKey(t *testing.T) {
	own := "an-operators-own-key"
	r := httptest.NewRequest("POST", "/p?a=1&k="+own+"&b=%63k_"+testKey[3:], nil)
	for name, value := range map[string]string{
		"Authorization": "Bearer " + own, "Cookie": "x=" + own, "X-Key": own, "X-Granted": "a " + testKey,
		"Connection": "X-Hop", "X-Hop": "1", "Comfreycart-Account": "forged", "Expect": "100-continue", "X-Kept": "1",
	} {
		r.Header.Set(name, value)
	}
	out, f := ForwardedRequest(r, []byte("body"), own)
	require.Nil(t, f)
	require.Equal(t, "a=1", out.RawQuery)
	require.Equal(t, http.Header{"X-Kept": {"1"}}, out.Header)
	for _, body := range []string{own, testKey} {
		_, f = ForwardedRequest(r, []byte("x "+body), own)
		require.Equal(t, call.NotRun, f.Outcome)
	}
	_, f = ForwardedRequest(r, []byte("back_"+strings.Repeat("k", 32)), own)
	require.Nil(t, f, "a longer word is no key")
}

func TestWriteAnswerOmitsBody(t *testing.T) {
	for _, x := range []struct {
		method string
		status int
		length string
	}{{"HEAD", 200, "7"}, {"GET", 204, ""}, {"GET", 304, ""}} {
		w := httptest.NewRecorder()
		a := &call.Answer{Status: x.status, Header: http.Header{}}
		if x.length != "" {
			a.Header.Set("Content-Length", x.length)
		}
		WriteAnswer(w, httptest.NewRequest(x.method, "/", nil), a)
		require.Equal(t, x.length, w.Header().Get("Content-Length"))
		require.Zero(t, w.Body.Len())
	}
}
