#!/bin/sh
# The stand-ins of the second review are plain Python of the standard library: check
# that all of them compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B - <<'END'
import pathlib
import sys

paths = sorted(pathlib.Path('review/harness2').glob('*.py'))
paths += sorted(pathlib.Path('review').glob('10/case.py'))
paths += sorted(pathlib.Path('review').glob('[6-9]/case.py'))
for path in paths:
    compile(path.read_text(), str(path), 'exec')
print(f'{len(paths)} modules, {sys.version.split()[0]}')
END
