#!/bin/sh
# Prepares the stand-ins of the cases 4 to 8: they are Python, so it is enough that all of them
# compile and load with the libraries of the deploy file's build in target/deps.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:review:." exec python3 - review/[4-8]/run.py <<'EOF'
import ast
import sys
from pathlib import Path

import standin_fleet_2 as fleet  # the stand-ins that all cases share, and those of the project that they use

for path in sys.argv[1:]:
    ast.parse(Path(path).read_text(), path)
print(f"{fleet.__name__} and {len(sys.argv) - 1} cases are ready")
EOF
