"""What a process of the platform loads at its start.

After a loss of power of all machines, or in a roll, every process pays for each
imported module before it serves, on a small share of a core.
"""

import json
import os
import subprocess
import sys
import tomllib
from importlib import metadata
from pathlib import Path

import pytest

from cactusledge.telemetry.metrics import LIBRARY_MODULE

ROOT = Path(__file__).parent.parent
REQUIREMENTS = ROOT / 'requirements'
ROLES = ('front', 'store')
MAX_MODULES = {'front': 400, 'store': 350}
LOAD = """
import json, sys
from cactusledge.platform import process
process.load_role(sys.argv[1])
print(json.dumps(sorted(sys.modules)))
"""
FOR_CONSOLES = ('rich', 'pygments', 'typer', 'colorama')
FOR_LATER = ('urllib3', 'prometheus_client')  # loaded at the first use
FOR_OTHERS = ('pydantic', 'opentelemetry', 'hdrh', 'cheroot', 'site')
GATEWAY_ONLY = (
    'cactusledge.gateway.gateway',
    'cactusledge.gateway.app',
    'cactusledge.records.client',
    'zstandard',
)
STORE_ONLY = (
    'cactusledge.records.app',
    'cactusledge.records.disk',
    'cactusledge.records.store',
    'pykka',
)
UNUSED = {'front': STORE_ONLY, 'store': GATEWAY_ONLY}


def pins(name):
    """Returns the pinned packages of a requirements file."""
    return (REQUIREMENTS / name).read_text().split()


@pytest.fixture(scope='session')
def packages(tmp_path_factory):
    """Returns a folder with just the packages that the platform installs."""
    folder = tmp_path_factory.mktemp('deps')
    for pin in pins('platform.txt'):
        found = metadata.distribution(pin.partition('==')[0])
        tops = {path.parts[0] for path in found.files} - {'..'}
        for top in tops:
            (folder / top).symlink_to(found.locate_file(top))
    return folder


@pytest.fixture
def run(packages):
    """Runs Python as the deployment does, with these arguments."""

    def start(*arguments):
        return subprocess.run(
            [sys.executable, '-S', *arguments],
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': str(packages)},
            capture_output=True,
            check=False,
            text=True,
        )

    return start


@pytest.mark.parametrize('role', ROLES)
def test_start_of_all_machines_at_once_loads_only_what_the_role_serves_with(
    run, role
):
    ended = run('-c', LOAD, role)
    assert not ended.returncode, ended.stderr
    loaded = set(json.loads(ended.stdout))
    unused = {*FOR_CONSOLES, *FOR_LATER, *FOR_OTHERS, *UNUSED[role]}
    assert not loaded & unused
    assert len(loaded) <= MAX_MODULES[role]


# A package that is missing would only show when the platform is first asked.
@pytest.mark.parametrize(
    'module', ['cactusledge.objects.exchange', LIBRARY_MODULE]
)
def test_what_is_loaded_after_the_start_is_installed_too(run, module):
    ended = run('-c', f'import {module}')
    assert not ended.returncode, ended.stderr


@pytest.mark.parametrize('role', ['', 'nothing'])
def test_unknown_role_is_reported_without_loading_any(run, role):
    ended = run('-m', 'cactusledge.platform', role)
    assert ended.returncode == 2
    assert 'front' in ended.stderr


# A clean machine has none of the packages of a developer, and installs these.
def test_platform_installs_a_part_of_the_same_pinned_packages():
    platform = pins('platform.txt')
    assert set(platform) < set(pins('run.txt'))
    assert not {pin.partition('==')[0] for pin in platform} & set(FOR_CONSOLES)


def test_deployment_starts_roles_without_the_packages_of_the_machine():
    deployment = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    assert 'requirements/platform.txt' in deployment['build']
    for name, role in deployment['roles'].items():
        assert role['run'] == f'python3 -S -m cactusledge.platform {name}'
