#!/bin/bash
# Builds the stand-ins and clients that the scripts of the cases 4 to 8 start, into target/review-2. It needs no network.
set -eu
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/standins-2/replica.ts review/standins-2/case-*.ts --bundle --platform=node --format=esm --target=node20 --out-extension:.js=.mjs --outdir=target/review-2 --log-level=warning
