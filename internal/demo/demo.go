// Package demo runs a small fleet in one process: a stand-in platform, three nodes
// in three failure domains, and sample backend servers.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sort"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"comfreycart.dev/comfreycart/examples"
	"comfreycart.dev/comfreycart/internal/config"
	"comfreycart.dev/comfreycart/internal/node"
	"comfreycart.dev/comfreycart/internal/operator"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/test/standin/backend"
	"comfreycart.dev/comfreycart/test/standin/platform"
)

const (
	nodeCount        = 3
	adminToken   = "demo-admin-token"
	readyTimeout = 20 * time.Second
	readyPollInterval   = 50 * time.Millisecond
	backendDelayMs       = 5
)

// Options say what the demo runs.
type Options struct {
	// Deployment is luntiang or vysocina.
	Deployment string
	// AddressesFile, if set, is written once all is ready; the demo then runs until
	// its context ends.
	AddressesFile string
	Out           io.Writer
	// LogLevel is that of the nodes' logs, which go to standard error.
	LogLevel zerolog.Level
}

// Addresses is the content of the addresses file.
type Addresses struct {
	Callers    []string          `json:"callers"`
	Admin      []string          `json:"admin"`
	Metrics    []string          `json:"metrics"`
	AdminToken string            `json:"adminToken"`
	Keys       map[string]string `json:"keys"`
}

// demo is a running fleet.
type demo struct {
	Options
	tree  *settings.Tree
	addrs Addresses
	group *errgroup.Group
}

// Run runs the demo. It returns when its traffic is done, or when ctx ends if an
// addresses file was asked for.
func Run(ctx context.Context, o Options) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	data, err := examples.Files.ReadFile(o.Deployment + ".json")
	if err != nil {
		return trace.NotFound("there is no example deployment %q; there are luntiang and vysocina", o.Deployment)
	}
	tree, err := settings.Parse(data)
	if err != nil {
		return trace.Wrap(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	d := &demo{Options: o, tree: tree, group: group, addrs: Addresses{AdminToken: adminToken, Keys: map[string]string{}}}
	err = d.run(ctx)
	stop()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	return err
}

func (d *demo) run(ctx context.Context) error {
	platformURL, err := d.startPlatform(ctx)
	if err != nil {
		return err
	}
	for i := range nodeCount {
		if err := d.startNode(ctx, i, platformURL); err != nil {
			return err
		}
	}
	if err := d.configure(ctx); err != nil {
		return err
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	if err := d.sendTraffic(ctx); err != nil {
		return err
	}
	if d.AddressesFile == "" {
		return nil
	}
	if err := d.writeAddresses(); err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "running until interrupted; addresses are in %s\n", d.AddressesFile)
	<-ctx.Done()
	return nil
}

func (d *demo) startPlatform(ctx context.Context) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	d.serve(ctx, lis, platform.New().Handler())
	return "http://" + lis.Addr().String(), nil
}

func (d *demo) serve(ctx context.Context, lis net.Listener, h http.Handler) {
	server := &http.Server{Handler: h}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	d.group.Go(func() error {
		_ = server.Serve(lis)
		return nil
	})
}

func (d *demo) startNode(ctx context.Context, i int, platformURL string) error {
	addr, err := freeAddresses(6)
	if err != nil {
		return err
	}
	cfg := &config.Node{
		ID:         fmt.Sprintf("node-%d", i+1),
		Deployment: d.Deployment,
		Domain:     fmt.Sprintf("domain-%d", i+1),
		Listen: config.Listen{
			Caller: addr[0], Backend: addr[1], Egress: addr[2],
			Peer: addr[3], Admin: addr[4], Metrics: addr[5],
		},
		Platform:         config.Platform{URL: platformURL},
		AdminTokenSHA256: settings.HashKey(adminToken),
	}
	if err := cfg.Validate(); err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(d.LogLevel).With().Timestamp().Str("node", cfg.ID).Logger()
	n, err := node.New(cfg, node.BaseLog(log))
	if err != nil {
		return err
	}
	d.group.Go(func() error { return n.Run(ctx) })
	d.addrs.Callers = append(d.addrs.Callers, "http://"+addr[0])
	d.addrs.Admin = append(d.addrs.Admin, "http://"+addr[4])
	d.addrs.Metrics = append(d.addrs.Metrics, "http://"+addr[5])
	return d.startBackends(ctx, "http://"+addr[1])
}

