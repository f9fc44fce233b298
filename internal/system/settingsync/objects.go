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
	// maxPlatformReads is how many objects one node reads from the platform at a time.
	maxPlatformReads = 8
	// maxObjectsPerRequest and replyBytes bound one exchange of objects between nodes.
	maxObjectsPerRequest = 64
	maxObjectsReplyBytes    = 1 << 20
)

// objectSource has settings objects: the platform, or another node.
type objectSource interface {
	// getObjects returns all the objects, each matching its digest, or an error.
	getObjects(ctx context.Context, digests []string) (map[string][]byte, error)
}

// loadTree fetches the tree of a version, taking known objects from have.
func loadTree(ctx context.Context, from objectSource, head Head, have map[string][]byte) (*settings.Tree, map[string][]byte, error) {
	objects := map[string][]byte{}
	if err := fetchObjects(ctx, from, []string{head.Manifest}, have, objects); err != nil {
		return nil, nil, err
	}
	var m Manifest
	if err := json.Unmarshal(objects[head.Manifest], &m); err != nil {
		return nil, nil, err
	}
	if err := fetchObjects(ctx, from, m.directDigests(), have, objects); err != nil {
		return nil, nil, err
	}
	teams, err := m.teamDigests(objects)
	if err != nil {
		return nil, nil, err
	}
	if err := fetchObjects(ctx, from, slices.Collect(maps.Values(teams)), have, objects); err != nil {
		return nil, nil, err
	}
	tree, err := joinTree(m, objects)
	return tree, objects, err
}

// fetchObjects adds objects to out, the known ones from have.
func fetchObjects(ctx context.Context, from objectSource, digests []string, have, out map[string][]byte) error {
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
	group.SetLimit(maxPlatformReads)
	for _, d := range digests {
		group.Go(func() error {
			data, err := p.getVerified(ctx, d)
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

func (p platformObjects) getVerified(ctx context.Context, digest string) ([]byte, error) {
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
	fallback platformObjects
}

func (p *peerObjects) getObjects(ctx context.Context, digests []string) (map[string][]byte, error) {
	out := make(map[string][]byte, len(digests))
	for {
		missing := missingDigests(digests, out)
		if len(missing) == 0 {
			return out, nil
		}
		if p.request(ctx, missing[:min(len(missing), maxObjectsPerRequest)], out) {
			continue
		}
		return out, fetchObjects(ctx, p.fallback, missing, nil, out)
	}
}

// request adds what the node gives to out, and reports whether that is anything new.
func (p *peerObjects) request(ctx context.Context, digests []string, out map[string][]byte) bool {
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

func missingDigests(digests []string, have map[string][]byte) []string {
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
		if !ok || size > 0 && size+len(data) > maxObjectsReplyBytes {
			continue
		}
		size += len(data)
		reply.Objects = append(reply.Objects, &peerpb.Object{Digest: d, Data: data})
	}
	return reply, nil
}
