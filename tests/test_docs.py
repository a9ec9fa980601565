"""Tests that the files, modules and tests named on the pages exist."""

import pathlib
import re

import pytest

from model.guards import GUARDS

ROOT = pathlib.Path(__file__).parent.parent
PAGES = (
    ROOT / 'README.md',
    ROOT / 'CONTRIBUTING.md',
    *sorted((ROOT / 'docs').rglob('*.md')),
)
FOLDERS = (
    'cactusledge/',
    'tests/',
    'model/',
    'standins/',
    'benchmarks/',
    'examples/',
    'deploy/',
    'docs/',
    'requirements/',
)
MODULES = (r'cactusledge\.', r'benchmarks\.', r'standins\.')
PACKAGES = tuple(
    rf'{path.parent.name}\.'
    for path in (ROOT / 'cactusledge').glob('*/__init__.py')
)
SETTINGS = (ROOT / 'docs/operators/settings.md').read_text()
SOURCES = tuple(
    path
    for folder in ('cactusledge', 'tests', 'model', 'standins', 'benchmarks')
    for path in (ROOT / folder).rglob('*.py')
)
SOURCE_TEXT = ''.join(path.read_text() for path in SOURCES)
DEFINITION = r'(?m)^(?:async )?(?:def |class )?{name}\b(?:\(|:| =)'
CODE_BLOCK = re.compile(r'(?ms)^ *```.*?^ *```')
LOGGERS = 'gateway|records|platform|telemetry|logs'
LINK = re.compile(r'\[[^\]]*\]\(([^)\s]+)\)')


def page_id(page: pathlib.Path) -> str:
    """Return the page's path from the root."""
    return str(page.relative_to(ROOT))


def code_spans(page: pathlib.Path) -> list[str]:
    """Return the words of the page's text in backticks."""
    text = CODE_BLOCK.sub('', page.read_text())
    return [
        word.partition('(')[0]
        for span in re.findall(r'`([^`]+)`', text)
        for word in span.split()
    ]


def defines(path: pathlib.Path, name: str) -> bool:
    """Return whether the file defines the name at its top level."""
    pattern = DEFINITION.format(name=re.escape(name))
    return re.search(pattern, path.read_text()) is not None


def path_exists(word: str) -> bool:
    """Return whether `path` or `path::test_name` names something."""
    path, _, test = word.partition('::')
    if test:
        function = test.partition('[')[0]
        return (ROOT / path).is_file() and defines(ROOT / path, function)
    return any(ROOT.glob(path.rstrip('/')))


def module_exists(word: str) -> bool:
    """Return whether a dotted name is a module or a name in one."""
    place = ROOT / word.replace('.', '/')
    if place.is_dir() or place.with_suffix('.py').is_file():
        return True
    module, name = place.parent.with_suffix('.py'), place.name
    return module.is_file() and defines(module, name)


def file_exists(word: str) -> bool:
    """Return whether a file of this name is below one of the folders."""
    return any(path.match(word) for path in SOURCES)


def names_test(word: str) -> bool:
    """Return whether a test file or a test function has this name."""
    if any(path.match(f'{word}.py') for path in SOURCES):
        return True
    return any(defines(path, word) for path in SOURCES)


def names_code(word: str) -> bool:
    """Return whether each part of `Class.name` or `CONSTANT` is in use."""
    return all(
        re.search(rf'\b{part}\b', SOURCE_TEXT) for part in word.split('.')
    )


def is_logged(event: str) -> bool:
    """Return whether the code holds the event, with or without its prefix."""
    text = event.partition(': ')[2]
    return f"'{text}'" in SOURCE_TEXT or f": {text}'" in SOURCE_TEXT


def names_part(word: str) -> bool:
    """Return whether `package.name` is a module, a name or a setting."""
    return f'`{word}`' in SETTINGS or module_exists(f'cactusledge.{word}')


# The first pattern that matches a whole word decides; metrics have no entry,
# since the code puts their names together.
CHECKS = (
    (rf'(?:{"|".join(FOLDERS)}).*', path_exists),
    (rf'(?:{"|".join(MODULES)}).*', module_exists),
    (rf'(?:{"|".join(PACKAGES)}).*', names_part),
    (r'[\w/*]+\.py', file_exists),
    (r'[A-Z]\w*[a-z_]\w*(?:\.\w+)*', names_code),
    (r'test_[\w*]+', names_test),
    (r'(?!cactusledge_)[a-z]+_\w+', names_code),
)


def is_missing(word: str) -> bool:
    """Return whether the word names something that does not exist."""
    for pattern, exists in CHECKS:
        if re.fullmatch(pattern, word):
            return not exists(word)
    return False


@pytest.mark.parametrize('page', PAGES, ids=page_id)
def test_named_code_exists(page: pathlib.Path) -> None:
    """Each path, module and test in backticks on a page exists."""
    assert [word for word in code_spans(page) if is_missing(word)] == []


@pytest.mark.parametrize('page', PAGES, ids=page_id)
def test_log_events_exist(page: pathlib.Path) -> None:
    """Each log event in backticks on a page is written by the code."""
    text = ' '.join(CODE_BLOCK.sub('', page.read_text()).split())
    events = re.findall(rf'`((?:{LOGGERS}): [^`]+)`', text)
    assert [event for event in events if not is_logged(event)] == []


@pytest.mark.parametrize('page', PAGES, ids=page_id)
def test_links_lead_to_files(page: pathlib.Path) -> None:
    """Each relative link on a page leads to a file or a folder."""
    links = LINK.findall(page.read_text())
    targets = [
        link.partition('#')[0]
        for link in links
        if '://' not in link and not link.startswith('#')
    ]
    assert [to for to in targets if not (page.parent / to).exists()] == []


def test_guards_are_listed() -> None:
    """The page of the model checks lists the guards that the model has."""
    text = (ROOT / 'docs/design/model.md').read_text()
    section = text.partition('## Guards')[2].partition('##')[0]
    rows = re.findall(r'(?m)^\| (.+) \| \d+ \|$', section.replace('`', ''))
    assert rows == [guard.name.replace('`', '') for guard in GUARDS]
