import json
import subprocess
import sys

from behave import then, when

UNUSED = ("typer", "rich", "pygments", "statsd", "cryptography", "hdrh", "numpy", "matplotlib")
"""Libraries that the platform's machines don't install."""

SCRIPT = """
import gc, json, sys
for name in {unused!r}:
    sys.modules[name] = None  # Importing the library raises ImportError.
import {module}
collections = sum(generation["collections"] for generation in gc.get_stats())
freeze_loaded_objects = sys.modules["samphirespring.process.runtime"].freeze_loaded_objects
freeze_loaded_objects()
modules = [name for name, module in sys.modules.items() if module is not None]
print(json.dumps([modules, collections, gc.isenabled()]))
"""


@when('"{module}" is imported without the libraries that only operators\' tools and tests use')
def step_import(context, module):
    script = SCRIPT.format(unused=UNUSED, module=module)
    output = subprocess.run([sys.executable, "-c", script], capture_output=True, check=True).stdout
    context.modules, context.collections, context.collects = json.loads(output)


@then("at most {count:d} modules are loaded")
def step_check_count(context, count):
    assert len(context.modules) <= count, len(context.modules)


@then('"{first}" and "{second}" aren\'t loaded')
def step_check_absent(context, first, second):
    assert not {first, second} & set(context.modules)


@then(
    "at most {count:d} collections have run, and collections are enabled once the loaded objects"
    " are frozen"
)
def step_check_collections(context, count):
    assert context.collections <= count, context.collections
    assert context.collects


SIGNALLED_SCRIPT = """
import os, runpy, signal, sys

class Signaller:
    def find_spec(self, name, path, target=None):
        if name == {library!r}:
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Signaller())
runpy.run_module({module!r}, run_name="__main__")
"""


@when('"{module}" gets a SIGHUP while it loads "{library}", and has no settings')
def step_signal(context, module, library):
    script = SIGNALLED_SCRIPT.format(module=module, library=library)
    context.status = subprocess.run([sys.executable, "-c", script], capture_output=True).returncode


@then("it ends by its missing settings, with status {status:d}")
def step_check_status(context, status):
    assert context.status == status, context.status
