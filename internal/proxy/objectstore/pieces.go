package objectstore

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/s2"

	"dewknot/internal/base/era"
)

const (
	// PieceBytes is the size of a piece of a large object: an eighth of a second on a
	// link of 2 Mbit/s, the slowest of the users' small plays, so that what else a node
	// says is not held up for longer.
	PieceBytes = 32 << 10
	// largeFrom is the size from which an object is told in pieces.
	largeFrom = 2 * PieceBytes
	// maxUnpackedBytes bounds what compressed content may make.
	maxUnpackedBytes = 16 << 20
)

// LargeObject names a version of an object that is fetched compressed, in pieces.
type LargeObject struct {
	Name     string
	Revision era.Revision
	// Size and Sum are the length and the hash of the compressed content: pieces of
	// different nodes fit together only if these agree.
	Size int
	Sum  uint64
}

// Unpack returns the object that the compressed content makes.
func (l *LargeObject) Unpack(packed []byte) (Object, error) {
	if len(packed) != l.Size || sumOf(packed) != l.Sum {
		return Object{}, &Error{Outcome: NotDone, Detail: fmt.Sprintf("the pieces of version %d of %q do not fit together", l.Revision, l.Name)}
	}
	if size, err := s2.DecodedLen(packed); err != nil || size > maxUnpackedBytes {
		return Object{}, &Error{Outcome: NotDone, Detail: fmt.Sprintf("version %d of %q unpacks to %d bytes; %d are allowed", l.Revision, l.Name, size, maxUnpackedBytes)}
	}
	content, err := s2.Decode(nil, packed)
	if err != nil {
		return Object{}, &Error{Outcome: NotDone, Detail: fmt.Sprintf("unpack version %d of %q: %v", l.Revision, l.Name, err)}
	}
	return Object{Name: l.Name, Revision: l.Revision, Content: content}, nil
}

// NameLarge splits objects into those that are told at once and the names of those
// that are fetched in pieces.
func (c *Cache) NameLarge(objects []Object) (told []Object, large []LargeObject) {
	for i := range objects {
		object := &objects[i]
		if len(object.Content) < largeFrom {
			told = append(told, *object)
			continue
		}
		packed := c.versions.pack(object)
		large = append(large, LargeObject{Name: object.Name, Revision: object.Revision, Size: len(packed), Sum: sumOf(packed)})
	}
	return told, large
}

// Piece returns a piece of a version of an object, which may have been replaced
// meanwhile. A version that is no longer kept is an Error with outcome NotFound.
func (c *Cache) Piece(name string, revision era.Revision, offset int) ([]byte, error) {
	packed, found := c.versions.packedVersion(name, revision)
	if !found || offset < 0 || offset >= len(packed) {
		return nil, &Error{Outcome: NotFound, Detail: fmt.Sprintf("version %d of %q is not kept from byte %d on", revision, name, offset)}
	}
	return packed[offset:min(len(packed), offset+PieceBytes)], nil
}

// packedVersion is the compressed content of a version of an object.
type packedVersion struct {
	revision era.Revision
	content  []byte
}

// pack returns the compressed content of an object and keeps it for those who ask for
// its pieces.
func (v *versions) pack(object *Object) []byte {
	if kept, found := v.packedVersion(object.Name, object.Revision); found {
		return kept
	}
	packed := s2.EncodeBetter(nil, object.Content)
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.packed[object.Name] = appendVersion(v.packed[object.Name], packedVersion{object.Revision, packed})
	return packed
}

// packedVersion returns the compressed content of a version that was asked for lately.
func (v *versions) packedVersion(name string, revision era.Revision) ([]byte, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for i := range v.packed[name] {
		if kept := &v.packed[name][i]; kept.revision == revision {
			return kept.content, true
		}
	}
	return nil, false
}

func sumOf(content []byte) uint64 { return xxhash.Sum64(content) }
