#!/usr/bin/env bash
# Cases 11 to 15 start no program of the project's stand-ins: theirs are the modules of
# review/harness3, which need Python's standard library alone. Nothing is downloaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1
for module in wire store engine brittle lab load play records; do
  python3 -S -c "import review.harness3.$module"
done
for case in review/1[1-5]/case.py; do
  python3 -S -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$case"
done
