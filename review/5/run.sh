#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/toucan-gateway ] || { echo "target/release/toucan-gateway is not built"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 timeout 110 python3 play.py
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
