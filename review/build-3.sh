#!/usr/bin/env bash
# Builds what the scripts of the third review start, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/1[1-5]/main.go; do
	number=$(basename "$(dirname "$main")")
	go build -tags review -o "target/review/case-$number" "./review/$number"
done
