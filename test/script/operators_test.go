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

// raceCmd changes teams' subtrees through several nodes at the same time, each change
// based on the same settings version, and prints how many changes had each result:
// race TEAM,.. NODE..
func raceCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	teams := strings.Split(args[0], ",")
	results := make([]string, len(args)-1)
	var allRead, changes sync.WaitGroup
	allRead.Add(len(results))
	for i, node := range args[1:] {
		client, err := f.operator(node)
		if err != nil {
			return "", err
		}
		changes.Go(func() {
			results[i] = changeTeam(client, teams[i%len(teams)], &allRead)
		})
	}
	changes.Wait()
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

// changeTeam reads a team's subtree, waits until all others have read theirs,
// and puts a changed subtree on condition of the ETag it read. It returns "accepted",
// the reason of the refusal or an error text.
func changeTeam(client *operator.Client, team string, allRead *sync.WaitGroup) string {
	ctx := context.Background()
	subtree, etag, err := client.Team(ctx, team)
	allRead.Done()
	allRead.Wait()
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
