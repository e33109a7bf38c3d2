#!/usr/bin/env bash
# Runs all checks of the project: format, vet, lint, build and tests. The network is needed only to download Go modules.
set -euo pipefail
cd "$(dirname "$0")"

golangci_lint() { go tool -modfile=tools/go.mod golangci-lint "$@"; }

# deploy_value prints the value of a key of the deploy file, without its quotes or brackets.
deploy_value() { sed -n "s/^$1 = [\"[]\(.*\)[]\"]\$/\1/p" deploy/balancer.toml; }

golangci_lint fmt --diff
go vet ./...
golangci_lint run

build=$(deploy_value build)
[ -n "$build" ] || { echo "no build command in deploy/balancer.toml"; exit 1; }
bash -c "$build"

red=()
if [ -e KNOWN-RED.txt ]; then
  names=$(go test -list '^Test' ./...)
  pattern=$(go run ./cmd/knownred KNOWN-RED.txt <<< "$names")
  if [ -n "$pattern" ]; then red=(-skip "$pattern"); fi
fi
go test -race -count=1 ${red[@]+"${red[@]}"} ./...

# The deploy file must list every source file of the decision module. Their lines may have at most 110 characters.
listed=$(deploy_value policy | tr -d '" ' | tr ',' '\n' | sort)
present=$(ls policy/*.go | grep -v _test.go | sort)
[ "$listed" = "$present" ] || { echo "the policy files in deploy/balancer.toml differ from the files in policy/:"; diff <(echo "$listed") <(echo "$present"); exit 1; }
for f in $listed; do
  long=$(awk '{ gsub(/\t/, " ") } length($0) > 110 { print NR }' "$f")
  [ -z "$long" ] || { echo "$f: more than 110 characters in lines:" $long; exit 1; }
done
