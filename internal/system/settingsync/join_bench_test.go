package settingsync

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/settings"
)

// BenchmarkJoin decodes and compiles a whole version, of as many teams as services,
// and gives the sizes of what a change sends.
func BenchmarkJoin(b *testing.B) {
	for _, n := range []int{10, 95, 950} {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			m, objects, err := splitTree(treeWithTeams(n))
			require.NoError(b, err)
			manifest, err := json.Marshal(m)
			require.NoError(b, err)
			for b.Loop() {
				tree, err := joinTree(m, objects)
				require.NoError(b, err)
				settings.Compile(1, tree)
			}
			b.ReportMetric(float64(len(manifest)), "manifest-bytes")
			names, err := m.teamDigests(objects)
			require.NoError(b, err)
			b.ReportMetric(float64(len(objects[m.Parts[partIndex("team-1")]])), "part-bytes")
			b.ReportMetric(float64(len(objects[names["team-1"]])), "subtree-bytes")
		})
	}
}

func treeWithTeams(n int) *settings.Tree {
	t := &settings.Tree{Deployment: settings.Deployment{Name: "size"}, Teams: map[string]settings.Team{}}
	for i := range n {
		name := fmt.Sprintf("service-%d", i)
		t.Teams[fmt.Sprintf("team-%d", i)] = settings.Team{
			Services: map[string]settings.Service{name: {Slots: 60, Connections: 470}},
			Accounts: map[string]settings.Account{"account-" + name: {Rate: 100, Burst: 50}},
			Keys: map[string]settings.Key{
				settings.HashKey(name):       {Account: "account-" + name},
				settings.HashKey(name + "b"): {Account: "account-" + name},
			},
			Routes: []settings.Route{{
				Name: "route-" + name, Method: "GET", Prefix: "/" + name, Service: name,
				Priority: "normal", Idempotent: true, DeadlineMs: 500, Retries: 2,
			}},
		}
	}
	return t
}
