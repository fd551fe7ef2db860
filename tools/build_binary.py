"""
Builds ``dist/hawthornpier``, a single executable file.

The file is a ZIP archive of the product and its run-time dependencies, which
are copied from the environment that runs this program; nothing is downloaded.
``docs/OPERATIONS.md`` compares it with shiv.
"""

import argparse
import compileall
import pathlib
import shutil
import subprocess
import sys
import tempfile
import zipfile
from collections.abc import Iterator
from importlib.metadata import PackagePath, distribution
from py_compile import PycInvalidationMode

from packaging.requirements import Requirement

ROOT = pathlib.Path(__file__).parents[1]
# Files needed only to build, test or type-check a package.
_SKIPPED_FOLDERS = frozenset(('tests', 'test', 'testing', '__pycache__'))
_SKIPPED_SUFFIXES = frozenset(('.pyi', '.c', '.h', '.pyx', '.pxd', '.pyc'))
# The package of the product; the stand-ins are not included.
_PRODUCT = 'hawthornpier'
_SHEBANG = b'#!/usr/bin/env python3.11\n'
_EXECUTABLE_MODE = 0o755
# A script that imports every package that has compiled modules or data files.
_IMPORT_ALL = """
import runpy, sys
sys.path.insert(0, sys.argv[1])
runpy.run_path(sys.argv[1], run_name='archive')['install'](sys.argv[1])
import eliot, google.protobuf.message, orjson, pycurl, requests, xxhash
import opentelemetry.exporter.otlp.proto.http.metric_exporter
import opentelemetry.exporter.prometheus, sortedcontainers
import tornado.curl_httpclient, tornado.speedups
assert google.protobuf.message.__file__.startswith(sys.argv[1])
"""
# A check that takes longer fails the build.
_CHECK_TIMEOUT_S = 60


def main() -> None:
    """
    Build the executable and check it.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('output', type=pathlib.Path)
    output = parser.parse_args().output
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as work:
        site = pathlib.Path(work, 'site')
        copy_packages(site)
        build(site, output)
        check(output.resolve(), pathlib.Path(work))


def copy_packages(site: pathlib.Path) -> None:
    """
    Copy the product and its dependencies to the directory *site*.
    """
    shutil.copytree(
        ROOT / 'src' / _PRODUCT,
        site / _PRODUCT,
        ignore=shutil.ignore_patterns('__pycache__'),
    )
    for name in sorted(required_packages()):
        package = distribution(name)
        for file in package.files or ():
            if _is_needed(file):
                target = site / file
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy2(package.locate_file(file), target)


def required_packages() -> set[str]:
    """
    Return the packages in ``requirements/run.in`` and their dependencies.
    """
    direct = (ROOT / 'requirements' / 'run.in').read_text().split()
    found: set[str] = set()
    pending = list(direct)
    while pending:
        name = pending.pop().lower().replace('_', '-')
        if name not in found:
            found.add(name)
            pending.extend(_requirements(name))
    return found


def build(site: pathlib.Path, output: pathlib.Path) -> None:
    """
    Pack *site* into the executable *output*.

    The bytecode is stored next to the sources and not checked against them, so
    that no start compiles anything; the sources are used for tracebacks.
    """
    shutil.copy2(ROOT / 'tools' / 'archive_main.py', site / '__main__.py')
    compileall.compile_dir(
        site,
        quiet=1,
        stripdir=site,
        legacy=True,
        invalidation_mode=PycInvalidationMode.UNCHECKED_HASH,
    )
    with output.open('wb') as file:
        file.write(_SHEBANG)
        with zipfile.ZipFile(file, 'w', zipfile.ZIP_DEFLATED) as archive:
            for path in sorted(site.rglob('*')):
                _add(archive, path, str(path.relative_to(site)))
    output.chmod(_EXECUTABLE_MODE)


def check(output: pathlib.Path, work: pathlib.Path) -> None:
    """
    Run the executable without the packages of the build environment.
    """
    interpreter = pathlib.Path(sys.base_prefix, 'bin', 'python3.11')
    example = ROOT / 'examples' / 'yayasan.ini'
    for arguments in (
        (output, '--help'),
        (output, 'check', example),
        ('-c', _IMPORT_ALL, output),
    ):
        subprocess.run(
            [interpreter, '-I', '-S', *arguments],
            check=True,
            env={'HAWTHORNPIER_UNPACK_ROOT': str(work / 'unpacked')},
            cwd=work,
            stdout=subprocess.DEVNULL,
            timeout=_CHECK_TIMEOUT_S,
        )


def _add(archive: zipfile.ZipFile, path: pathlib.Path, name: str) -> None:
    """
    Add a file or directory to *archive* as *name*.

    The date is fixed, so that equal contents give equal archives.  Directories
    get entries because packages without ``__init__`` cannot be imported from
    an archive otherwise.
    """
    if path.is_dir():
        archive.writestr(zipfile.ZipInfo(f'{name}/'), b'')
        return
    entry = zipfile.ZipInfo(name)
    entry.compress_type = zipfile.ZIP_DEFLATED
    entry.external_attr = _EXECUTABLE_MODE << 16
    archive.writestr(entry, path.read_bytes())


def _requirements(name: str) -> Iterator[str]:
    for line in distribution(name).requires or ():
        requirement = Requirement(line)
        marker = requirement.marker
        if marker is None or marker.evaluate({'extra': ''}):
            yield requirement.name


def _is_needed(file: PackagePath) -> bool:
    is_inside = '..' not in file.parts
    is_skipped = _SKIPPED_FOLDERS & set(file.parts)
    return is_inside and not is_skipped and file.suffix not in _SKIPPED_SUFFIXES


if __name__ == '__main__':
    main()
