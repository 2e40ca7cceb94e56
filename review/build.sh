#!/bin/sh
# Builds every stand-in that a script starts. They are Python programs that use the standard library alone,
# so there is nothing to compile: the interpreter is looked for, and the programs are checked.
set -e
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is needed" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 - standins.py [0-9]/play.py <<'END'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
END
