package modelchecker_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/modelchecker"
)

// checkedSchedules is the number of schedules of each kind in the model check,
// and mutationSchedules the number within which every mutation must be found.
const (
	checkedSchedules  = 40
	mutationSchedules = 200
)

func TestLeaseAndOwnershipHoldUnderRandomFaults(t *testing.T) {
	var mu sync.Mutex
	total := modelchecker.Reached{}
	t.Cleanup(func() {
		is := is.New(t)
		for _, what := range []string{"cession", "handed back", "list change", "new holder", "restart"} {
			is.True(total[what] > 0) // a check that reaches nothing shows nothing
		}
	})
	for _, kind := range modelchecker.Kinds() {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			search := modelchecker.Search{Kind: kind, From: 1, Count: checkedSchedules}
			found, reached := search.Run(t.Context())
			if found != nil {
				t.Fatalf("seed %d: %v\n%q", found.Seed, found.Cause, found.Steps)
			}
			mu.Lock()
			defer mu.Unlock()
			for what, count := range reached {
				total[what] += count
			}
		})
	}
}

func TestModelCheckFindsEveryMutation(t *testing.T) {
	for _, mutation := range modelchecker.Mutations() {
		t.Run(mutation.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			search := modelchecker.Search{Kind: kindNamed(t, mutation.Kind), Mutation: mutation, From: 1, Count: mutationSchedules}
			found, _ := search.Run(t.Context())
			is.True(found != nil) // the mutation is caught by a broken promise
			t.Logf("seed %d: %v", found.Seed, found.Cause)
			sound := modelchecker.Search{Kind: search.Kind, From: found.Seed, Count: 1}
			clean, _ := sound.Run(t.Context())
			is.True(clean == nil) // without the mutation the schedule is fine
		})
	}
}

func kindNamed(t *testing.T, name string) modelchecker.Kind {
	t.Helper()
	for _, kind := range modelchecker.Kinds() {
		if kind.Name == name {
			return kind
		}
	}
	t.Fatalf("there is no kind %s", name)
	return modelchecker.Kind{}
}
