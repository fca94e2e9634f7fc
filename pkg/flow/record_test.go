package flow_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestRevisionsOrderByEra guards against a revision that the platform has used again after
// a restore and that counts as older than the one that was lost.
func TestRevisionsOrderByEra(t *testing.T) {
	is := is.New(t)
	lost, err := flow.NewRevision(0, 100)
	is.NoErr(err)
	is.Equal(lost, flow.Revision(100)) // as before without a restore
	is.Equal(lost.LogValue().Any(), uint64(100))
	later, err := flow.NewRevision(3, 85)
	is.NoErr(err)
	is.True(later > lost)
	is.Equal(later.Era(), uint64(3))
	is.Equal(later.Number(), uint64(85))
	is.Equal(later.LogValue().Any(), "3/85")
	_, err = flow.NewRevision(flow.MaxEra+1, 1)
	is.True(err != nil)
	_, err = flow.NewRevision(0, flow.MaxNumber+1)
	is.True(err != nil)
}
