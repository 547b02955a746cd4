// Package delta encodes a version of a text as its difference from an older one.
//
// Texts are split into chunks at delimiters, so inserting or removing an entry leaves the chunks of
// its neighbors unchanged. A chunk that occurs anywhere in the older version is copied from there.
// Checksums detect a receiver whose base differs from the sender's.
package delta

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// delimiter ends a chunk. It is the last byte of the entries in encoded lists of objects.
	delimiter = '}'
	// maxChunkBytes bounds a chunk of a text without delimiters.
	maxChunkBytes = 4 << 10
	// MaxTargetBytes bounds the result of a patch.
	MaxTargetBytes = 16 << 20
)

// Patch turns its base into a target text.
type Patch struct {
	// BaseSum and TargetSum are the xxhash checksums of both texts.
	BaseSum   uint64
	TargetSum uint64
	// TargetBytes is the length of the target.
	TargetBytes int
	Steps       []Step
}

// Step is one part of the target: either bytes copied from the base or inserted bytes.
type Step struct {
	// From and Length select bytes of the base; Length is 0 for an insertion.
	From   int    `msgpack:",omitempty"`
	Length int    `msgpack:",omitempty"`
	Insert []byte `msgpack:",omitempty"`
}

// Errors of Apply.
var (
	// ErrBase is returned if the patch belongs to another base.
	ErrBase = errors.New("the patch is for another version; request the complete object")
	// ErrInvalid is returned if the patch does not produce the target that it describes.
	ErrInvalid = errors.New("the patch is not valid; request the complete object")
)

// Make returns the patch that turns base into target.
func Make(base, target []byte) Patch {
	offsets := map[string]int{}
	for position := 0; position < len(base); {
		size := chunkBytes(base[position:])
		offsets[string(base[position:position+size])] = position
		position += size
	}
	patch := Patch{BaseSum: xxhash.Sum64(base), TargetSum: xxhash.Sum64(target), TargetBytes: len(target)}
	for position := 0; position < len(target); {
		size := chunkBytes(target[position:])
		chunk := target[position : position+size]
		position += size
		if from, found := offsets[string(chunk)]; found {
			patch.copyFrom(from, size)
			continue
		}
		patch.insert(chunk)
	}
	return patch
}

// chunkBytes returns the length of the first chunk of a nonempty text.
func chunkBytes(text []byte) int {
	limit := min(len(text), maxChunkBytes)
	if at := bytes.IndexByte(text[:limit], delimiter); at >= 0 {
		return at + 1
	}
	return limit
}

// copyFrom appends bytes of the base. It extends the last step if that is adjacent in the base.
func (p *Patch) copyFrom(from, length int) {
	if last := len(p.Steps) - 1; last >= 0 && p.Steps[last].Length > 0 && p.Steps[last].From+p.Steps[last].Length == from {
		p.Steps[last].Length += length
		return
	}
	p.Steps = append(p.Steps, Step{From: from, Length: length})
}

// insert appends bytes that the base lacks.
func (p *Patch) insert(chunk []byte) {
	if last := len(p.Steps) - 1; last >= 0 && p.Steps[last].Length == 0 {
		p.Steps[last].Insert = append(p.Steps[last].Insert, chunk...)
		return
	}
	p.Steps = append(p.Steps, Step{Insert: bytes.Clone(chunk)})
}

// stepBytes is the approximate encoded size of a step without inserted bytes.
const stepBytes = 20

// Bytes returns the approximate encoded size of the patch.
func (p *Patch) Bytes() int {
	size := 0
	for i := range p.Steps {
		size += stepBytes + len(p.Steps[i].Insert)
	}
	return size
}

// Apply returns the target. It fails with ErrBase for a different base and with ErrInvalid for a
// damaged patch.
func (p *Patch) Apply(base []byte) ([]byte, error) {
	if xxhash.Sum64(base) != p.BaseSum {
		return nil, ErrBase
	}
	if p.TargetBytes < 0 || p.TargetBytes > MaxTargetBytes {
		return nil, ErrInvalid
	}
	target := make([]byte, 0, min(p.TargetBytes, len(base)+p.Bytes()))
	for i := range p.Steps {
		step := &p.Steps[i]
		if step.From < 0 || step.Length < 0 || step.From > len(base) || step.Length > len(base)-step.From {
			return nil, ErrInvalid
		}
		if len(target)+step.Length+len(step.Insert) > p.TargetBytes {
			return nil, ErrInvalid
		}
		target = append(target, base[step.From:step.From+step.Length]...)
		target = append(target, step.Insert...)
	}
	if len(target) != p.TargetBytes || xxhash.Sum64(target) != p.TargetSum {
		return nil, ErrInvalid
	}
	return target, nil
}
