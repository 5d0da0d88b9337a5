"""Tests reading the platform's settings file."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from damasksaddle.exceptions import SettingsInvalid
from damasksaddle_platform.main import main
from damasksaddle_platform.settings import read_settings

SETTINGS_TEXT = """
NodeName: "edge-riga-a-1"
Ip: "10.1.0.11"
Zone: "riga-a"
Listen:
  Frontend: "10.1.0.11:8368"
  Ready: "10.1.0.11:8369"
  Directory: "10.1.0.11:8360"
InternalPorts:
  - 7780
  - 7795
Bounds:
  GraceS: 8
  RevokeMs: 4000
  ttl_max_s: 1
  Unknown: 3
Platform:
  Address: "10.200.1.7:8362"
"""


def test_valid_settings_file(tmp_path: Path) -> None:
    """Guards against ignoring a limit or using a port outside the internal range."""
    path = tmp_path / "local.yaml"
    path.write_text(SETTINGS_TEXT)
    settings, store_address = read_settings(path)
    assert store_address == "10.200.1.7:8362"
    assert str(settings.caller_address) == "10.1.0.11:8368"
    assert settings.key_revocation_ms == 4000
    assert settings.address_ttl_s == 1
    assert (settings.metrics_address.port, settings.peer_address.port) == (7780, 7781)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[",
        "NodeName: a",
        SETTINGS_TEXT.replace("7795", "x"),
        SETTINGS_TEXT.replace("10.1.0.11:8368", "10.1.0.11:x"),
        SETTINGS_TEXT.replace("10.1.0.11:8368", "10.1.0.11:83680"),
        "[" * 30_000,
        "\udcff",
    ],
)
def test_invalid_settings_file(tmp_path: Path, text: str) -> None:
    """Guards against starting with unreadable settings."""
    path = tmp_path / "local.yaml"
    path.write_text(text, errors="surrogateescape")
    with pytest.raises(SettingsInvalid):
        read_settings(path)
    with pytest.raises(SettingsInvalid):
        read_settings(tmp_path / "missing.yaml")
    result = CliRunner().invoke(main, ["--settings", str(path)])
    assert result.exit_code == 1
    assert len(result.output.strip().splitlines()) == 1