// startBackends runs one backend server of each service beside a node.
func (d *demo) startBackends(ctx context.Context, nodeURL string) error {
	for _, team := range d.tree.Teams {
		for name, s := range team.Services {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return trace.Wrap(err)
			}
			b := backend.New(nodeURL, name, lis.Addr().String(), s.Slots, backend.Behavior{DelayMs: backendDelayMs})
			d.serve(ctx, lis, b.Handler())
			d.group.Go(func() error {
				b.Announce(ctx)
				return nil
			})
		}
	}
	return nil
}

// configure puts the settings in force and grants each account a key.
func (d *demo) configure(ctx context.Context) error {
	client := operator.New(d.addrs.Admin[0], adminToken)
	err := d.retry(ctx, func() error {
		_, err := client.PutTree(ctx, d.tree, operator.ChangeOptions{ID: "demo-settings"})
		return err
	})
	if err != nil {
		return err
	}
	for team, t := range d.tree.Teams {
		for account := range t.Accounts {
			a, err := client.GrantKey(ctx, team, account, "demo", operator.ChangeOptions{})
			if err != nil {
				return trace.Wrap(err)
			}
			d.addrs.Keys[account] = a.Key
		}
	}
	return nil
}

// waitReady waits until every node has the last version and sees every endpoint.
func (d *demo) waitReady(ctx context.Context) error {
	return d.retry(ctx, func() error {
		var version uint64
		for _, admin := range d.addrs.Admin {
			s, err := operator.New(admin, adminToken).Status(ctx)
			if err != nil {
				return err
			}
			version = max(version, s.SettingsVersion)
			if s.SettingsVersion < version || s.SettingsVersion <= uint64(len(d.addrs.Keys)) {
				return trace.Errorf("node %s is not up to date", s.Node)
			}
			if len(s.Members) < nodeCount {
				return trace.Errorf("node %s does not see all members", s.Node)
			}
			for _, m := range s.Members {
				if len(m.Endpoints) < d.serviceCount() {
					return trace.Errorf("node %s does not see all endpoints", s.Node)
				}
			}
		}
		return nil
	})
}

func (d *demo) serviceCount() int {
	n := 0
	for _, t := range d.tree.Teams {
		n += len(t.Services)
	}
	return n
}

func (d *demo) retry(ctx context.Context, try func() error) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := try()
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		time.Sleep(readyPollInterval)
	}
}

func (d *demo) writeAddresses() error {
	data, err := json.MarshalIndent(d.addrs, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	temporary := d.AddressesFile + ".tmp"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return trace.Wrap(err)
	}
	return os.Rename(temporary, d.AddressesFile)
}

// sendTraffic sends a little of every route through every node and prints what came back.
func (d *demo) sendTraffic(ctx context.Context) error {
	fmt.Fprintf(d.Out, "deployment %s: %d nodes in %d failure domains, settings in force\n\n", d.Deployment, nodeCount, nodeCount)
	accounts := make([]string, 0, len(d.addrs.Keys))
	for a := range d.addrs.Keys {
		accounts = append(accounts, a)
	}
	sort.Strings(accounts)
	key := d.addrs.Keys[accounts[0]]
	for i, caller := range d.addrs.Callers {
		for _, t := range d.tree.Teams {
			for _, r := range t.Routes {
				if r.Internal {
					continue
				}
				if err := d.sendAndPrint(ctx, i, caller, r, key); err != nil {
					return err
				}
			}
		}
	}
	return d.sendAndPrint(ctx, 0, d.addrs.Callers[0], d.anyKeyedRoute(), "a-wrong-key")
}

func (d *demo) anyKeyedRoute() settings.Route {
	for _, t := range d.tree.Teams {
		for _, r := range t.Routes {
			if !r.Open && !r.Internal {
				return r
			}
		}
	}
	return settings.Route{}
}

func (d *demo) sendAndPrint(ctx context.Context, i int, caller string, r settings.Route, key string) error {
	req, err := http.NewRequestWithContext(ctx, r.Method, caller+r.Prefix+"/1", bytes.NewReader(nil))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if !r.Idempotent {
		req.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	}
	begin := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(d.Out, "%-14s %-4s %-14s priority %-8s via node-%d  %d  %5.1f ms  %d bytes\n",
		r.Name, r.Method, r.Prefix+"/1", r.Priority, i+1, resp.StatusCode,
		float64(time.Since(begin).Microseconds())/1000, len(body))
	return nil
}

// The ports of the demo's nodes are drawn below the system's range for outgoing
// connections, which could take a free one before its node listens.
const (
	lowestPort  = 20000
	highestPort = 32000
)

// freeAddresses finds loopback addresses that are free now.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for len(out) < n {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(highestPort-lowestPort))
		lis, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer lis.Close()
		out = append(out, address)
	}
	return out, nil
}
