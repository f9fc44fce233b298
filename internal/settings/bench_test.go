package settings

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// fleetTree has n services with a route and an account each, and two keys an account.
func fleetTree(n int) *Tree {
	t := &Tree{Deployment: Deployment{Name: "size"}, Teams: map[string]Team{}}
	for i := range n {
		name := fmt.Sprintf("s%d", i)
		team := Team{
			Services: map[string]Service{name: {Slots: 60, Connections: 470}},
			Accounts: map[string]Account{"a" + name: {Rate: 100, Burst: 50}},
			Keys:     map[string]Key{HashKey(name): {Account: "a" + name}, HashKey(name + "b"): {Account: "a" + name}},
			Routes: []Route{{
				Name: "r" + name, Method: "GET", Prefix: "/" + name, Service: name,
				Priority: "normal", Idempotent: true, DeadlineMs: 500,
			}},
		}
		t.Teams["t"+name] = team
	}
	return t
}

var serviceCounts = []int{10, 95, 950}

func BenchmarkCompile(b *testing.B) {
	for _, n := range serviceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tree := fleetTree(n)
			data, err := json.Marshal(tree)
			require.NoError(b, err)
			b.ReportMetric(float64(len(data)), "tree-bytes")
			b.ReportAllocs()
			for b.Loop() {
				Compile(1, tree)
			}
		})
	}
}

func BenchmarkValidate(b *testing.B) {
	for _, n := range serviceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tree := fleetTree(n)
			for b.Loop() {
				require.NoError(b, tree.Validate())
			}
		})
	}
}

func BenchmarkRouteAndAccount(b *testing.B) {
	for _, n := range serviceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := Compile(1, fleetTree(n))
			path, key := fmt.Sprintf("/s%d/item", n/2), fmt.Sprintf("s%d", n/2)
			b.ReportAllocs()
			for b.Loop() {
				_, found := v.Route("GET", path, false)
				_, known := v.Account(key)
				if !found || !known {
					b.Fatal("not found")
				}
			}
		})
	}
}
