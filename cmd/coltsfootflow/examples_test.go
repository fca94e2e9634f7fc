package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

var update = flag.Bool("update", false, "write the expected output of the examples and the generated pages")

// pagesFolder holds the pages for operators.
var pagesFolder = filepath.Join("..", "..", "docs", "OPERATORS")

// TestExamples runs the command of every example in the example's folder and
// compares its output and exit code with the expected ones.
func TestExamples(t *testing.T) {
	folders, err := filepath.Glob(filepath.Join(pagesFolder, "examples", "*", "cmd"))
	if err != nil || len(folders) < 10 {
		t.Fatalf("%d examples, %v", len(folders), err)
	}
	for _, path := range folders {
		folder := filepath.Dir(path)
		t.Run(filepath.Base(folder), func(t *testing.T) {
			is := is.New(t)
			t.Chdir(folder)
			command, err := os.ReadFile("cmd")
			is.NoErr(err)
			var out, errs bytes.Buffer
			code := commander.Run(context.Background(), "coltsfootflow", commands(), strings.Fields(string(command)), commander.Streams{Out: &out, Err: &errs})
			got := fmt.Sprintf("%s%sexit code %d\n", out.String(), errs.String(), code)
			if *update {
				is.NoErr(os.WriteFile("expected", []byte(got), 0o644))
			}
			want, err := os.ReadFile("expected")
			is.NoErr(err)
			is.Equal(got, string(want)) // run: go test ./cmd/coltsfootflow -run Examples -update
		})
	}
}

// TestEverySchemaHasAnExample checks that the example of a whole fleet has a record
// of each kind and schema version.
func TestEverySchemaHasAnExample(t *testing.T) {
	is := is.New(t)
	records, faults := parser.ReadRecords(filepath.Join(pagesFolder, "examples", "whole-fleet", "records"))
	is.Equal(len(faults), 0)
	for _, kind := range parser.KnownKinds() {
		for _, schema := range parser.KnownSchemas(kind) {
			t.Run(fmt.Sprintf("%s/%d", kind, schema), func(t *testing.T) {
				if !hasSchema(records, kind, schema) {
					t.Errorf("no example")
				}
			})
		}
	}
}

func hasSchema(records []flow.RawRecord, kind flow.Kind, schema int) bool {
	for _, raw := range records {
		if raw.Kind == kind && bytes.Contains(raw.Body, fmt.Appendf(nil, `"schema":%d,`, schema)) {
			return true
		}
	}
	return false
}

// TestRecordsOnPagesAreValid parses every block of records on the pages, and checks
// that the reference page shows each kind and schema version.
func TestRecordsOnPagesAreValid(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(pagesFolder, "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	var reference []flow.RawRecord
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			content, err := os.ReadFile(file)
			is.NoErr(err)
			for i, block := range recordBlocks(string(content)) {
				folder := t.TempDir()
				is.NoErr(os.WriteFile(filepath.Join(folder, fmt.Sprintf("block-%d.hujson", i+1)), []byte(block), 0o644))
				records, faults := parser.ReadRecords(folder)
				is.Equal(faults, nil)
				if filepath.Base(file) == "records.md" {
					reference = append(reference, records...)
				}
			}
		})
	}
	for _, kind := range parser.KnownKinds() {
		for _, schema := range parser.KnownSchemas(kind) {
			if !hasSchema(reference, kind, schema) {
				t.Errorf("records.md shows no %s of schema %d", kind, schema)
			}
		}
	}
}

// recordBlocks returns the fenced blocks of records on a page.
func recordBlocks(page string) []string {
	var found []string
	for _, part := range strings.Split(page, "```hujson\n")[1:] {
		block, _, _ := strings.Cut(part, "```")
		found = append(found, block)
	}
	return found
}

var linkTarget = regexp.MustCompile(`\]\(([^):]+)\)`)

// TestRelativeLinksResolve checks that the target of every relative link in the
// documents exists.
func TestRelativeLinksResolve(t *testing.T) {
	documents, err := filepath.Glob(filepath.Join(pagesFolder, "..", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	operators, err := filepath.Glob(filepath.Join(pagesFolder, "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range append(documents, operators...) {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range linkTarget.FindAllStringSubmatch(string(content), -1) {
			target, _, _ := strings.Cut(match[1], "#")
			if _, err := os.Stat(filepath.Join(filepath.Dir(file), target)); target != "" && err != nil {
				t.Errorf("%s: %v", file, err)
			}
		}
	}
}
