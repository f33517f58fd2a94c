#!/usr/bin/env bash
# Builds every stand-in that the cases of the second review start. Run it from anywhere, after the build of
# deploy/balancer.toml, which builds the program under review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review2 ./review/drive2
