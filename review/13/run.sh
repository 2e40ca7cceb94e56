#!/bin/sh
# Plays the case once: 1 if a rule was broken, 0 if the rules held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")"
exec python3 case.py
