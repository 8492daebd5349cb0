"""Generate the attrs classes and the reference from the JSON Schema files."""

import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from generate_reference import REFERENCE, build_reference  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
SCHEMA_DIR = ROOT / "catkinhollow" / "schema"
OUTPUT_DIR = ROOT / "catkinhollow" / "generated"
PLATFORM_DIR = ROOT / "catkinhollow" / "platform"
TEMPLATE_DIR = ROOT / "tools" / "templates"


def generate(schema: Path, output: Path) -> None:
    """Write one generated module for one schema file."""
    bin_dir = Path(sys.executable).parent
    subprocess.run(
        [
            str(bin_dir / "datamodel-codegen"),
            *("--input", str(schema)),
            *("--input-file-type", "jsonschema"),
            *("--output-model-type", "msgspec.Struct"),
            *("--target-python-version", "3.11"),
            *("--custom-template-dir", str(TEMPLATE_DIR)),
            *("--additional-imports", "attrs.frozen,attrs.Factory"),
            *(
                "--custom-file-header",
                f'"""Generated from {schema.name}; do not edit."""',
            ),
            *("--formatters", "builtin"),
            "--use-annotated",
            "--use-schema-description",
            "--use-union-operator",
            "--use-standard-collections",
            "--disable-timestamp",
            "--disable-future-imports",
            "--field-constraints",
            "--set-default-enum-member",
            "--keyword-only",
            "--collapse-root-models",
            "--capitalise-enum-members",
            "--disable-warnings",
            *("--output", str(output)),
        ],
        check=True,
    )
    ruff = str(bin_dir / "ruff")
    subprocess.run(
        [ruff, "check", "--quiet", "--select", "F401,I", "--fix", str(output)],
        check=True,
        cwd=ROOT,
    )
    subprocess.run([ruff, "format", "--quiet", str(output)], check=True, cwd=ROOT)


def main() -> None:
    """Generate every module and docs/settings.md."""
    for schema in sorted(SCHEMA_DIR.glob("*.yaml")):
        generate(schema, OUTPUT_DIR / f"{schema.stem}.py")
    generate(PLATFORM_DIR / "schema.yaml", PLATFORM_DIR / "generated.py")
    REFERENCE.write_text(build_reference())


if __name__ == "__main__":
    main()
