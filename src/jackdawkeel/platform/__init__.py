"""Adapter between the users' platform and the project's own types.

The platform's messages, settings and stored keys are decoded and encoded only here.
The package makes no scheduling decisions and holds no scheduling state.
"""
