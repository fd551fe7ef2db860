"""
The start of the one-file executable, stored in it as ``__main__.py``.

Python code is imported from the archive in place.  The dynamic linker needs
compiled modules and their libraries as files, so these are unpacked once,
into a directory that later starts of the same file use again.
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
    Finds the compiled modules that were unpacked to *directory*.
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
        Return the spec of a compiled module, or None.
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
    Make the compiled modules of *archive* importable.
    """
    sys.meta_path.insert(0, CompiledFinder(unpack(archive)))


def unpack(archive: str) -> pathlib.Path:
    """
    Return the directory of the compiled modules, unpacked if needed.

    Its name is a hash of what is unpacked, so that two versions of the file
    do not share one.
    """
    root = _unpack_root()
    with zipfile.ZipFile(archive) as content:
        wanted = [one for one in content.infolist() if '.so' in one.filename]
        names = ''.join(f'{one.filename} {one.CRC}\n' for one in wanted)
        build_id = hashlib.sha256(names.encode()).hexdigest()[:_ID_LENGTH]
        directory = root / build_id
        if not directory.exists():
            temporary = tempfile.mkdtemp(dir=root)
            content.extractall(temporary, wanted)
            _move(temporary, directory)
    return directory


def _unpack_root() -> pathlib.Path:
    """
    Return a directory that nobody else can write to, since code is loaded.
    """
    default = pathlib.Path(tempfile.gettempdir(), f'hawthornpier-{os.getuid()}')
    root = pathlib.Path(os.environ.get(_UNPACK_ROOT_VARIABLE) or default)
    root.mkdir(mode=stat.S_IRWXU, parents=True, exist_ok=True)
    status = root.stat()
    is_shared = status.st_mode & (stat.S_IWGRP | stat.S_IWOTH)
    if is_shared or status.st_uid != os.getuid():
        sys.exit(
            f'hawthornpier: {root} is writable for other users; '
            f'set {_UNPACK_ROOT_VARIABLE} to a directory of your own',
        )
    return root


def _move(temporary: str, directory: pathlib.Path) -> None:
    """
    Give the complete directory its name, unless another start was faster.
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
