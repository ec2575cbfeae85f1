#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use Python's standard library alone and share lib2; the
# programs themselves come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/lib2/*.py
for case in 6 7 8 9 10; do
    if [ -e "review/$case/case.py" ]; then python3 -m py_compile "review/$case/case.py"; fi
done
