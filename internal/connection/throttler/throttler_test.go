package throttler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/throttler"
)

// TestFloodDoesNotHideOtherFailure logs a thousand failures of one kind, or each of a new
// kind, and then one of another kind, which must be logged.
func TestFloodDoesNotHideOtherFailure(t *testing.T) {
	cases := map[string]struct {
		text   func(i int) string
		logged int // of 1000
	}{
		"one kind":                    {func(i int) string { return fmt.Sprintf("a frame of %d bytes", i) }, 10},
		"each of a new kind":          {func(i int) string { return fmt.Sprintf("unknown %c%c", 'a'+i%26, 'a'+i/26) }, 41},
		"one kind with a long text":   {func(int) string { return string(make([]byte, 1000)) }, 10},
		"one kind with an empty text": {func(int) string { return "" }, 10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var logThrottler throttler.Throttler
			now := time.Unix(0, 0)
			_, ok := logThrottler.Allow(now, "the tag does not match")
			is.True(ok)
			logged := 0
			for i := range 1000 {
				if _, ok := logThrottler.Allow(now, tc.text(i)); ok {
					logged++
				}
			}
			is.Equal(logged, tc.logged)
			suppressed, ok := logThrottler.Allow(now, "the tag does not match")
			is.True(ok)
			is.Equal(suppressed, 1000-logged)
			_, ok = logThrottler.Allow(now.Add(10*time.Second), tc.text(0))
			is.True(ok)
		})
	}
}
