package objectstore

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/s2"

	"dewknot/internal/base/era"
)

const (
	// PieceBytes is the size of a piece of a large object. A piece takes 1/8 s on a link of 2
	// Mbit/s, and delays other messages of the node by no more than that.
	PieceBytes = 32 << 10
	// minLargeBytes is the minimum size of an object that is sent in pieces.
	minLargeBytes = 2 * PieceBytes
	// maxUnpackedBytes limits the size of decompressed content.
	maxUnpackedBytes = 16 << 20
)

// LargeObject identifies a version of an object that is fetched compressed and in pieces.
type LargeObject struct {
	Name     string
	Revision era.Revision
	// Size and Sum are the length and the xxHash64 checksum of the compressed content. Pieces of
	// different nodes can be combined only if both are equal.
	Size int
	Sum  uint64
}

// Unpack decompresses the content and returns the object. It fails if Size or Sum differ.
func (l *LargeObject) Unpack(packed []byte) (Object, error) {
	if len(packed) != l.Size || checksum(packed) != l.Sum {
		return Object{}, &Error{Outcome: NotDone, Detail: fmt.Sprintf("the pieces of version %d of %q do not match its size and checksum", l.Revision, l.Name)}
	}
	if size, err := s2.DecodedLen(packed); err != nil || size > maxUnpackedBytes {
		return Object{}, &Error{Outcome: NotDone, Detail: fmt.Sprintf("version %d of %q unpacks to %d bytes; at most %d are allowed", l.Revision, l.Name, size, maxUnpackedBytes)}
	}
	content, err := s2.Decode(nil, packed)
	if err != nil {
		return Object{}, &Error{Outcome: NotDone, Detail: fmt.Sprintf("unpack version %d of %q: %v", l.Revision, l.Name, err)}
	}
	return Object{Name: l.Name, Revision: l.Revision, Content: content}, nil
}

// SplitLarge splits objects into those that are sent inline and references to those that are
// fetched in pieces.
func (c *Cache) SplitLarge(objects []Object) (inline []Object, large []LargeObject) {
	for i := range objects {
		object := &objects[i]
		if len(object.Content) < minLargeBytes {
			inline = append(inline, *object)
			continue
		}
		packed := c.versions.pack(object)
		large = append(large, LargeObject{Name: object.Name, Revision: object.Revision, Size: len(packed), Sum: checksum(packed)})
	}
	return inline, large
}

// Piece returns the piece of an object's version that starts at a byte offset of the compressed
// content. Replaced versions are available for a while; otherwise the outcome of the error is
// NotFound.
func (c *Cache) Piece(name string, revision era.Revision, offset int) ([]byte, error) {
	packed, found := c.versions.packedVersion(name, revision)
	if !found || offset < 0 || offset >= len(packed) {
		return nil, &Error{Outcome: NotFound, Detail: fmt.Sprintf("version %d of %q is not available from byte %d on", revision, name, offset)}
	}
	return packed[offset:min(len(packed), offset+PieceBytes)], nil
}

// packedVersion is the compressed content of a version of an object.
type packedVersion struct {
	revision era.Revision
	content  []byte
}

// pack returns the compressed content of an object and keeps it, so that its pieces can be fetched.
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

// packedVersion returns the compressed content of a version that is still kept.
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

func checksum(content []byte) uint64 { return xxhash.Sum64(content) }
