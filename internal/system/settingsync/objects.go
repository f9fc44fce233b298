package settingsync

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/settings"
)

const (
	// platformReads is how many objects one node reads from the platform at a time.
	platformReads = 8
	// objectsPerAsk and replyBytes bound one exchange of objects between nodes.
	objectsPerAsk = 64
	replyBytes    = 1 << 20
)

// objectGetter has settings objects: the platform, or another node.
type objectGetter interface {
	// getObjects returns all the objects, each matching its digest, or an error.
	getObjects(ctx context.Context, digests []string) (map[string][]byte, error)
}

// load fetches the tree of a version, taking known objects from have.
func load(ctx context.Context, from objectGetter, head Head, have map[string][]byte) (*settings.Tree, map[string][]byte, error) {
	objects := map[string][]byte{}
	if err := fetch(ctx, from, []string{head.Manifest}, have, objects); err != nil {
		return nil, nil, err
	}
	var m Manifest
	if err := json.Unmarshal(objects[head.Manifest], &m); err != nil {
		return nil, nil, err
	}
	if err := fetch(ctx, from, m.digests(), have, objects); err != nil {
		return nil, nil, err
	}
	teams, err := m.teams(objects)
	if err != nil {
		return nil, nil, err
	}
	if err := fetch(ctx, from, slices.Collect(maps.Values(teams)), have, objects); err != nil {
		return nil, nil, err
	}
	tree, err := join(m, objects)
	return tree, objects, err
}

// fetch adds objects to out, the known ones from have.
func fetch(ctx context.Context, from objectGetter, digests []string, have, out map[string][]byte) error {
	var missing []string
	for _, d := range digests {
		if data, ok := have[d]; ok {
			out[d] = data
			continue
		}
		missing = append(missing, d)
	}
	if len(missing) == 0 {
		return nil
	}
	got, err := from.getObjects(ctx, missing)
	for d, data := range got {
		out[d] = data
	}
	return err
}

// platformObjects reads objects from the platform.
type platformObjects struct {
	store platform.Objects
}

func (p platformObjects) getObjects(ctx context.Context, digests []string) (map[string][]byte, error) {
	var mu sync.Mutex
	out := make(map[string][]byte, len(digests))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(platformReads)
	for _, d := range digests {
		group.Go(func() error {
			data, err := p.get(ctx, d)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			out[d] = data
			return nil
		})
	}
	return out, group.Wait()
}

func (p platformObjects) get(ctx context.Context, digest string) ([]byte, error) {
	data, err := p.store.GetObject(ctx, digest)
	if err != nil {
		return nil, err
	}
	if Digest(data) != digest {
		return nil, &platform.Error{Kind: platform.Unavailable, Op: "object " + digest + " does not match its digest"}
	}
	return data, nil
}

// peerObjects reads objects from another node, and from the platform what that
// node does not give.
type peerObjects struct {
	peers    Peers
	address  string
	platform platformObjects
}

func (p *peerObjects) getObjects(ctx context.Context, digests []string) (map[string][]byte, error) {
	out := make(map[string][]byte, len(digests))
	for {
		missing := lacking(digests, out)
		if len(missing) == 0 {
			return out, nil
		}
		if p.ask(ctx, missing[:min(len(missing), objectsPerAsk)], out) {
			continue
		}
		return out, fetch(ctx, p.platform, missing, nil, out)
	}
}

// ask adds what the node gives to out, and reports whether that is anything new.
func (p *peerObjects) ask(ctx context.Context, digests []string, out map[string][]byte) bool {
	reply, err := p.peers.To(ctx, p.address).Objects(ctx, &peerpb.ObjectsRequest{Digests: digests})
	if err != nil {
		return false
	}
	before := len(out)
	for _, o := range reply.Objects {
		if d := Digest(o.Data); d == o.Digest {
			out[d] = o.Data
		}
	}
	return len(out) > before
}

func lacking(digests []string, have map[string][]byte) []string {
	var out []string
	for _, d := range digests {
		if _, ok := have[d]; !ok {
			out = append(out, d)
		}
	}
	return out
}

// HandleObjects serves settings objects to other nodes, as many as fit a reply.
func (f *Follower) HandleObjects(_ context.Context, req *peerpb.ObjectsRequest) (*peerpb.ObjectsReply, error) {
	objects := f.Objects()
	reply := &peerpb.ObjectsReply{}
	size := 0
	for _, d := range req.Digests {
		data, ok := objects[d]
		if !ok || size > 0 && size+len(data) > replyBytes {
			continue
		}
		size += len(data)
		reply.Objects = append(reply.Objects, &peerpb.Object{Digest: d, Data: data})
	}
	return reply, nil
}
