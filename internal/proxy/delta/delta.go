// Package delta encodes a version of a text as its difference from an older one.
//
// Texts are cut into chunks at delimiters, so that an entry which is inserted or
// removed leaves the chunks of its neighbours as they are. A chunk that the older
// version has is copied from there, whatever its place. Checksums tell a receiver
// that holds another base than the sender believed.
package delta

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// delimiter ends a chunk: it ends the entries of encoded lists of objects.
	delimiter = '}'
	// maxChunkBytes bounds a chunk of a text without delimiters.
	maxChunkBytes = 4 << 10
	// MaxTargetBytes bounds the text that a patch may make.
	MaxTargetBytes = 16 << 20
)

// Patch makes a target text of its base.
type Patch struct {
	// BaseSum and TargetSum are the checksums of both texts.
	BaseSum   uint64
	TargetSum uint64
	// TargetBytes is the length of the target.
	TargetBytes int
	Steps       []Step
}

// Step is one part of the target: bytes of the base, or inserted ones.
type Step struct {
	// From and Length name bytes of the base; Length is 0 for an insertion.
	From   int    `msgpack:",omitempty"`
	Length int    `msgpack:",omitempty"`
	Insert []byte `msgpack:",omitempty"`
}

// The ways in which a patch fails to apply.
var (
	// ErrBase is returned if the patch is for another base.
	ErrBase = errors.New("the patch is for another version; ask for the whole object")
	// ErrInvalid is returned if the patch does not make the target that it claims.
	ErrInvalid = errors.New("the patch is not valid; ask for the whole object")
)

// Make returns the patch that makes target of base.
func Make(base, target []byte) Patch {
	known := map[string]int{}
	for at := 0; at < len(base); {
		size := chunkBytes(base[at:])
		known[string(base[at:at+size])] = at
		at += size
	}
	patch := Patch{BaseSum: xxhash.Sum64(base), TargetSum: xxhash.Sum64(target), TargetBytes: len(target)}
	for at := 0; at < len(target); {
		size := chunkBytes(target[at:])
		chunk := target[at : at+size]
		at += size
		if from, found := known[string(chunk)]; found {
			patch.copyFrom(from, size)
			continue
		}
		patch.insert(chunk)
	}
	return patch
}

// chunkBytes returns the length of the first chunk of a text that is not empty.
func chunkBytes(text []byte) int {
	limit := min(len(text), maxChunkBytes)
	if at := bytes.IndexByte(text[:limit], delimiter); at >= 0 {
		return at + 1
	}
	return limit
}

// copyFrom adds bytes of the base, to the last step if they follow its bytes.
func (p *Patch) copyFrom(from, length int) {
	if last := len(p.Steps) - 1; last >= 0 && p.Steps[last].Length > 0 && p.Steps[last].From+p.Steps[last].Length == from {
		p.Steps[last].Length += length
		return
	}
	p.Steps = append(p.Steps, Step{From: from, Length: length})
}

// insert adds bytes that the base lacks.
func (p *Patch) insert(chunk []byte) {
	if last := len(p.Steps) - 1; last >= 0 && p.Steps[last].Length == 0 {
		p.Steps[last].Insert = append(p.Steps[last].Insert, chunk...)
		return
	}
	p.Steps = append(p.Steps, Step{Insert: bytes.Clone(chunk)})
}

// stepBytes is about the encoded size of a step without its insertion.
const stepBytes = 20

// Bytes returns about how large the encoded patch is.
func (p *Patch) Bytes() int {
	size := 0
	for i := range p.Steps {
		size += stepBytes + len(p.Steps[i].Insert)
	}
	return size
}

// Apply returns the target. It fails with ErrBase for another base, and with
// ErrInvalid for a patch that is damaged.
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
