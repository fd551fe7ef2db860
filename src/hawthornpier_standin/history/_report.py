"""
The results of the checkers.
"""

import enum
from dataclasses import dataclass

from hawthornpier_standin.history._records import Record


class Guarantee(enum.StrEnum):
    """
    The guarantees that are checked, numbered as in README.md.
    """

    CAPACITY = 'capacity (G1)'
    SINGLE_PLACEMENT = 'single placement (G2)'
    RESUME_ONCE = 'resume exactly once (G3)'
    OWN_ANSWER = 'complete own answer (G4)'
    NOT_RUN = 'not run (G5)'
    AT_MOST_ONCE = 'at most once (G6)'
    LEAVING_ENDPOINT = 'leaving endpoint (G7)'
    PLANNED_STOP = 'planned stop (G8)'
    TABLE = 'table (G9)'
    NOTHING_LOST = 'nothing lost'


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """
    One violation of a guarantee and the records that prove it.
    """

    guarantee: Guarantee
    subject: str
    reason: str
    records: tuple[Record, ...] = ()

    def __str__(self) -> str:
        times = ', '.join(f'{record.at_ms:.3f}' for record in self.records)
        return f'{self.guarantee}: {self.subject}: {self.reason} [{times}]'


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """
    The result of one checker.

    If *checked_count* is 0, the history did not exercise the guarantee.
    """

    guarantee: Guarantee
    checked_count: int
    violations: tuple[Violation, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """
    The results of all checkers on one history.
    """

    record_count: int
    findings: tuple[Finding, ...]

    @property
    def violations(self) -> tuple[Violation, ...]:
        """
        All violations, in the order of the guarantees.
        """
        return tuple(
            violation
            for finding in self.findings
            for violation in finding.violations
        )

    def summary(self) -> str:
        """
        Return one line with the violated and the unexercised guarantees.
        """
        violated = ', '.join(
            f'{finding.guarantee} {len(finding.violations)} times'
            for finding in self.findings
            if finding.violations
        )
        untested = ', '.join(
            finding.guarantee
            for finding in self.findings
            if not finding.checked_count
        )
        parts = [
            f'{self.record_count} records',
            f'violated: {violated}' if violated else 'no violations',
        ]
        if untested:
            parts.append(f'not exercised: {untested}')
        return '; '.join(parts)
