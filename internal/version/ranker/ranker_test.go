package ranker_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
)

func TestResourceMovesToSecondHostWhenOwnerLeaves(t *testing.T) {
	is := is.New(t)
	hosts := []string{"10.1.0.1", "10.1.0.2", "10.2.0.1", "10.2.0.2"}
	owners := map[string]int{}
	for i := range 400 {
		customer := fmt.Sprintf("customer-%d", i)
		owner, second := ranker.New(hosts).FirstTwo(customer)
		owners[owner]++
		is.True(second != owner)
		reversed, _ := ranker.New([]string{hosts[3], hosts[2], hosts[1], hosts[0]}).FirstTwo(customer)
		is.Equal(reversed, owner) // the order of the list does not matter
		without := []string{}
		for _, host := range hosts {
			if host != hosts[0] {
				without = append(without, host)
			}
		}
		next, _ := ranker.New(without).FirstTwo(customer)
		if owner != hosts[0] {
			is.Equal(next, owner) // only what the removed host owned moves
		} else {
			is.Equal(next, second) // it moves to the second host
		}
	}
	for _, host := range hosts {
		is.True(owners[host] > 60)
	}
	owner, second := ranker.New(nil).FirstTwo("customer")
	is.Equal(owner+second, "")
	owner, second = ranker.New(hosts[:1]).FirstTwo("customer")
	is.Equal(owner, hosts[0])
	is.Equal(second, "")
}
