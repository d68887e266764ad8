#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 it does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
PYTHONPATH="target/deps:.:review" exec python3 "$folder/case.py"
