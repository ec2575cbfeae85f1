import json
import subprocess
import sys

from behave import then, when

UNUSED = ("typer", "rich", "pygments", "statsd", "cryptography", "hdrh", "numpy", "matplotlib")
"""Libraries that the platform's machines don't install."""

SCRIPT = """
import json, sys
for name in {unused!r}:
    sys.modules[name] = None  # Importing the library raises ImportError.
import {module}
print(json.dumps([name for name, module in sys.modules.items() if module is not None]))
"""


@when('"{module}" is imported without the libraries that only operators\' tools and tests use')
def step_import(context, module):
    script = SCRIPT.format(unused=UNUSED, module=module)
    output = subprocess.run([sys.executable, "-c", script], capture_output=True, check=True).stdout
    context.modules = json.loads(output)


@then("at most {count:d} modules are loaded")
def step_check_count(context, count):
    assert len(context.modules) <= count, len(context.modules)


@then('"{first}" and "{second}" aren\'t loaded')
def step_check_absent(context, first, second):
    assert not {first, second} & set(context.modules)
