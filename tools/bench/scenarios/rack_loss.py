"""
Loss of a rack of the picking division at the peak of the dawn surge.
"""

from dataclasses import replace

from tools.bench.scenario import Fault
from tools.bench.scenarios import dawn_surge

SCENARIO = replace(
    dawn_surge.SCENARIO,
    name='rack_loss',
    question='What is served when a third of the workers is lost at the peak?',
    faults=(Fault(at_ms=36_000, kind='lose', workers=tuple(range(8, 16))),),
)
