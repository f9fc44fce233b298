package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
)

func rankPtr(n int) *int { return &n }

func TestCompileDocument(t *testing.T) {
	route := func(name, host, prefix string, rank int) HostRoute {
		return HostRoute{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Rank: rank, MaxEndpoints: 2,
			WeightedServices: []WeightedService{{Service: "s", Weight: 1}}}
	}
	d := &Document{
		Version:  3,
		Routes:   []HostRoute{route("all", "h", "/", 2), route("a", "h", "/a/", 0), route("ab", "h", "/a/b/", 9), route("other", "i", "/a/", 1)},
		Services: []HostService{{Name: "s", HealthPath: "/health"}},
		Accounts: []HostAccount{{Name: "t", Keys: []string{"k1", "k2"}, Rate: 5, Burst: 7}, {Name: "u", Rank: rankPtr(0)}},
	}
	require.NoError(t, d.Validate())
	v := CompileDocument(d, []string{"x", "y"})
	for _, x := range []struct{ host, path, want string }{
		{"h", "/a/b/c", "ab"}, {"h", "/a/b", "a"}, {"h", "/ab", "all"}, {"i", "/a/b/c", "other"},
	} {
		r, ok := v.HostRoute(x.host, x.path)
		require.True(t, ok)
		require.Equal(t, x.want, r.Name)
	}
	_, ok := v.HostRoute("i", "/b")
	require.False(t, ok)
	_, ok = v.HostRoute("H", "/a/")
	require.False(t, ok)

	account, ok := v.Account("k2")
	require.True(t, ok)
	require.Equal(t, "t", account)
	_, ok = v.Account("")
	require.False(t, ok, "an empty key belongs to no account")
	require.Equal(t, Account{Rate: 5, Burst: 7}, v.Accounts["t"])

	a, _ := v.HostRoute("h", "/a/")
	low, _ := v.HostRoute("h", "/a/b/")
	require.Equal(t, call.Critical, v.Priority(a, "t"))
	require.Equal(t, call.Low, v.Priority(low, "t"))
	require.Equal(t, call.Critical, v.Priority(low, "u"), "the account's own rank takes precedence")
	require.Equal(t, DefaultLimits, v.Limits)
	require.Equal(t, 1, a.Retries, "MaxEndpoints counts the first attempt")

	d.Routes[0].Timeout = time.Hour
	require.NoError(t, d.Validate())
	all, _ := CompileDocument(d, nil).HostRoute("h", "/ab")
	require.Equal(t, 10*time.Minute, all.Deadline, "fences of calls are kept for little longer")
}
