"""
Tests of the decoding of rows that the platform's operator writes.
"""

import json

import pytest

from hawthornpier.platform._records import decode_configuration


class TestConfigurationRow:
    """
    The operator's configuration says which workers check their capacity.
    """

    @pytest.mark.parametrize(
        ('services', 'unguarded'),
        [
            ([{'name': 'desk', 'admission_check': False}], {'desk'}),
            ([{'name': 'desk', 'admission_check': True}], set()),
            ([{'name': 'desk', 'standby': False}], set()),
            ([], set()),
        ],
    )
    def test_workers_without_a_check_are_known(self, services, unguarded):
        """
        Guards against starts beyond a capacity that nobody else checks.
        """
        row = {'version': 3, 'routes': [], 'services': services}
        configuration = decode_configuration(json.dumps(row).encode())
        assert configuration.unguarded_services == unguarded
