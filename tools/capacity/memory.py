"""
Resident memory after each group of the modules that the daemon imports.
"""

import json
import os
import subprocess
import sys
from collections.abc import Iterator

from capacity.measurement import Measurement

# Groups of modules in the order in which the daemon imports them.  Exporters
# are last since they are imported only if enabled.
_STEPS = (
    ('interpreter', ()),
    ('asyncio', ('asyncio',)),
    ('messages', ('hawthornpier.messages', 'msgspec.json')),
    ('eliot', ('eliot',)),
    ('tornado', ('tornado.web', 'tornado.httpserver')),
    ('curl', ('tornado.curl_httpclient',)),
    ('metrics', ('hawthornpier.metrics',)),
    (
        'own modules',
        (
            'hawthornpier.events',
            'hawthornpier.policy',
            'hawthornpier.table',
            'hawthornpier.owner',
            'hawthornpier.entry',
            'hawthornpier.settings',
            'hawthornpier.adapters',
            'hawthornpier.coordination',
            'hawthornpier.daemon',
        ),
    ),
    ('scrape exporter', ('opentelemetry.exporter.prometheus',)),
    (
        'OTLP exporter',
        ('opentelemetry.exporter.otlp.proto.http.metric_exporter',),
    ),
)

# Imports only importlib, json and sys before the first reading, which has to
# show the memory of the interpreter alone.
_CHILD_SCRIPT = """
import importlib, json, sys

def resident_kilobytes():
    with open('/proc/self/status') as status:
        return next(
            int(line.split()[1]) for line in status if line.startswith('VmRSS:')
        )

readings = []
for name, modules in json.loads(sys.argv[1]):
    for module in modules:
        importlib.import_module(module)
    readings.append((name, resident_kilobytes()))
print(json.dumps(readings))
"""


def measure() -> Iterator[Measurement]:
    """
    Yield the memory of a new interpreter after each group of imports.
    """
    child = subprocess.run(
        [sys.executable, '-c', _CHILD_SCRIPT, json.dumps(_STEPS)],
        check=True,
        capture_output=True,
        env={'PYTHONPATH': os.pathsep.join(sys.path)},
    )
    for name, kilobytes in json.loads(child.stdout):
        yield Measurement(
            name=f'memory.after.{name}',
            amount=kilobytes / 1024,
            unit='MiB',
        )
