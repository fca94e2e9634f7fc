// Rankings of the hosts of a member list.

package placer

import (
	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
)

// NewRanking returns the ranking of a list.
func NewRanking(list prover.MemberList) *ranker.Ranking { return ranker.New(list.Names) }

// Owner returns the owner of a resource in a list. Use a Ranking for more than one
// resource.
func Owner(list prover.MemberList, resource string) string {
	return NewRanking(list).Owner(resource)
}

// Ranked returns the first n hosts of a resource in a list. Use a Ranking for more
// than one resource.
func Ranked(list prover.MemberList, resource string, n int) []string {
	return NewRanking(list).Ranked(resource, n)
}
