"""
The entry point of the executable archive, stored as its ``__main__.py``.

Python modules are imported directly from the archive.  The dynamic linker
needs compiled modules and their libraries as files, so the first start unpacks
them into a directory, which later starts of the same archive reuse.
"""

import hashlib
import os
import pathlib
import shutil
import stat
import sys
import tempfile
import zipfile
from collections.abc import Sequence
from importlib import machinery
from importlib.abc import MetaPathFinder
from types import ModuleType

_UNPACK_ROOT_VARIABLE = 'HAWTHORNPIER_UNPACK_ROOT'
_ID_LENGTH = 16


class CompiledFinder(MetaPathFinder):
    """
    An import finder for the compiled modules unpacked to *directory*.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> machinery.ModuleSpec | None:
        """
        Return the spec of a compiled module, or None if there is none.
        """
        stem = self._directory.joinpath(*fullname.split('.'))
        for suffix in machinery.EXTENSION_SUFFIXES:
            file = f'{stem}{suffix}'
            if os.path.exists(file):
                loader = machinery.ExtensionFileLoader(fullname, file)
                return machinery.ModuleSpec(
                    fullname,
                    loader,
                    origin=file,
                )
        return None


def install(archive: str) -> None:
    """
    Unpack the compiled modules of *archive* and make them importable.
    """
    sys.meta_path.insert(0, CompiledFinder(unpack(archive)))


def unpack(archive: str) -> pathlib.Path:
    """
    Unpack the compiled modules if necessary and return their directory.

    The directory's name is a hash of the unpacked files, so that different
    versions of the archive do not share a directory.
    """
    root = _unpack_root()
    with zipfile.ZipFile(archive) as content:
        entries = [
            entry for entry in content.infolist() if '.so' in entry.filename
        ]
        names = ''.join(f'{entry.filename} {entry.CRC}\n' for entry in entries)
        build_id = hashlib.sha256(names.encode()).hexdigest()[:_ID_LENGTH]
        directory = root / build_id
        if not directory.exists():
            temporary = tempfile.mkdtemp(dir=root)
            content.extractall(temporary, entries)
            _move(temporary, directory)
    return directory


def _unpack_root() -> pathlib.Path:
    """
    Return the directory to unpack to.

    Other users must not be able to write to it, since code is loaded from it.
    """
    default = pathlib.Path(tempfile.gettempdir(), f'hawthornpier-{os.getuid()}')
    root = pathlib.Path(os.environ.get(_UNPACK_ROOT_VARIABLE) or default)
    root.mkdir(mode=stat.S_IRWXU, parents=True, exist_ok=True)
    status = root.stat()
    is_shared = status.st_mode & (stat.S_IWGRP | stat.S_IWOTH)
    if is_shared or status.st_uid != os.getuid():
        sys.exit(
            f'hawthornpier: refused to unpack to {root}, which other users '
            f'own or can write to; set {_UNPACK_ROOT_VARIABLE} to a directory '
            'of your own',
        )
    return root


def _move(temporary: str, directory: pathlib.Path) -> None:
    """
    Rename the complete directory, unless another process did so first.
    """
    try:
        pathlib.Path(temporary).rename(directory)
    except OSError:
        shutil.rmtree(temporary)
        if not directory.exists():
            raise


if __name__ == '__main__':
    install(sys.argv[0])
    from hawthornpier.cli import main

    sys.exit(main())
