#!/usr/bin/env bash
# Builds every stand-in that the cases start, into review/bin. The project's own programs are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/drive
