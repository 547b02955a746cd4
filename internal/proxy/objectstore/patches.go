package objectstore

import (
	"slices"
	"sync"

	"dewknot/internal/base/era"
	"dewknot/internal/proxy/delta"
)

const (
	// minPatchedBytes is the minimum size of an object that is sent as a patch.
	minPatchedBytes = 4 << 10
	// maxOldVersions limits the older versions of a large object that are kept as bases. A node
	// that is further behind receives the complete object.
	maxOldVersions = 4
)

// PatchedObject is an object sent as the difference from an older version of it.
type PatchedObject struct {
	Name     string
	Revision era.Revision
	Patch    delta.Patch
}

// versions stores older versions of large objects, and the patches computed from them. It is safe
// for concurrent use.
type versions struct {
	mutex sync.Mutex
	// older holds the versions by object name, oldest first.
	older map[string][]Object
	// patches holds the patches to the newest version, by object name.
	patches map[string]*targetPatches
	// packed holds the compressed versions that other nodes fetch, by object name, oldest first.
	packed map[string][]packedVersion
}

// targetPatches holds the patches to one version of an object by the revision of their base.
type targetPatches struct {
	target era.Revision
	byBase map[era.Revision]delta.Patch
}

func newVersions() *versions {
	return &versions{older: map[string][]Object{}, patches: map[string]*targetPatches{}, packed: map[string][]packedVersion{}}
}

// add stores a version that is being replaced.
func (v *versions) add(replaced Object) {
	if len(replaced.Content) < minPatchedBytes {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.older[replaced.Name] = appendVersion(v.older[replaced.Name], replaced)
}

// appendVersion adds a version and drops the oldest ones beyond maxOldVersions. It copies the rest,
// so that the memory of the dropped ones can be freed.
func appendVersion[V any](kept []V, added V) []V {
	kept = append(kept, added)
	if len(kept) > maxOldVersions {
		kept = slices.Clone(kept[len(kept)-maxOldVersions:])
	}
	return kept
}

// drop removes all versions of an object that no longer exists.
func (v *versions) drop(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	delete(v.older, name)
	delete(v.patches, name)
	delete(v.packed, name)
}

// patch returns the patch to an object for a node that knows all changes up to a revision. It
// returns false if that node's version isn't kept, or if the patch would save little.
func (v *versions) patch(target *Object, after era.Revision) (delta.Patch, bool) {
	if len(target.Content) < minPatchedBytes {
		return delta.Patch{}, false
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	base := v.newestNotAfter(target.Name, after)
	if base == nil {
		return delta.Patch{}, false
	}
	patches := v.patches[target.Name]
	if patches == nil || patches.target != target.Revision {
		patches = &targetPatches{target: target.Revision, byBase: map[era.Revision]delta.Patch{}}
		v.patches[target.Name] = patches
	}
	patch, cached := patches.byBase[base.Revision]
	if !cached {
		patch = delta.Make(base.Content, target.Content)
		patches.byBase[base.Revision] = patch
	}
	return patch, patch.Bytes() < len(target.Content)/minSavingFactor(target)
}

// minSavingFactor returns how many times smaller than the object its patch must be. It is higher
// for large objects, which are otherwise sent compressed.
func minSavingFactor(target *Object) int {
	if len(target.Content) < minLargeBytes {
		return 2
	}
	return 8
}

// newestNotAfter returns the newest stored version that is not after a revision, or nil. The caller
// must hold the mutex.
func (v *versions) newestNotAfter(name string, revision era.Revision) *Object {
	kept := v.older[name]
	for i := len(kept) - 1; i >= 0; i-- {
		if kept[i].Revision <= revision {
			return &kept[i]
		}
	}
	return nil
}

// MakePatches replaces large objects by patches for a node that knows all changes up to a revision.
// If that node has a different version, the patch fails there and it requests the complete object.
func (c *Cache) MakePatches(objects []Object, after era.Revision) (full []Object, patched []PatchedObject) {
	for i := range objects {
		object := &objects[i]
		if patch, ok := c.versions.patch(object, after); ok && !object.Deleted {
			patched = append(patched, PatchedObject{Name: object.Name, Revision: object.Revision, Patch: patch})
			continue
		}
		full = append(full, *object)
	}
	return full, patched
}

// ApplyPatches applies patches to the cached versions and returns the resulting objects. It fails
// if a cached version is not the base of its patch.
func (c *Cache) ApplyPatches(patched []PatchedObject) ([]Object, error) {
	objects := make([]Object, 0, len(patched))
	for i := range patched {
		update := &patched[i]
		content, err := update.Patch.Apply(c.content(update.Name))
		if err != nil {
			return nil, err
		}
		objects = append(objects, Object{Name: update.Name, Revision: update.Revision, Content: content})
	}
	return objects, nil
}

func (c *Cache) content(name string) []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.objects[name].Content
}
