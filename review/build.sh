#!/bin/sh
# Builds the stand-ins and the runners of the scripted cases into target/review/.
# Run it in the repository after the build of deploy/system.toml, which installs esbuild.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for runner in review/*/runner.mjs; do
	[ -e "$runner" ] || continue
	number=$(basename "$(dirname "$runner")")
	node_modules/.bin/esbuild "$runner" --bundle --platform=node --format=esm --target=node20 --log-level=warning --outfile="target/review/$number.mjs"
done
