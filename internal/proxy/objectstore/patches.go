package objectstore

import (
	"slices"
	"sync"

	"dewknot/internal/base/era"
	"dewknot/internal/proxy/delta"
)

const (
	// patchFrom is the least size of an object that is told as a patch.
	patchFrom = 4 << 10
	// keptVersions is how many older versions of a large object are kept as bases.
	// A node that is further behind gets the whole object.
	keptVersions = 4
)

// PatchedObject is an object told as the difference from an older version of it.
type PatchedObject struct {
	Name     string
	Revision era.Revision
	Patch    delta.Patch
}

// versions keeps older versions of large objects, and the patches made of them. It
// is safe for concurrent use.
type versions struct {
	mutex sync.Mutex
	// older holds versions by object, oldest first.
	older map[string][]Object
	// made holds the patches to the newest version of each object.
	made map[string]*madePatches
	// packed holds compressed versions that others fetch, oldest first.
	packed map[string][]packedVersion
}

// madePatches are the patches to one version of an object, by the base's revision.
type madePatches struct {
	target era.Revision
	byBase map[era.Revision]delta.Patch
}

func newVersions() *versions {
	return &versions{older: map[string][]Object{}, made: map[string]*madePatches{}, packed: map[string][]packedVersion{}}
}

// keep keeps a version that is about to be replaced.
func (v *versions) keep(replaced Object) {
	if len(replaced.Content) < patchFrom {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.older[replaced.Name] = appendVersion(v.older[replaced.Name], replaced)
}

// appendVersion adds a version and drops the oldest beyond keptVersions. What is left is
// copied, so that the dropped ones don't stay in memory.
func appendVersion[V any](kept []V, added V) []V {
	kept = append(kept, added)
	if len(kept) > keptVersions {
		kept = slices.Clone(kept[len(kept)-keptVersions:])
	}
	return kept
}

// drop forgets an object that is gone.
func (v *versions) drop(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	delete(v.older, name)
	delete(v.made, name)
	delete(v.packed, name)
}

// patch returns the patch to an object for a node that knows all changes up to a
// revision. It reports false if the node's version is not kept, or if a patch
// would spare little.
func (v *versions) patch(target *Object, after era.Revision) (delta.Patch, bool) {
	if len(target.Content) < patchFrom {
		return delta.Patch{}, false
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	base := v.newestUpTo(target.Name, after)
	if base == nil {
		return delta.Patch{}, false
	}
	made := v.made[target.Name]
	if made == nil || made.target != target.Revision {
		made = &madePatches{target: target.Revision, byBase: map[era.Revision]delta.Patch{}}
		v.made[target.Name] = made
	}
	patch, known := made.byBase[base.Revision]
	if !known {
		patch = delta.Make(base.Content, target.Content)
		made.byBase[base.Revision] = patch
	}
	return patch, patch.Bytes() < len(target.Content)/patchShare(target)
}

// patchShare returns the part of an object that a patch must be smaller than: of a
// large one, compressing leaves less than an eighth or so.
func patchShare(target *Object) int {
	if len(target.Content) < largeFrom {
		return 2
	}
	return 8
}

// newestUpTo returns the newest kept version up to a revision; the lock is held.
func (v *versions) newestUpTo(name string, revision era.Revision) *Object {
	kept := v.older[name]
	for i := len(kept) - 1; i >= 0; i-- {
		if kept[i].Revision <= revision {
			return &kept[i]
		}
	}
	return nil
}

// Compact replaces large objects by patches for a node that knows all changes up
// to a revision. That node may hold another version, and then asks for the whole.
func (c *Cache) Compact(objects []Object, after era.Revision) (whole []Object, patched []PatchedObject) {
	for i := range objects {
		object := &objects[i]
		if patch, small := c.versions.patch(object, after); small && !object.Deleted {
			patched = append(patched, PatchedObject{Name: object.Name, Revision: object.Revision, Patch: patch})
			continue
		}
		whole = append(whole, *object)
	}
	return whole, patched
}

// Expand makes objects of their patches and the versions held here. It fails if one
// of them is not the version that a patch is for.
func (c *Cache) Expand(patched []PatchedObject) ([]Object, error) {
	objects := make([]Object, 0, len(patched))
	for i := range patched {
		told := &patched[i]
		content, err := told.Patch.Apply(c.content(told.Name))
		if err != nil {
			return nil, err
		}
		objects = append(objects, Object{Name: told.Name, Revision: told.Revision, Content: content})
	}
	return objects, nil
}

// content returns the content of an object as it is known here.
func (c *Cache) content(name string) []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.objects[name].Content
}
