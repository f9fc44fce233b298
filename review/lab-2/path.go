package main

import (
	"slices"
	"time"
)

func init() { cases["changed-path"] = changedPath }

// changedPath: clients send unsafe requests whose path begins with an empty segment. The route's prefix
// is "/". Without the disruption the same paths have one slash at the beginning.
func changedPath(w *world) (bool, error) {
	c := smallConfig()
	c.Routes = append(c.Routes, route{"r-all", "files.example", "/", "unsafe", 30000, 2, "orders"})
	if err := w.start(c, smallDeployment("orders")); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	slash := "/"
	if w.trouble {
		slash = "//"
	}
	paths := []string{"a%2Fb/rename", "caf%C3%A9", "plain", "100%25", "x?q=%20y"}
	changed := 0
	for _, n := range w.nodes {
		for _, path := range paths {
			for range 3 {
				r := &request{method: "POST", host: "files.example", path: slash + path, key: "key-of-t1", body: "content", deadline: 5 * time.Second}
				a := n.send(r)
				runs := w.runsOf(r.id)
				var targets []string
				for _, x := range runs {
					targets = append(targets, x.target)
				}
				w.logf("%s: %s POST %s answered %v; ran as %q", n.name, r.id, r.path, a, targets)
				if slices.ContainsFunc(targets, func(t string) bool { return t != r.path }) {
					changed++
				}
			}
		}
	}
	w.logf("requests that ran with another path than the client sent: %d, allowed 0", changed)
	return changed > 0, nil
}
