#!/usr/bin/env bash
# The project's test command: format, vet, lint, build, tests.
set -euo pipefail
cd "$(dirname "$0")"
out=$(gofmt -l policy internal cmd)
if [ -n "$out" ]; then echo "gofmt needed: $out"; exit 1; fi
go vet ./...
go tool staticcheck ./...
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$build" ] || { echo "no build command in deploy/balancer.toml"; exit 1; }
bash -c "$build"
red=()
if [ -e KNOWN-RED.txt ]; then
  names=$(go test -list '^Test' ./...)
  pattern=$(go run ./cmd/knownred KNOWN-RED.txt <<< "$names")
  if [ -n "$pattern" ]; then red=(-skip "$pattern"); fi
fi
go test -race -count=1 ${red[@]+"${red[@]}"} ./...
for f in $(sed -n 's/^policy = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '",'); do
  long=$(awk '{ gsub(/\t/, " ") } length($0) > 110 { print NR }' "$f")
  [ -z "$long" ] || { echo "$f: over 110 characters in lines" $long; exit 1; }
done
