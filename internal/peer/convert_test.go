package peer

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
)

// sampleCall returns a call with all fields that a message carries except the tag.
func sampleCall() *call.Call {
	return &call.Call{
		ID: call.NewID(), Account: "a", Service: "s", Route: "r", Priority: call.Critical,
		Idempotent: true, Deadline: clock.Time(3 * time.Second), RetryAllowance: 2, Depth: 4,
		ServiceTimeUsed: time.Millisecond, AnswerLimit: 9,
		Notice: &call.Notice{Instance: "i", StartedAt: time.UnixMilli(5), RateLimited: true, Rate: 1.5, Leaving: true},
		Request: &call.Request{
			Method: "GET", Path: "/p", RawQuery: "q=1",
			Header: http.Header{"X": {"1", "2"}}, Body: []byte("body"),
		},
	}
}

func TestCallRoundTrip(t *testing.T) {
	want := sampleCall()
	got := callFromProto(callToProto(want, clock.Time(time.Second), 7), clock.Time(time.Second))
	require.Equal(t, want, got)
}

func TestInvalidReplyIsRejected(t *testing.T) {
	id, otherID := call.NewID(), call.NewID()
	reply := resultToProto(otherID, call.Result{Answer: &call.Answer{Status: 200}})
	_, ok := resultFromProto(id, reply, 0)
	require.False(t, ok)
	_, ok = resultFromProto(id, resultToProto(id, call.Result{}), 0)
	require.False(t, ok, "neither answer nor failure")
	_, ok = resultFromProto(id, &peerpb.CallReply{Id: []byte{1}}, 0)
	require.False(t, ok, "malformed ID")
}

func TestUnusedAllowanceIsCapped(t *testing.T) {
	id := call.NewID()
	r, ok := resultFromProto(id, resultToProto(id, call.Result{Answer: &call.Answer{Status: 200}, UnusedRetries: 99}), 2)
	require.True(t, ok)
	require.Equal(t, 2, r.UnusedRetries)
}

// FuzzCallFromProto checks that no message from a peer causes a panic, and that each accepted
// call has a valid priority and a request.
func FuzzCallFromProto(f *testing.F) {
	whole, err := proto.Marshal(callToProto(sampleCall(), 0, 1))
	require.NoError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var p peerpb.CallRequest
		if proto.Unmarshal(data, &p) != nil {
			return
		}
		c := callFromProto(&p, 0)
		if c != nil {
			require.Less(t, c.Priority, call.NumPriorities)
			require.NotNil(t, c.Request)
		}
	})
}
