"""The package installed into an empty directory, without its sources."""

import os
import shutil
import subprocess
import sys

import pytest

from cactusledge import __version__
from standins.deployment import ROOT

SOURCES = ('cactusledge', 'requirements')
FILES = ('pyproject.toml', 'README.md')


@pytest.fixture
def installed(tmp_path):
    """Installs the package; dependencies come from this environment."""
    source, target = tmp_path / 'source', tmp_path / 'target'
    for name in SOURCES:
        ignored = shutil.ignore_patterns('__pycache__')
        shutil.copytree(ROOT / name, source / name, ignore=ignored)
    for name in FILES:
        shutil.copy(ROOT / name, source)
    options = ('--quiet', '--no-deps', '--no-build-isolation', '--target')
    pip = (sys.executable, '-m', 'pip', 'install', *options)
    subprocess.run((*pip, str(target), str(source)), check=True)
    return target


@pytest.mark.process
def test_command_runs_where_it_was_installed(installed, tmp_path):
    command = installed / 'bin' / 'cactusledge'
    env = {**os.environ, 'PYTHONPATH': str(installed)}
    for arguments, expected in (
        (('--version',), f'cactusledge {__version__}'),
        (('settings-reference',), 'listen'),
        (('explain', '--help'), 'Usage'),
    ):
        found = subprocess.run(
            (sys.executable, str(command), *arguments),
            capture_output=True,
            check=True,
            cwd=tmp_path,
            env=env,
            text=True,
        )
        assert expected in found.stdout
