"""Check that the committed generated files match their schemas."""

import sys
from pathlib import Path
from tempfile import TemporaryDirectory

sys.path.insert(0, str(Path(__file__).resolve().parent))

from generate import OUTPUT_DIR, PLATFORM_DIR, SCHEMA_DIR, generate  # noqa: E402
from generate_reference import REFERENCE, build_reference  # noqa: E402


def main() -> int:
    """Return 1 and print the files that do not match their schema."""
    stale = []
    with TemporaryDirectory(dir=OUTPUT_DIR.parent) as directory:
        pairs = [
            (schema, OUTPUT_DIR / f"{schema.stem}.py")
            for schema in sorted(SCHEMA_DIR.glob("*.yaml"))
        ]
        pairs.append((PLATFORM_DIR / "schema.yaml", PLATFORM_DIR / "generated.py"))
        for schema, committed in pairs:
            output = Path(directory) / committed.name
            generate(schema, output)
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
