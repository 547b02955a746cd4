#!/usr/bin/env bash
# Plays the case with the programs in target/. TROUBLE=0 leaves the disruption out.
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dewknot-proxy ] || { echo "build the project first, as deploy/system.toml says" >&2; exit 2; }
[ -x target/review-standin ] || bash review/build.sh || exit 2
exec timeout -k 2 110 target/review-standin -case held-replicas -root . -record review/2/record.txt
