package settings

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/examples"
)

func readExample(t testing.TB, name string) []byte {
	data, err := examples.Files.ReadFile(name + ".json")
	require.NoError(t, err)
	return data
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"luntiang", "vysocina"} {
		tree, err := Parse(readExample(t, name))
		require.NoError(t, err, name)
		accounts := 0
		for _, team := range tree.Teams {
			accounts += len(team.Accounts)
		}
		require.Equal(t, 8, accounts, name)
	}
}

// Each fault is named by the path where it stands.
func TestValidationErrorsNameTheirPath(t *testing.T) {
	cases := []struct{ old, new, path, problem string }{
		{`"rate": 500`, `"rate": "many"`, "/teams/counter/accounts/brno-upholstery/rate", "want number"},
		{`"burst": 250`, `"burst": 0`, "/teams/counter/accounts/brno-upholstery/burst", "must be from 1"},
		{`"slots": 20`, `"slotz": 20`, "/teams/logistics/services/dispatch", "missing property"},
		{`"idempotent": true`, `"idempotent": true, "colour": 1`, "/teams/counter/routes/0/colour", "no such setting"},
		{`"priority": "normal"`, `"priority": "urgent"`, "/teams/counter/routes/0/priority", `"urgent"`},
		{`"deadlineMs": 500`, `"deadlineMs": 0`, "/teams/counter/routes/0/deadlineMs", "must be from 1"},
		{`"service": "dispatch"`, `"service": "nowhere"`, "/teams/logistics/routes/0/service", `no service "nowhere"`},
		{`"name": "vysocina"`, `"name": "Vysočina"`, "/deployment/name", "name"},
		{`"name": "place-order"`, `"name": "grade-check"`, "/teams/counter/routes/2", "already declared"},
	}
	for _, c := range cases {
		text := strings.Replace(string(readExample(t, "vysocina")), c.old, c.new, 1)
		_, err := Parse([]byte(text))
		var fault *ValidationError
		require.ErrorAs(t, err, &fault, c.new)
		require.Equal(t, c.path, fault.Path, c.new)
		require.Contains(t, fault.Problem, c.problem, c.new)
	}
}

// FuzzParse checks that no input makes Parse panic, and that what it accepts
// survives a round trip.
func FuzzParse(f *testing.F) {
	f.Add(readExample(f, "luntiang"))
	f.Add(readExample(f, "vysocina"))
	f.Add([]byte(`{"deployment":{"name":"a"},"teams":{}}`))
	f.Add([]byte(`{"deployment":null}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := Parse(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(tree)
		require.NoError(t, err)
		_, err = Parse(again)
		require.NoError(t, err)
	})
}

func TestRoutesMatchWholeSegments(t *testing.T) {
	tree, err := Parse(readExample(t, "vysocina"))
	require.NoError(t, err)
	v := Compile(1, tree)
	r, ok := v.Route("GET", "/stock/7", false)
	require.True(t, ok)
	require.Equal(t, "stock", r.Service)
	_, ok = v.Route("GET", "/stockings", false)
	require.False(t, ok)
	for _, path := range []string{"/stock", "/stock/", "/stock/7/8/" + strings.Repeat("/x", 1000)} {
		r, ok = v.Route("GET", path, false)
		require.True(t, ok, path)
		require.Equal(t, "stock", r.Service)
	}
	_, ok = v.Route("GET", "/", false)
	require.False(t, ok)
	_, ok = v.Route("GET", "*", false)
	require.False(t, ok)
	_, ok = v.Route("POST", "/reservations", false)
	require.False(t, ok, "an internal route is hidden from callers")
	_, ok = v.Route("POST", "/reservations", true)
	require.True(t, ok)
}

// The longest matching prefix wins, and a shorter one serves what it does not cover.
func TestLongestPrefixWins(t *testing.T) {
	tree, err := Parse([]byte(`{"deployment":{"name":"d"},"teams":{"t":{
		"services":{"a":{"slots":1,"connections":1},"b":{"slots":1,"connections":1}},
		"routes":[
			{"name":"all","method":"GET","prefix":"/","service":"a","priority":"low","idempotent":true,"deadlineMs":5},
			{"name":"deep","method":"GET","prefix":"/x/y","service":"b","priority":"low","idempotent":true,"deadlineMs":5,"internal":true}]}}}`))
	require.NoError(t, err)
	v := Compile(1, tree)
	for path, want := range map[string]string{"/": "all", "/x": "all", "/x/yz": "all", "/x/y": "deep", "/x/y/z": "deep"} {
		r, ok := v.Route("GET", path, true)
		require.True(t, ok, path)
		require.Equal(t, want, r.Name, path)
	}
	r, ok := v.Route("GET", "/x/y", false)
	require.True(t, ok)
	require.Equal(t, "all", r.Name, "an internal route does not hide an outer one")
}
