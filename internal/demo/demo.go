// Package demo runs a small deployment in one process: a simulated platform, three nodes in
// three failure domains, and sample backend servers.
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
	nodeCount         = 3
	adminToken        = "demo-admin-token"
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	backendDelayMs    = 5
)

// Options configure the demo.
type Options struct {
	// Deployment is the name of an example deployment: luntiang or vysocina.
	Deployment string
	// AddressesFile is written, if set, once all nodes are ready and the sample requests are
	// sent; the demo then runs until its context ends.
	AddressesFile string
	// Out receives the demo's report.
	Out io.Writer
	// LogLevel is the level of the nodes' logs, which go to standard error.
	LogLevel zerolog.Level
}

// Addresses is the content of the addresses file. Callers, Admin and Metrics hold one URL per
// node; Keys holds an API key per client account.
type Addresses struct {
	Callers    []string          `json:"callers"`
	Admin      []string          `json:"admin"`
	Metrics    []string          `json:"metrics"`
	AdminToken string            `json:"adminToken"`
	Keys       map[string]string `json:"keys"`
}

// demo is a running deployment.
type demo struct {
	Options
	tree  *settings.Tree
	addrs Addresses
	group *errgroup.Group
}

// Run runs the demo. It returns when the sample requests have been answered or, if
// o.AddressesFile is set, when ctx ends.
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
	addresses, err := freeAddresses(6)
	if err != nil {
		return err
	}
	cfg := &config.Node{
		ID:         fmt.Sprintf("node-%d", i+1),
		Deployment: d.Deployment,
		Domain:     fmt.Sprintf("domain-%d", i+1),
		Listen: config.Listen{
			Caller: addresses[0], Backend: addresses[1], Egress: addresses[2],
			Peer: addresses[3], Admin: addresses[4], Metrics: addresses[5],
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
	d.addrs.Callers = append(d.addrs.Callers, "http://"+addresses[0])
	d.addrs.Admin = append(d.addrs.Admin, "http://"+addresses[4])
	d.addrs.Metrics = append(d.addrs.Metrics, "http://"+addresses[5])
	return d.startBackends(ctx, "http://"+addresses[1])
}

// startBackends starts one backend server of each service, registered at the given node.
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

// configure applies the settings and grants each account a key.
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

// waitReady waits until every node has the latest settings version and sees every member and
// endpoint.
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

// retry calls try until it succeeds, readyTimeout has passed or ctx ends, and returns the last
// error.
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

// writeAddresses writes the addresses file under a temporary name and renames it, so that
// readers never see a partial file.
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

// sendTraffic sends one request of every public route through every node, and one with an
// invalid key, and prints the responses.
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

// anyKeyedRoute returns a public route that requires an API key.
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

// sendAndPrint sends a request through node i and prints a line about the response.
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

// The nodes' ports are chosen below the system's range for outgoing connections. Otherwise an
// outgoing connection could take a port between the check that it is free and the node's
// listen.
const (
	lowestPort  = 20000
	highestPort = 32000
)

// freeAddresses returns n loopback addresses with ports that are free at the time of the call.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for len(addresses) < n {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(highestPort-lowestPort))
		lis, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer lis.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}
