#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run stands in record.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/waxwingd ] && [ -x target/lab3 ] || { echo "build the deploy file and run review/build-3.sh first"; exit 2; }
# SIGTERM makes the program end what it has started.
timeout --kill-after=3 112 target/lab3 mirror review/11/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
