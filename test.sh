#!/usr/bin/env bash
# The project's test command: format, vet, build, tests, the module's size.
set -euo pipefail
cd "$(dirname "$0")"
out=$(gofmt -l policy internal cmd)
if [ -n "$out" ]; then echo "gofmt needed: $out"; exit 1; fi
go vet ./...
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
  lines=$(grep -c '[^[:space:]]' "$f")
  [ "$lines" -le 1200 ] || { echo "$f holds $lines lines, 1200 at most"; exit 1; }
  long=$(awk '{ gsub(/\t/, " ") } length($0) > 110 { print NR }' "$f")
  [ -z "$long" ] || { echo "$f: over 110 characters in lines" $long; exit 1; }
  echo "$f: $lines non-blank lines"
done
