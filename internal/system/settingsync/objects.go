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
	// maxPlatformReads is the number of objects that one fetch reads from the platform
	// concurrently.
	maxPlatformReads = 8
	// maxObjectsPerRequest and maxObjectsReplyBytes bound one Objects call between nodes.
	// A single object that is larger than maxObjectsReplyBytes is sent on its own.
	maxObjectsPerRequest = 64
	maxObjectsReplyBytes = 1 << 20
)

// objectSource provides settings objects, from the platform or from another node.
type objectSource interface {
	// getObjects returns all the requested objects by digest, or an error. Each object
	// matches its digest.
	getObjects(ctx context.Context, digests []string) (map[string][]byte, error)
}

// loadTree fetches the objects of a version that cached does not contain, and returns the
// version's tree and all of its objects.
func loadTree(ctx context.Context, source objectSource, head Head, cached map[string][]byte) (*settings.Tree, map[string][]byte, error) {
	objects := map[string][]byte{}
	if err := fetchObjects(ctx, source, []string{head.Manifest}, cached, objects); err != nil {
		return nil, nil, err
	}
	var m Manifest
	if err := json.Unmarshal(objects[head.Manifest], &m); err != nil {
		return nil, nil, err
	}
	if err := fetchObjects(ctx, source, m.directDigests(), cached, objects); err != nil {
		return nil, nil, err
	}
	teams, err := m.teamDigests(objects)
	if err != nil {
		return nil, nil, err
	}
	if err := fetchObjects(ctx, source, slices.Collect(maps.Values(teams)), cached, objects); err != nil {
		return nil, nil, err
	}
	tree, err := joinTree(m, objects)
	return tree, objects, err
}

// fetchObjects adds the objects with the given digests to out: from cached if it contains
// them, otherwise from source.
func fetchObjects(ctx context.Context, source objectSource, digests []string, cached, out map[string][]byte) error {
	var missing []string
	for _, d := range digests {
		if data, ok := cached[d]; ok {
			out[d] = data
			continue
		}
		missing = append(missing, d)
	}
	if len(missing) == 0 {
		return nil
	}
	fetched, err := source.getObjects(ctx, missing)
	for d, data := range fetched {
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

// getVerified returns an object after checking that it matches its digest.
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

// peerObjects reads objects from another node, and from the platform those that the node
// does not return.
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

// request asks the node for objects, adds those that match their digest to out, and
// reports whether out has grown.
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

// missingDigests returns the digests that objects does not contain.
func missingDigests(digests []string, objects map[string][]byte) []string {
	var out []string
	for _, d := range digests {
		if _, ok := objects[d]; !ok {
			out = append(out, d)
		}
	}
	return out
}

// HandleObjects returns the requested objects of the installed version to another node,
// as many as fit into one reply.
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
