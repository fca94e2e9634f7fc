// Package hasher mixes the bits of hashes, for the ranking of hosts by rendezvous
// hashing.
package hasher

// Mix is the finalizer of SplitMix64 (Steele, Lea, Flood: Fast splittable
// pseudorandom number generators, 2014).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
