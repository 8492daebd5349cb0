"""Check that generating again changes no committed file."""

import sys
from pathlib import Path
from tempfile import TemporaryDirectory

sys.path.insert(0, str(Path(__file__).resolve().parent))

from generate import OUTPUT_DIR, SCHEMA_DIR, generate  # noqa: E402
from generate_reference import REFERENCE, build_reference  # noqa: E402


def main() -> int:
    """Return 1 and name the files that differ from their schema."""
    stale = []
    with TemporaryDirectory(dir=OUTPUT_DIR.parent) as directory:
        for schema in sorted(SCHEMA_DIR.glob("*.yaml")):
            output = Path(directory) / f"{schema.stem}.py"
            generate(schema, output)
            committed = OUTPUT_DIR / output.name
            if not committed.exists() or committed.read_text() != output.read_text():
                stale.append(committed.name)
    if not REFERENCE.exists() or REFERENCE.read_text() != build_reference():
        stale.append(REFERENCE.name)
    if stale:
        print(f"run 'make generate': stale files: {', '.join(stale)}")
        return 1
    print("generated modules and the reference match their schema")
    return 0


if __name__ == "__main__":
    sys.exit(main())
