"""Profiles of hypothesis for all tests.

The profile ``ci`` runs the same examples every time. It is the default,
unless the environment variable ``HYPOTHESIS_PROFILE`` is set. The option
``--hypothesis-profile`` selects another one.
"""

import os

import hypothesis

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile(
    'fuzz', max_examples=2000, deadline=None, print_blob=True
)
if 'HYPOTHESIS_PROFILE' not in os.environ:
    hypothesis.settings.load_profile('ci')
