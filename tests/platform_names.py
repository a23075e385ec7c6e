#!/usr/bin/python3
"""Guards against names of the users' platform outside platform/: the code in
src/ must not depend on the names that the platform uses on the wire."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Words without these characters may be ordinary English or the project's own,
# so they are not checked.
SPECIAL = re.compile(r"[-/._]")


def main():
    table = (ROOT / "platform" / "wire_name.h").read_text()
    names = [n for n in re.findall(r'"([^"]+)"', table) if SPECIAL.search(n) and not n.endswith(".h")]
    if len(names) < 15:
        sys.exit(f"FAILED: only {len(names)} names found in platform/wire_name.h")
    failures = []
    for path in sorted((ROOT / "src").iterdir()):
        text = path.read_text()
        failures += [f"{path.name}: {name}" for name in names if name in text]
    if failures:
        sys.exit("FAILED: platform names found in src/: " + "; ".join(failures))
    print(f"passed: none of {len(names)} names is in src/")


main()
