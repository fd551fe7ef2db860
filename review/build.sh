#!/usr/bin/env bash
# Prepares the stand-ins of the cases.  They are plain Python without
# dependencies, in `review/installation.py`; this only checks that they compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
    print('ok', path)
CHECK
