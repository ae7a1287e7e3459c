#!/bin/sh
# Builds what the scripts of cases 4 to 8 start beside the system's own programs. Their
# stand-ins are in kit-2/kit.py and use Python's standard library alone, so there is nothing
# to compile; this checks that they can be read here.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import glob
for name in sorted(glob.glob("kit-2/*.py") + glob.glob("[4-8]/case.py")):
    compile(open(name).read(), name, "exec")
    print("ok", name)
PY
