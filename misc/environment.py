"""Run a script in the checkout's own virtual environment.

Uses only the standard library, because it runs before the environment exists.
"""

import os
import pathlib
import subprocess
import sys
from typing import Final

REPOSITORY: Final = pathlib.Path(__file__).resolve().parent.parent
VENV: Final = REPOSITORY / ".venv"
# Last file that the installation creates. If it is missing, the environment is missing
# or incomplete.
MARKER: Final = VENV / "bin" / "bilberrydrumd"


def reexecute() -> None:
    """Create the environment if it is missing, and run the script again in it."""
    if pathlib.Path(sys.prefix).resolve() == VENV:
        return
    if not MARKER.exists():
        print(f"creating {VENV}", file=sys.stderr)
        subprocess.run([sys.executable, "-m", "venv", str(VENV)], check=True)
        pip = [str(VENV / "bin" / "pip"), "install", "--quiet"]
        options = ["--disable-pip-version-check", "-e", str(REPOSITORY)]
        subprocess.run([*pip, *options], check=True)
    python = str(VENV / "bin" / "python")
    os.execv(python, [python, *sys.argv])
