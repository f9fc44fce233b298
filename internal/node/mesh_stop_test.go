package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/test/standin/instance"
)

// rawCaller is a caller's connection to a node on which requests may be pipelined.
type rawCaller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dialNode(t *testing.T, n *meshNode) *rawCaller {
	c, err := net.Dial("tcp", n.callerAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &rawCaller{t, c, bufio.NewReader(c)}
}

// send sends a request whose body is still to come, and returns its attempt ID.
func (c *rawCaller) send(method, path string, bodyBytes int) string {
	attempt := "a" + strconv.FormatInt(attemptCounter.Add(1), 10)
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: 6000\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n",
		method, path, attempt, bodyBytes)
	require.NoError(c.t, err)
	return attempt
}

// receive returns the next answer, whose connection must not end before.
func (c *rawCaller) receive() (*http.Response, string) {
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err, "the connection ended without an answer")
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return resp, string(body)
}

// A caller always has a second request outstanding on its connection. The stopping node answers each
// request that it has passed on and closes the connection long before its stop time is over.
func TestMeshPlannedStopEndsBusyConnections(t *testing.T) {
	f, _, b, _ := startServingMesh(t)
	for _, n := range f.nodes {
		n.instance.SetFaults(instance.Faults{Delay: 200 * time.Millisecond})
	}
	caller := dialNode(t, b)
	var outstanding []string
	outstanding = append(outstanding, caller.send(http.MethodGet, "/safe/1", 0))
	time.Sleep(100 * time.Millisecond)
	time.AfterFunc(300*time.Millisecond, b.stop)
	stopsAt := time.Now().Add(300*time.Millisecond + b.config.Mesh.StopTimeout())
	for closed := false; !closed; {
		outstanding = append(outstanding, caller.send(http.MethodGet, "/safe/1", 0))
		resp, body := caller.receive()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Contains(t, body, "answer to "+outstanding[0]+" of ")
		outstanding, closed = outstanding[1:], resp.Close
	}
	require.Greater(t, time.Until(stopsAt), b.config.Mesh.StopTimeout()/4)
	for _, attempt := range outstanding {
		require.Zero(t, f.countRuns(attempt), "a request that the node did not answer ran")
	}
	err := <-b.done
	b.done <- err
	require.NoError(t, err)
}

// A request whose body comes whole only late in a planned stop is refused and has not run, since the
// node could not wait for its answer.
func TestMeshPlannedStopRefusesWhatComesTooLate(t *testing.T) {
	f, _, b, _ := startServingMesh(t)
	for _, n := range f.nodes {
		n.instance.SetFaults(instance.Faults{Delay: time.Second})
	}
	inTime, late := dialNode(t, b), dialNode(t, b)
	inTimeAttempt := inTime.send(http.MethodPost, "/unsafe/1", 4)
	lateAttempt := late.send(http.MethodPost, "/unsafe/1", 4)
	_, err := io.WriteString(late, "bo")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	b.stop()
	stopTimeout := b.config.Mesh.StopTimeout()
	time.Sleep(stopTimeout / 4)
	_, err = io.WriteString(inTime, "body")
	require.NoError(t, err)
	time.Sleep(stopTimeout/2 - 100*time.Millisecond)
	_, err = io.WriteString(late, "dy")
	require.NoError(t, err)
	resp, body := inTime.receive()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Contains(t, body, "answer to "+inTimeAttempt+" of ")
	resp, _ = late.receive()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.True(t, resp.Close)
	require.Zero(t, f.countRuns(lateAttempt))
	err = <-b.done
	b.done <- err
	require.NoError(t, err)
	require.Zero(t, f.countRuns(lateAttempt))
}

// A request that runs at the stopping VM's backend server makes its sub-call after the callers' listener was
// closed. The backend server could not connect, and the request failed.
func TestMeshPlannedStopServesSubCallsOfRunningCalls(t *testing.T) {
	f := startMesh(t, "front", "deep")
	f.routeTimeoutMs = 5000
	f.publishSettings(2, "k1")
	f.waitUntilReady()
	a, b := f.nodes[0], f.nodes[1]
	stopTimeout := a.config.Mesh.StopTimeout()
	for _, at := range []time.Duration{stopTimeout/2 - 200*time.Millisecond, stopTimeout/2 + 300*time.Millisecond, stopTimeout * 3 / 4} {
		t.Run(at.String(), func(t *testing.T) {
			f.waitUntilServed(b, "/safe/1", "k1")
			a.instance.SetFaults(instance.Faults{Delay: at})
			a.instance.SetSubCall(&instance.SubCall{Outbound: a.callerAddress, Host: "h", Path: "/open/x"})
			caller := dialNode(t, b)
			attempt := caller.send(http.MethodPost, "/unsafe/1", 0)
			require.Eventually(t, func() bool { return f.countRuns(attempt) == 1 }, 5*time.Second, time.Millisecond)
			a.stop()
			resp, body := caller.receive()
			require.Equal(t, http.StatusOK, resp.StatusCode, body)
			require.Equal(t, 1, f.countRuns(attempt+".1"), "sub-call")
			require.NoError(t, <-a.done)
			a.instance.SetFaults(instance.Faults{})
			a.instance.SetSubCall(nil)
			a.start(t)
		})
	}
}
