#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They need Python 3.11 or later and only its standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(Path().glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
