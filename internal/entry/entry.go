// Package entry takes callers' requests in: it finds the route, authenticates the
// key, holds the account to its rate, and sends the request on its way.
package entry

import (
	"context"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/settings"
)

// Views gives the settings in force, nil before the first version.
type Views interface {
	View() *settings.View
}

// Freshness says whether this node's settings can be trusted to be in force.
type Freshness interface {
	// Fresh returns a refusal while they cannot.
	Fresh() *call.Failure
}

// Shares holds accounts to their rate over the whole fleet.
type Shares interface {
	// Take spends one token of the account, or refuses.
	Take(ctx context.Context, v *settings.View, account string) *call.Failure
}

// Dispatcher sends calls to endpoints.
type Dispatcher interface {
	Do(ctx context.Context, c *call.Call) call.Result
}

// Gate admits callers' requests. It is safe for concurrent use.
type Gate struct {
	clock      clock.Clock
	views      Views
	freshness  Freshness
	shares     Shares
	dispatcher Dispatcher
}

// New returns a gate in front of the dispatcher.
func New(c clock.Clock, v Views, f Freshness, s Shares, d Dispatcher) *Gate {
	return &Gate{clock: c, views: v, freshness: f, shares: s, dispatcher: d}
}

// Admission is a request that was let in; its body may now be read.
type Admission struct {
	Route   *settings.CompiledRoute
	Account string
	// ReceivedAt is when the request came in.
	ReceivedAt clock.Time

	key string
}

// Admit checks a request by its head alone. A refused request does not run.
func (g *Gate) Admit(ctx context.Context, method, path, key string) (*Admission, *call.Failure) {
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

// authenticate returns the account that a key stands for by the settings in force.
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

// reauthenticate checks again that the key stands for the account, since the body may have
// taken longer than a withdrawal.
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

// Dispatch sends an admitted request on its way, with timeout counted from its admission.
func (g *Gate) Dispatch(ctx context.Context, a *Admission, timeout time.Duration, r *call.Request) call.Result {
	if g.clock.Now().Sub(a.ReceivedAt) >= timeout {
		f := call.NewRefusal(call.DeadlinePassed, "the deadline passed before the request was sent on")
		return call.FailedResult(f, a.Route.Retries)
	}
	if f := g.reauthenticate(a); f != nil {
		return call.FailedResult(f, a.Route.Retries)
	}
	c := &call.Call{
		ID:             call.NewID(),
		Account:        a.Account,
		Service:        a.Route.Service,
		Route:          a.Route.Name,
		Priority:       a.Route.Level,
		Idempotent:     a.Route.Idempotent,
		Deadline:       a.ReceivedAt.Add(timeout),
		RetryAllowance: a.Route.Retries,
		AnswerLimit:    a.Route.AnswerLimitBytes,
		Request:        r,
	}
	return g.dispatcher.Do(ctx, c)
}
