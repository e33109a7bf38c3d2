#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p bin
go build -o bin/ ./cmd/...
