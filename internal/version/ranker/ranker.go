// Package ranker ranks hosts for resources by rendezvous hashing. The first
// host owns the resource, and the second is the next owner.
package ranker

import (
	"hash/fnv"

	"github.com/coltsfootflow/coltsfootflow/internal/process/hasher"
)

// Ranking ranks the hosts of one version of a list for any resource, by
// rendezvous hashing (Thaler, Ravishankar: Using name-based mappings to
// increase hit rates, 1998). When a host leaves the list, only the resources
// that it owned move, each to the next host in its ranking. A Ranking is
// immutable and safe for concurrent use.
type Ranking struct {
	hosts  []string
	hashes []uint64
}

// New returns the ranking for a list of hosts. The caller must not change the
// list afterwards.
func New(hosts []string) *Ranking {
	ranking := &Ranking{hosts: hosts, hashes: make([]uint64, len(hosts))}
	for i, host := range hosts {
		ranking.hashes[i] = hashString(host)
	}
	return ranking
}

// Owner returns the first host for a resource, or "" if the list is empty.
func (r *Ranking) Owner(resource string) string {
	first, _ := r.FirstTwo(resource)
	return first
}

// FirstTwo returns the first two hosts for a resource. A missing host is "".
func (r *Ranking) FirstTwo(resource string) (first, second string) {
	hash := hashString(resource)
	var firstScore, secondScore uint64
	for i, host := range r.hosts {
		score := hasher.Mix(r.hashes[i] ^ hash)
		switch {
		case first == "" || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = host, score
		case second == "" || score > secondScore:
			second, secondScore = host, score
		}
	}
	return first, second
}

// Ranked returns the first n hosts for a resource, or all if the list is
// shorter.
func (r *Ranking) Ranked(resource string, n int) []string {
	hash := hashString(resource)
	n = min(n, len(r.hosts))
	ranked := make([]string, 0, n+1)
	scores := make([]uint64, 0, n+1)
	for i, host := range r.hosts {
		score := hasher.Mix(r.hashes[i] ^ hash)
		at := len(scores)
		for at > 0 && scores[at-1] < score {
			at--
		}
		if at == n {
			continue
		}
		ranked = insertHost(ranked, at, host, n)
		scores = insertScore(scores, at, score, n)
	}
	return ranked
}

func insertHost(hosts []string, at int, host string, n int) []string {
	hosts = append(hosts, "")
	copy(hosts[at+1:], hosts[at:])
	hosts[at] = host
	return hosts[:min(len(hosts), n)]
}

func insertScore(scores []uint64, at int, score uint64, n int) []uint64 {
	scores = append(scores, 0)
	copy(scores[at+1:], scores[at:])
	scores[at] = score
	return scores[:min(len(scores), n)]
}

func hashString(s string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(s)) // a hash.Hash never returns an error
	return hasher.Mix(digest.Sum64())
}
