#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs no network: they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 go build -o ../bin/standin .
