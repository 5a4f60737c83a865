"""Shared fixtures; hypothesis runs the same examples every time."""

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
