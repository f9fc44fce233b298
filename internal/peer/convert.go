package peer

import (
	"net/http"
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/table"
)

// maxTime is the longest time that a peer's message may state, in either direction. It exceeds all
// deadlines and waits. Longer ones are reduced to it.
const maxTime = time.Hour

// Bounds of numbers in a peer's message. Larger ones are reduced to them.
const (
	maxAllowance = 1 << 10
	maxDepth     = 1 << 10
)

// maxRecordAgeMs is the maximum age in milliseconds that is accepted for a peer's record of
// a member: one year. Larger ages are reduced to it.
const maxRecordAgeMs = 366 * 24 * 3600 * 1000

// callToProto converts a call to its protobuf form. incarnation is that of the node that the
// call is sent to. The deadline is sent as the time left from now, since the nodes' clocks
// cannot be compared.
func callToProto(c *call.Call, now clock.Time, incarnation uint64) *peerpb.CallRequest {
	return &peerpb.CallRequest{
		Id:               c.ID[:],
		Account:          c.Account,
		Service:          c.Service,
		Route:            c.Route,
		Priority:         uint32(c.Priority),
		Idempotent:       c.Idempotent,
		TimeoutUs:        c.Deadline.Sub(now).Microseconds(),
		Allowance:        int32(c.RetryAllowance),
		Depth:            int32(c.Depth),
		SpentUs:          c.ServiceTimeUsed.Microseconds(),
		AnswerLimitBytes: c.AnswerLimit,
		Incarnation:      incarnation,
		Tag:              c.RequestID,
		Notice:           noticeToProto(c.Notice),
		Request: &peerpb.Request{
			Method:   c.Request.Method,
			Path:     c.Request.Path,
			RawQuery: c.Request.RawQuery,
			Headers:  headersToProto(c.Request.Header),
			Body:     c.Request.Body,
		},
	}
}

// timeOf returns n units as a duration from -maxTime to maxTime.
func timeOf(n int64, unit time.Duration) time.Duration {
	bound := int64(maxTime / unit)
	return time.Duration(max(-bound, min(n, bound))) * unit
}

// callFromProto converts a protobuf message to a call. It returns nil if the ID is malformed,
// the request is missing, the priority is unknown or the limit of the answer is negative.
func callFromProto(p *peerpb.CallRequest, now clock.Time) *call.Call {
	if len(p.Id) != len(call.ID{}) || p.Request == nil || p.Priority >= uint32(call.NumPriorities) || p.AnswerLimitBytes < 0 {
		return nil
	}
	return &call.Call{
		ID:              call.ID(p.Id),
		Account:         p.Account,
		Service:         p.Service,
		Route:           p.Route,
		Priority:        call.Priority(p.Priority),
		Idempotent:      p.Idempotent,
		Deadline:        now.Add(timeOf(p.TimeoutUs, time.Microsecond)),
		RetryAllowance:  min(max(int(p.Allowance), 0), maxAllowance),
		Depth:           min(max(int(p.Depth), 0), maxDepth),
		ServiceTimeUsed: max(0, timeOf(p.SpentUs, time.Microsecond)),
		AnswerLimit:     p.AnswerLimitBytes,
		RequestID:       p.Tag,
		Notice:          noticeFromProto(p.Notice),
		Request: &call.Request{
			Method:   p.Request.Method,
			Path:     p.Request.Path,
			RawQuery: p.Request.RawQuery,
			Header:   headersFromProto(p.Request.Headers),
			Body:     p.Request.Body,
		},
	}
}

// resultToProto converts the result of the call with the given ID to its protobuf form.
func resultToProto(id call.ID, r call.Result) *peerpb.CallReply {
	reply := &peerpb.CallReply{Id: id[:], Unused: int32(r.UnusedRetries), Overloaded: r.Overloaded, FailedBelow: r.SubCallFailed}
	reply.Answer = AnswerToProto(r.Answer)
	if f := r.Failure; f != nil {
		reply.Failure = &peerpb.Failure{
			Reason:       string(f.Reason),
			Outcome:      string(f.Outcome),
			Detail:       f.Detail,
			RetryAfterMs: f.RetryAfter.Milliseconds(),
		}
	}
	if f := r.Feedback; f != nil {
		reply.Feedback = &peerpb.Feedback{
			Threshold:  uint32(f.Threshold),
			ShareMilli: f.ShareMilli,
			InFlight:   f.InFlight,
			Limit:      f.Limit,
			Queued:     f.Queued,
			Notice:     noticeToProto(f.Notice),
		}
	}
	return reply
}

// resultFromProto converts a reply to a result. It returns false if the reply belongs to
// another call, does not have exactly one of answer and failure, or the answer's status or header is
// not valid. The unused allowance is limited to the allowance that was sent.
func resultFromProto(id call.ID, p *peerpb.CallReply, allowance int) (call.Result, bool) {
	if call.ID(validIDOrZero(p.Id)) != id || (p.Answer == nil) == (p.Failure == nil) {
		return call.Result{}, false
	}
	answer := AnswerFromProto(p.Answer)
	if p.Answer != nil && answer == nil {
		return call.Result{}, false
	}
	r := call.Result{Answer: answer, UnusedRetries: min(max(int(p.Unused), 0), allowance), Overloaded: p.Overloaded, SubCallFailed: p.FailedBelow}
	if f := p.Failure; f != nil {
		r.Failure = failureFromProto(f)
	}
	if f := p.Feedback; f != nil {
		r.Feedback = &call.Feedback{
			Threshold:  call.Priority(min(f.Threshold, uint32(call.Critical))),
			ShareMilli: min(f.ShareMilli, 1000),
			InFlight:   f.InFlight,
			Limit:      f.Limit,
			Queued:     f.Queued,
			Notice:     noticeFromProto(f.Notice),
		}
	}
	return r, true
}

