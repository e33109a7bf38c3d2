#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# The builds of deploy/balancer.toml and of review/build.sh come first.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../bin/reedlead ] || { echo "not built"; exit 2; }
exec ../bin/standin budget "$PWD"
