package soak

import (
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/test/standin/instance"
)

// signalFleet starts a small mesh that serves, and returns the node whose process gets the signals.
func signalFleet(t *testing.T) *node {
	f := newFleet(t, 6)
	c := newCallers(f, map[string][]string{"large": {"large-0", "large-1"}, "small": {"small-0", "small-1"}})
	inj := &faultInjector{f: f, callers: c}
	inj.putSettings()
	f.awaitServed(c, readyTimeout)
	for _, n := range f.nodes {
		n.instance.SetFaults(instance.Faults{Delay: time.Second})
	}
	return f.nodes[0]
}

// A reload or a second stop signal during a planned stop ended the process at once, and with it all
// requests in progress.
func TestSignalsDuringAPlannedStopCutNothing(t *testing.T) {
	for _, second := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		t.Run(second.String(), func(t *testing.T) {
			t.Parallel()
			n := signalFleet(t)
			stoppedAt := time.Now()
			exited := n.signal(syscall.SIGTERM)
			time.AfterFunc(500*time.Millisecond, func() { n.signal(second) })
			req, err := http.NewRequest(http.MethodPost, "http://"+n.address(portCaller)+"/unsafe/1", strings.NewReader("body"))
			require.NoError(t, err)
			req.Host = "h"
			req.Header.Set("Attempt-Id", "signalled")
			req.Header.Set("Deadline-Ms", "1500")
			req.Header.Set("Authorization", "Bearer large-0")
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err, "the connection ended without an answer")
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
			require.True(t, strings.HasPrefix(string(body), "answer to signalled of "))
			<-exited
			require.True(t, n.cmd.ProcessState.Success(), "%v", n.cmd.ProcessState)
			require.Greater(t, time.Since(stoppedAt), 2*time.Second, "the process ended before its callers were told")
		})
	}
}

// A write to a pipe that nobody reads any more ended the process: without the reader of its log, a node
// ended with the next line.
func TestNodeOutlivesTheReaderOfItsLog(t *testing.T) {
	f := newFleet(t, 6)
	c := newCallers(f, map[string][]string{"large": {"large-0", "large-1"}, "small": {"small-0", "small-1"}})
	inj := &faultInjector{f: f, callers: c}
	inj.putSettings()
	f.awaitServed(c, readyTimeout)
	n := f.nodes[0]
	<-n.signal(syscall.SIGTERM)
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	n.startWithLog(writer)
	f.awaitServed(c, readyTimeout)
	require.NoError(t, reader.Close())
	for range 10 {
		f.awaitServed(c, readyTimeout)
		time.Sleep(100 * time.Millisecond)
	}
	select {
	case <-n.signal(syscall.SIGTERM):
		t.Fatal("the process ended by itself")
	case <-time.After(100 * time.Millisecond):
	}
	<-n.exited
	require.True(t, n.cmd.ProcessState.Success(), "%v", n.cmd.ProcessState)
}
