"""
Leaves out the tests that KNOWN-RED.txt lists, and names them in the report.

``pytest --known-red`` runs them too.
"""

import pathlib
import re

LIST_FILE = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
TEST_LINE = re.compile(r'test:\s+(tests/\S+)')


def known_red_tests(text):
    """
    Return the ids of the tests that a list of known faults names.
    """
    return frozenset(TEST_LINE.findall(text))


def pytest_addoption(parser):
    parser.addoption(
        '--known-red',
        action='store_true',
        help='also run the tests that KNOWN-RED.txt lists',
    )


def pytest_terminal_summary(terminalreporter, config):
    if config.getoption('--known-red'):
        return
    for test in sorted(known_red_tests(LIST_FILE.read_text())):
        terminalreporter.write_line(f'left out, known to fail: {test}')


def pytest_collection_modifyitems(config, items):
    if config.getoption('--known-red'):
        return
    listed = known_red_tests(LIST_FILE.read_text())
    left_out = [item for item in items if item.nodeid in listed]
    config.hook.pytest_deselected(items=left_out)
    for item in left_out:
        items.remove(item)
