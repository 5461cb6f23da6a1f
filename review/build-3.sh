#!/usr/bin/env bash
# The stand-ins of review/harness3 need Python's standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. python3 -c 'import review.harness3.brittle, review.harness3.records'
