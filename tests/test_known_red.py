"""
Tests of the list of known faults.
"""

import ast

from conftest import LIST_FILE, known_red_tests


class TestList:
    """
    The list names tests that the test command leaves out.
    """

    def test_only_lines_that_name_a_test_leave_one_out(self):
        """
        Guards against a check outside the tests that leaves out a test.
        """
        text = '1. check: tests/a.py::b\n2. test:   tests/c.py::D::e\n'
        assert known_red_tests(text) == {'tests/c.py::D::e'}

    def test_every_listed_test_exists(self):
        """
        Guards against an entry that outlives the test that it names.
        """
        for test in known_red_tests(LIST_FILE.read_text()):
            path, *names = test.partition('[')[0].split('::')
            root = ast.parse((LIST_FILE.parent / path).read_text())
            defined = {
                node.name for node in ast.walk(root) if hasattr(node, 'name')
            }
            assert defined.issuperset(names)
