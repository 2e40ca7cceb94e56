#!/bin/sh
# Builds every stand-in that a script of the third review starts. They are Python programs of the standard library alone, so
# there is nothing to compile: the programs are checked.
set -eu
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is needed" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 - standins_3.py 1[1-5]/case.py <<'END'
import os
import sys
for path in sys.argv[1:]:
    if os.path.exists(path):
        compile(open(path, encoding="utf-8").read(), path, "exec")
END
