#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 need no build: Python and its standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib
for path in (pathlib.Path("standins_2.py"), *pathlib.Path().glob("[6-9]/case.py"), *pathlib.Path().glob("10/case.py")):
    ast.parse(path.read_text(), str(path))'
