#!/usr/bin/env bash
# Build the stand-ins of the cases. They are Python programs that use the standard
# library only, so this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path().glob("**/*.py")):
    compile(path.read_text(), str(path), "exec")
END
