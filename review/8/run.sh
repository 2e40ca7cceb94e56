#!/bin/sh
# Exits with 1 if a gateway that got SIGTERM broke off an answer that its worker had made whole, 0 if not, 2 if the case
# could not run.
exec python3 "$(dirname "$0")/case.py"
