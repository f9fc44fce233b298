// Package entry admits callers' requests: it finds the route, authenticates the key, enforces
// the account's rate limit and passes the request to the dispatcher.
package entry

import (
	"context"
	"sync/atomic"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/settings"
)

// Views provides the settings in force.
type Views interface {
	// View returns the settings in force, nil before the first version was installed.
	View() *settings.View
}

// Freshness reports whether this node's settings are known to be still in force.
type Freshness interface {
	// Fresh returns nil if they are, and a refusal if not.
	Fresh() *call.Failure
}

// Shares enforces the accounts' rate limits over the whole fleet.
type Shares interface {
	// Take spends one token of the account, or returns a refusal.
	Take(ctx context.Context, v *settings.View, account string) *call.Failure
}

// Dispatcher sends calls to backend servers.
type Dispatcher interface {
	Do(ctx context.Context, c *call.Call) call.Result
}

// Gate admits and dispatches callers' requests. It is safe for concurrent use.
type Gate struct {
	clock      clock.Clock
	views      Views
	freshness  Freshness
	shares     Shares
	dispatcher Dispatcher
	draining   atomic.Bool
}

// New returns a gate that passes admitted requests to d.
func New(c clock.Clock, v Views, f Freshness, s Shares, d Dispatcher) *Gate {
	return &Gate{clock: c, views: v, freshness: f, shares: s, dispatcher: d}
}

// Drain makes the gate refuse all requests that are not dispatched yet, which then do not run.
func (g *Gate) Drain() { g.draining.Store(true) }

// Admission is the state of an admitted request, whose body may now be read.
type Admission struct {
	Route   *settings.CompiledRoute
	Account string
	// ReceivedAt is when the request's head was received; its timeout counts from then.
	ReceivedAt clock.Time

	key string
}

// Admit checks a request by its head alone, before its body is read. A refused request does not
// run.
func (g *Gate) Admit(ctx context.Context, method, path, key string) (*Admission, *call.Failure) {
	if g.draining.Load() {
		return nil, call.NewStopRefusal()
	}
	view := g.views.View()
	if view == nil {
		return nil, call.NewRefusal(call.SettingsMissing, "the node has no settings yet").WithRetryAfter(time.Second)
	}
	route, ok := view.Route(method, path, false)
	if !ok {
		return nil, call.NewRefusal(call.NoRoute, "no route matches the method and path")
	}
	a := &Admission{Route: route, ReceivedAt: g.clock.Now(), key: key}
	if route.Open {
		return a, nil
	}
	var f *call.Failure
	if a.Account, f = g.authenticate(key); f != nil {
		return nil, f
	}
	if f := g.shares.Take(ctx, view, a.Account); f != nil {
		return nil, f
	}
	return a, nil
}

// authenticate returns the account of a key according to the settings in force.
func (g *Gate) authenticate(key string) (string, *call.Failure) {
	if f := g.freshness.Fresh(); f != nil {
		return "", f
	}
	account, ok := g.views.View().Account(key)
	if !ok {
		return "", call.NewRefusal(call.KeyUnknown, "the key is unknown or was withdrawn")
	}
	return account, nil
}

// reauthenticate checks again that the key belongs to the admitted account, since the key may
// have been withdrawn while the body was read.
func (g *Gate) reauthenticate(a *Admission) *call.Failure {
	if a.Route.Open {
		return nil
	}
	account, f := g.authenticate(a.key)
	if f == nil && account != a.Account {
		f = call.NewRefusal(call.KeyUnknown, "the key was granted to another account meanwhile")
	}
	return f
}

// Dispatch passes an admitted request to the dispatcher. timeout counts from a.ReceivedAt.
func (g *Gate) Dispatch(ctx context.Context, a *Admission, timeout time.Duration, r *call.Request) call.Result {
	if g.clock.Now().Sub(a.ReceivedAt) >= timeout {
		f := call.NewRefusal(call.DeadlinePassed, "the deadline passed before the request was sent on")
		return call.FailedResult(f, a.Route.Retries)
	}
	if g.draining.Load() {
		return call.FailedResult(call.NewStopRefusal(), a.Route.Retries)
	}
	if f := g.reauthenticate(a); f != nil {
		return call.FailedResult(f, a.Route.Retries)
	}
	c := &call.Call{
		ID:             call.NewID(),
		Account:        a.Account,
		Service:        a.Route.Service,
		Route:          a.Route.Name,
		Priority:       a.Route.PriorityLevel,
		Idempotent:     a.Route.Idempotent,
		Deadline:       a.ReceivedAt.Add(timeout),
		RetryAllowance: a.Route.Retries,
		AnswerLimit:    a.Route.AnswerLimitBytes,
		Request:        r,
	}
	return g.dispatcher.Do(ctx, c)
}
