package peer

import (
	"math"
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

// An answer from a peer, perhaps of another version, is checked like one from a backend server.
func TestMalformedAnswerOfAPeerIsRejected(t *testing.T) {
	id := call.NewID()
	convert := func(status int, h http.Header) bool {
		reply := resultToProto(id, call.Result{Answer: &call.Answer{Status: status, Header: h}})
		_, ok := resultFromProto(id, reply, 0)
		require.Equal(t, ok, AnswerFromProto(reply.Answer) != nil, "answers to earlier requests with a key")
		return ok
	}
	require.True(t, convert(200, http.Header{"X-Note": {"1", ""}, "Response-Seal": {"a b\tc"}}))
	for _, status := range []int{0, 99, 100, 600, 999, -1} {
		require.False(t, convert(status, nil), status)
	}
	for _, name := range []string{"", "X Note", " X-Note", "X-Note ", "X\tNote", "X-\x01Note", "X-Note\x00", "X-N\u00f6te", "X:Note", "X\r\nY"} {
		require.False(t, convert(200, http.Header{name: {"1"}}), "%q", name)
	}
	for _, value := range []string{"a\r\nX-Note: 1", "a\nb", "\x00", "a\x7f"} {
		require.False(t, convert(200, http.Header{"X-Note": {"1", value}}), "%q", value)
	}
}

func TestUnusedAllowanceIsCapped(t *testing.T) {
	id := call.NewID()
	r, ok := resultFromProto(id, resultToProto(id, call.Result{Answer: &call.Answer{Status: 200}, UnusedRetries: 99}), 2)
	require.True(t, ok)
	require.Equal(t, 2, r.UnusedRetries)
}

// Numbers out of range in a peer's message are reduced to their bounds or refused.
func TestNumbersInMessagesHaveARange(t *testing.T) {
	p := callToProto(sampleCall(), 0, 1)
	p.TimeoutUs, p.SpentUs, p.Allowance, p.Depth = math.MaxInt64, math.MinInt64, -1, math.MaxInt32
	c := callFromProto(p, clock.Time(time.Second))
	require.Equal(t, clock.Time(time.Second+maxTime), c.Deadline)
	require.Zero(t, c.ServiceTimeUsed)
	require.Zero(t, c.RetryAllowance)
	require.Equal(t, maxDepth, c.Depth)
	p.AnswerLimitBytes = -1
	require.Nil(t, callFromProto(p, 0))

	id := call.NewID()
	for _, status := range []int{-1, 0, 100, 199, 600, 999} {
		_, ok := resultFromProto(id, resultToProto(id, call.Result{Answer: &call.Answer{Status: status}}), 0)
		require.False(t, ok, "status %d", status)
	}
	reply := resultToProto(id, call.Result{Failure: call.NewRefusal(call.QueueFull, ""), Feedback: &call.Feedback{}})
	reply.Failure.RetryAfterMs, reply.Feedback.Threshold, reply.Feedback.ShareMilli = math.MaxInt64, 256, math.MaxUint32
	r, ok := resultFromProto(id, reply, 0)
	require.True(t, ok)
	require.Equal(t, maxTime, r.Failure.RetryAfter)
	require.Equal(t, call.Critical, r.Feedback.Threshold)
	require.Equal(t, uint32(1000), r.Feedback.ShareMilli)
	require.Nil(t, noticeFromProto(nil))
	require.False(t, noticeFromProto(&peerpb.BackendNotice{RateLimited: true, Rate: math.NaN()}).RateLimited)
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
