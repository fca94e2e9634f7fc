#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside target/coltsfootflow, which the build
# of the deploy file makes. It needs no network once the project's modules are there.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
	if [ -e "$folder/main.go" ]; then
		go build -tags review -o "target/review-2/case-$(basename "$folder")" "./$folder"
	fi
done