// noticeToProto converts a notice to its protobuf form; nil stays nil.
func noticeToProto(n *call.Notice) *peerpb.BackendNotice {
	if n == nil {
		return nil
	}
	p := &peerpb.BackendNotice{Instance: n.Instance, RateLimited: n.RateLimited, Rate: n.Rate, Leaving: n.Leaving}
	if !n.StartedAt.IsZero() {
		p.StartedAtMs = n.StartedAt.UnixMilli()
	}
	return p
}

// noticeFromProto converts a protobuf message to a notice; nil stays nil. A rate that is out of range
// makes the notice one without a rate limit.
func noticeFromProto(p *peerpb.BackendNotice) *call.Notice {
	if p == nil {
		return nil
	}
	n := &call.Notice{Instance: p.Instance, Leaving: p.Leaving}
	if p.StartedAtMs != 0 {
		n.StartedAt = time.UnixMilli(p.StartedAtMs)
	}
	if p.RateLimited && call.IsRate(p.Rate) {
		n.RateLimited, n.Rate = true, p.Rate
	}
	return n
}

// failureFromProto converts a protobuf message to a failure. A reason that this version does
// not know becomes call.Internal; an outcome that it does not know becomes call.Unknown, so
// that the request counts as one that may have run.
func failureFromProto(p *peerpb.Failure) *call.Failure {
	f := &call.Failure{
		Reason:     call.Reason(p.Reason),
		Outcome:    call.Outcome(p.Outcome),
		Detail:     p.Detail,
		RetryAfter: max(0, timeOf(p.RetryAfterMs, time.Millisecond)),
	}
	if !slices.Contains(call.Reasons, f.Reason) {
		f.Reason = call.Internal
	}
	if f.Outcome != call.NotRun {
		f.Outcome = call.Unknown
	}
	return f
}

// AnswerToProto converts an answer to its protobuf form; nil stays nil.
func AnswerToProto(a *call.Answer) *peerpb.Answer {
	if a == nil {
		return nil
	}
	return &peerpb.Answer{Status: int32(a.Status), Headers: headersToProto(a.Header), Body: a.Body}
}

// AnswerFromProto converts a protobuf message to an answer. It returns nil if there is none, or one
// whose status or header is malformed: such an answer is as good as lost.
func AnswerFromProto(p *peerpb.Answer) *call.Answer {
	if p == nil || !call.IsFinalStatus(int(p.Status)) {
		return nil
	}
	h := headersFromProto(p.Headers)
	if call.CheckHeader(h) != nil {
		return nil
	}
	return &call.Answer{Status: int(p.Status), Header: h, Body: p.Body}
}

// validIDOrZero returns id if it has the length of a call ID, otherwise a zero ID, which
// equals no real one. The result can be converted to a call.ID.
func validIDOrZero(id []byte) []byte {
	if len(id) == len(call.ID{}) {
		return id
	}
	return make([]byte, len(call.ID{}))
}

func headersToProto(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &peerpb.Header{Name: name, Values: values})
	}
	return out
}

func headersFromProto(hs []*peerpb.Header) http.Header {
	h := make(http.Header, len(hs))
	for _, header := range hs {
		h[header.Name] = header.Values
	}
	return h
}

// MemberToProto converts a member's record to its protobuf form. For a dead or left member
// it sends the record's age at now, and neither failure domain nor endpoints.
func MemberToProto(m table.Member, now clock.Time) *peerpb.Member {
	p := &peerpb.Member{
		Id:           m.ID,
		Incarnation:  m.Incarnation,
		Sequence:     m.Sequence,
		Address:      m.Address,
		Domain:       m.Domain,
		State:        string(m.State),
		PlatformLost: m.PlatformLost,
	}
	if !m.Usable() {
		p.AgeMs = uint64(max(now.Sub(m.ChangedAt), 0).Milliseconds())
		p.Domain = ""
		return p
	}
	for _, e := range m.Endpoints {
		p.Endpoints = append(p.Endpoints, &peerpb.Endpoint{
			Service:         e.Service,
			Slots:           uint32(e.Slots),
			Connections:     uint32(e.Connections),
			FailurePermille: uint32(e.FailurePermille),
			State:           string(e.State),
		})
	}
	return p
}

// MemberFromProto converts a protobuf message to a member's record. It limits the age and the numbers
// of the endpoints but does not otherwise validate the record.
func MemberFromProto(p *peerpb.Member, now clock.Time) table.Member {
	m := table.Member{
		ID:           p.GetId(),
		Incarnation:  p.GetIncarnation(),
		Sequence:     p.GetSequence(),
		Address:      p.GetAddress(),
		Domain:       p.GetDomain(),
		State:        table.MemberState(p.GetState()),
		PlatformLost: p.GetPlatformLost(),
	}
	if !m.Usable() {
		m.ChangedAt = now.Add(-time.Duration(min(p.GetAgeMs(), maxRecordAgeMs)) * time.Millisecond)
	}
	for _, e := range p.GetEndpoints() {
		m.Endpoints = append(m.Endpoints, table.MemberEndpoint{
			Service:         e.Service,
			Slots:           int(min(e.Slots, call.MaxSlots)),
			Connections:     int(min(e.Connections, call.MaxSlots)),
			FailurePermille: int(min(e.FailurePermille, 1000)),
			State:           table.EndpointState(e.State),
		})
	}
	return m
}
