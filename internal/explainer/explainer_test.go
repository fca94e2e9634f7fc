package explainer_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/explainer"
)

var update = flag.Bool("update", false, "write the expected timelines")

// TestTimelines compares the timeline of the request in each folder of testdata
// with the expected one. The logs are those of a real run.
func TestTimelines(t *testing.T) {
	folders, err := filepath.Glob(filepath.Join("testdata", "*"))
	is.New(t).NoErr(err)
	is.New(t).True(len(folders) >= 4)
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			is := is.New(t)
			request, err := os.ReadFile(filepath.Join(folder, "request"))
			is.NoErr(err)
			log, err := os.Open(filepath.Join(folder, "log"))
			is.NoErr(err)
			defer func() { _ = log.Close() }()
			id := strings.TrimSpace(string(request))
			lines, err := explainer.Read(log, id)
			is.NoErr(err)
			var timeline bytes.Buffer
			is.True(explainer.WriteTimeline(&timeline, id, lines))
			expected := filepath.Join(folder, "expected")
			if *update {
				is.NoErr(os.WriteFile(expected, timeline.Bytes(), 0o644))
			}
			want, err := os.ReadFile(expected)
			is.NoErr(err)
			is.Equal(timeline.String(), string(want)) // run: go test ./internal/explainer -update
		})
	}
}

func TestUnknownRequestHasNoTimeline(t *testing.T) {
	is := is.New(t)
	lines, err := explainer.Read(strings.NewReader("nothing\n{\"request\":\"other\"}\n"), "id")
	is.NoErr(err)
	is.True(!explainer.WriteTimeline(&bytes.Buffer{}, "id", lines))
}
