"""The documentation: pages that are made from code, and the site as a whole."""

import runpy
from pathlib import Path

from mkdocs.commands.build import build
from mkdocs.config import load_config

ROOT = Path(__file__).parents[2]


def test_reference_is_current():
    """Guards against a reference that describes other settings than the code."""
    script = runpy.run_path(str(ROOT / "tools" / "make_reference.py"))
    page = (ROOT / "docs" / "reference.md").read_text()
    assert page == script["make_page"](), "run python tools/make_reference.py"


def test_site_builds(tmp_path):
    """Guards against broken links and pages that the navigation leaves out."""
    config = load_config(
        str(ROOT / "mkdocs.yml"), strict=True, site_dir=str(tmp_path / "site")
    )
    build(config)
    pages = {path.parent.name for path in tmp_path.glob("site/operate/*/index.html")}
    assert {"table-down", "vm-dies", "fate-unknown", "no-start"} <= pages
