package throttler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/throttler"
)

// TestFloodHidesNoOtherKind floods a log with failures of one kind, or of ever
// new kinds, before one that has to be seen.
func TestFloodHidesNoOtherKind(t *testing.T) {
	cases := map[string]struct {
		text   func(i int) string
		logged int // of a thousand
	}{
		"one kind":             {func(i int) string { return fmt.Sprintf("a frame of %d bytes", i) }, 10},
		"ever new kinds":       {func(i int) string { return fmt.Sprintf("unknown %c%c", 'a'+i%26, 'a'+i/26) }, 41},
		"kinds of long text":   {func(int) string { return string(make([]byte, 1000)) }, 10},
		"kinds of a few bytes": {func(int) string { return "" }, 10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var throttle throttler.Throttler
			now := time.Unix(0, 0)
			_, ok := throttle.Allow(now, "the tag does not match")
			is.True(ok)
			logged := 0
			for i := range 1000 {
				if _, ok := throttle.Allow(now, tc.text(i)); ok {
					logged++
				}
			}
			is.Equal(logged, tc.logged)
			passed, ok := throttle.Allow(now, "the tag does not match")
			is.True(ok)
			is.Equal(passed, 1000-logged)
			_, ok = throttle.Allow(now.Add(10*time.Second), tc.text(0))
			is.True(ok)
		})
	}
}
