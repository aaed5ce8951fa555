package cascade

import "github.com/cespare/xxhash/v2"

// SizeClass is the class of a request by its size among those of its kind.
type SizeClass uint64

// The size classes: the largest tenth of a kind, the fifth below it, and the rest.
const (
	Ordinary SizeClass = iota
	Large
	Largest
)

const (
	largestShare, largeShare = 0.1, 0.3
	// sizeMemory is the number of requests with which a size is compared, and minSizes that
	// from which sizes are told apart.
	sizeMemory, minSizes = 200, 20
)

// Sizes holds the sizes of the last requests of one kind.
type Sizes struct {
	recent []int
	next   int
}

// Classify adds the size of a request and returns its class.
func (s *Sizes) Classify(size int) SizeClass {
	if len(s.recent) < sizeMemory {
		s.recent = append(s.recent, size)
	} else {
		s.recent[s.next] = size
		s.next = (s.next + 1) % sizeMemory
	}
	if len(s.recent) < minSizes {
		return Ordinary
	}
	larger := 0
	for _, other := range s.recent {
		if other > size {
			larger++
		}
	}
	switch share := float64(larger) / float64(len(s.recent)); {
	case share < largestShare:
		return Largest
	case share < largeShare:
		return Large
	}
	return Ordinary
}

// NewClass returns the class of the requests of a kind with a size class.
func NewClass(kind string, size SizeClass) Class {
	return Class(xxhash.Sum64String(kind)&^3 | uint64(size))
}
