package script

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"comfreycart.dev/comfreycart/internal/operator"
	"comfreycart.dev/comfreycart/internal/settings"
)

// raceCmd has one operator at each node change a team's subtree at the same
// moment, all from the same state: race TEAM,.. NODE..
func raceCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	teams := strings.Split(args[0], ",")
	results := make([]string, len(args)-1)
	var begin, end sync.WaitGroup
	begin.Add(len(results))
	for i, node := range args[1:] {
		client, err := f.operator(node)
		if err != nil {
			return "", err
		}
		end.Go(func() {
			results[i] = raceOne(client, teams[i%len(teams)], &begin)
		})
	}
	end.Wait()
	counts := map[string]int{}
	for _, r := range results {
		counts[r]++
	}
	var b strings.Builder
	for r, n := range counts {
		fmt.Fprintf(&b, "%s: %d\n", r, n)
	}
	return b.String(), nil
}

// raceOne reads a team's subtree, waits for the others, and changes it.
func raceOne(client *operator.Client, team string, begin *sync.WaitGroup) string {
	ctx := context.Background()
	subtree, etag, err := client.Team(ctx, team)
	begin.Done()
	begin.Wait()
	if err != nil {
		return err.Error()
	}
	if subtree.Services == nil {
		subtree.Services = map[string]settings.Service{}
	}
	subtree.Services["racing-"+uuid.NewString()] = settings.Service{Slots: 1, Connections: 1}
	_, err = client.PutTeam(ctx, team, subtree, operator.ChangeOptions{IfMatch: etag})
	var refused *operator.APIError
	if errors.As(err, &refused) {
		return string(refused.Reason)
	}
	if err != nil {
		return err.Error()
	}
	return "accepted"
}
