package follower

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// manyRoutes returns a configuration with 1400 routes.
func manyRoutes() *flow.Configuration {
	c := &flow.Configuration{Version: 9, Customers: []flow.CustomerRule{{Name: "c", Keys: []string{"k"}, Priority: -1}}}
	for i := range 1400 {
		c.Routes = append(c.Routes, flow.RouteRule{
			Name: fmt.Sprintf("r-%06d", i*7919), Host: fmt.Sprintf("h%d.example", i%40), PathPrefix: fmt.Sprintf("/p%d/", i),
			Split: []flow.WeightedService{{Service: "s", Weight: 1}}, Idempotent: true, MaxAttempts: 2, Timeout: 6e9, TargetLatency: 25e8,
		})
	}
	return c
}

func TestPackAndUnpack(t *testing.T) {
	is := is.New(t)
	configuration := manyRoutes()
	packed, err := pack(configuration)
	is.NoErr(err)
	got, err := unpack(packed)
	is.NoErr(err)
	is.Equal(got, configuration)
	plain, err := msgpack.Marshal(configuration)
	is.NoErr(err)
	is.True(len(packed)*4 < len(plain)) // one daemon sends it to all others in its zone
	_, err = unpack([]byte("nonsense"))
	is.True(err != nil)
}

// TestConfigurationsAreAnnouncedFirst checks that a configuration is sent only to a
// peer that asks for it, and is relayed unchanged.
func TestConfigurationsAreAnnouncedFirst(t *testing.T) {
	is := is.New(t)
	update := flow.Update{Revision: 5, Changes: []flow.Change{{Key: "c", Revision: 5, Configuration: manyRoutes()}}}
	is.NoErr(addBothForms(update))
	announced := newFetchAnswer(update, false, 0)
	is.True(announced.Large)
	is.Equal(len(announced.Update.Changes), 0)
	is.Equal(announced.Update.Revision, flow.Revision(0)) // the announcement proves no revision
	sent, err := msgpack.Marshal(newFetchAnswer(update, true, 0))
	is.NoErr(err)
	var answer FetchAnswer
	is.NoErr(msgpack.Unmarshal(sent, &answer))
	is.NoErr(addBothForms(answer.Update))
	is.Equal(answer.Update.Changes[0].Configuration, update.Changes[0].Configuration)
	is.Equal(answer.Update.Changes[0].EncodedConfiguration, update.Changes[0].EncodedConfiguration)
	small := newFetchAnswer(flow.Update{Revision: 6}, false, 0)
	is.True(!small.Large)
}
