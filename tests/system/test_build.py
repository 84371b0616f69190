"""Checks deploy/build.sh, with stand-ins for pip and for the platform."""

import os
import shutil
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent.parent
_PACKAGES = ('core', 'engine', 'platform', 'instance')
_WATCHED = ('cp', 'mv', 'rm')
_TIMEOUT_S = 60

_PYTHON = """#!/bin/sh
case "$*" in
*'-m pip'*)
    echo install >> "$TRACE/installs"
    mkdir "$TRACE/busy" || echo overlap >> "$TRACE/overlaps"
    sleep 0.3
    while [ "$1" != --target ]; do shift; done
    mkdir -p "$2/library"
    echo "MACHINE = '$MACHINE'" > "$2/library/__init__.py"
    rmdir "$TRACE/busy"
    ;;
*sysconfig*)
    echo "$MACHINE"
    ;;
*)
    exec {python} "$@"
    ;;
esac
"""
"""A python3 that installs one library and is of the machine $MACHINE."""

_COMMAND = """#!/bin/sh
watch() {{
    [ ! -f "$TRACE/in-use" ] || while read -r file; do
        [ -f "$file" ] || echo "$file" >> "$TRACE/missing"
    done < "$TRACE/in-use"
}}
watch
{command} "$@"
result=$?
echo "$*" >> "$TRACE/{name}"
watch
exit $result
"""
"""A command that notes the files in use that are missing around it."""


class BuildTest(unittest.TestCase):
    """Builds in a temporary copy with small packages."""

    def setUp(self) -> None:
        """Make the copy and the stand-ins."""
        self.root = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.root)
        self.trace = self.root / 'trace'
        self.trace.mkdir()
        (self.root / 'deploy').mkdir()
        for name in ('deploy/build.sh', 'deploy/requirements.txt'):
            shutil.copy(_ROOT / name, self.root / name)
        shutil.copy(_ROOT / 'constraints.txt', self.root)
        for package in _PACKAGES:
            self.write_source(package, 'first', '1')
            self.write_source(package, 'second', '2')
        self.stand_ins = self.root / 'stand-ins'
        self.stand_ins.mkdir()
        self.write_command('python3', _PYTHON.format(python=sys.executable))
        for name in _WATCHED:
            command = shutil.which(name)
            self.write_command(
                name, _COMMAND.format(command=command, name=name)
            )

    def test_a_build_takes_no_file_from_a_run_that_has_started(self) -> None:
        """Files that both versions have are there at every step."""
        self.build()
        self.use_files()
        self.write_source('core', 'first', '3')
        self.build()
        self.build('arm64')
        self.assertEqual(self.read_trace('missing'), [])
        self.assertEqual(self.import_value('core', 'first'), '3')

    def test_libraries_of_another_machine_are_not_kept(self) -> None:
        """What is compiled for one machine doesn't run on another."""
        self.build('x86_64')
        self.build('arm64')
        library = self.root / 'target' / 'deps' / 'library' / '__init__.py'
        self.assertIn('arm64', library.read_text())
        self.assertEqual(len(self.read_trace('installs')), 2)

    def test_a_build_without_changes_writes_nothing(self) -> None:
        """Neither libraries nor packages are replaced by equal ones."""
        self.build()
        before = self.list_written()
        self.build()
        self.assertEqual(self.list_written(), before)

    def test_a_removed_module_is_gone_after_a_build(self) -> None:
        """Nothing imports a module that its package no longer has."""
        self.build()
        self.source('engine', 'second').unlink()
        self.build()
        self.assertEqual(self.import_value('engine', 'first'), '1')
        built = self.root / 'target' / 'deps' / 'swifthoist_engine'
        self.assertEqual(list(built.rglob('second*')), [])

    def test_a_build_that_was_interrupted_is_repeated(self) -> None:
        """The earlier stamp doesn't stand for what is half replaced."""
        self.build()
        self.write_source('core', 'first', '3')
        self.write_command('mv', '#!/bin/sh\nexit 1\n')
        with self.assertRaises(subprocess.CalledProcessError):
            self.build()
        self.write_source('core', 'first', '1')
        self.write_command('mv', f'#!/bin/sh\nexec {shutil.which("mv")} "$@"\n')
        built = self.list_written()
        self.build()
        self.assertNotEqual(self.list_written(), built)
        self.assertEqual(self.import_value('core', 'first'), '1')

    def test_builds_at_a_time_follow_one_another(self) -> None:
        """The second waits, and finds that nothing is left to do."""
        builds = [self.start_build() for _ in range(2)]
        codes = [build.wait(_TIMEOUT_S) for build in builds]
        self.assertEqual(codes, [0, 0])
        self.assertEqual(self.read_trace('overlaps'), [])
        self.assertEqual(len(self.read_trace('installs')), 1)

    def source(self, package: str, module: str) -> Path:
        """Return the path of a module's source."""
        folder = f'packages/{package}/swifthoist_{package}'
        return self.root / folder / f'{module}.py'

    def write_source(self, package: str, module: str, number: str) -> None:
        """Write a module that holds a number."""
        path = self.source(package, module)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(f'VALUE = {number}\n')

    def write_command(self, name: str, text: str) -> None:
        """Put a command before the system's own."""
        path = self.stand_ins / name
        path.write_text(text)
        path.chmod(0o755)

    def start_build(self, machine: str = 'x86_64') -> subprocess.Popen[bytes]:
        """Start the script on a kind of machine."""
        env = {
            'PATH': f'{self.stand_ins}:{os.environ["PATH"]}',
            'TRACE': str(self.trace),
            'MACHINE': machine,
        }
        command = ('sh', 'deploy/build.sh')
        return subprocess.Popen(command, cwd=self.root, env=env)

    def build(self, machine: str = 'x86_64') -> None:
        """Run the script to its end."""
        process = self.start_build(machine)
        if process.wait(_TIMEOUT_S):
            raise subprocess.CalledProcessError(process.returncode, 'build.sh')

    def use_files(self) -> None:
        """Watch the built modules from now on."""
        built = (self.root / 'target' / 'deps').rglob('*.py')
        lines = ''.join(f'{path}\n' for path in built)
        (self.trace / 'in-use').write_text(lines)

    def read_trace(self, name: str) -> list[str]:
        """Return what the stand-ins noted."""
        path = self.trace / name
        return path.read_text().splitlines() if path.exists() else []

    def list_written(self) -> dict[str, tuple[int, int]]:
        """Return the built files, each with its inode and time of change."""
        built = (self.root / 'target' / 'deps').rglob('*')
        stats = {str(path): path.stat() for path in built if path.is_file()}
        return {
            name: (stat.st_ino, stat.st_mtime_ns)
            for name, stat in stats.items()
        }

    def import_value(self, package: str, module: str) -> str:
        """Return the number of a built module, as a process sees it."""
        script = f'from swifthoist_{package}.{module} import *; print(VALUE)'
        env = {'PYTHONPATH': 'target/deps'}
        command = (sys.executable, '-c', script)
        return subprocess.check_output(
            command, cwd=self.root, env=env, text=True
        ).strip()
