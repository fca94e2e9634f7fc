#!/bin/sh
# Builds the stand-ins of all cases into review/bin.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/standin ./review/platform
