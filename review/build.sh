#!/usr/bin/env bash
# The stand-ins under review/ are Python programs that use the standard library only: this checks that they compile.
# The scripts start target/filbertgw, which the build of the deploy file makes, and none of the project's own stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standin/*.py [0-9]*/*.py <<'PYTHON'
import sys

for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
print("%d files compile" % (len(sys.argv) - 1))
PYTHON
