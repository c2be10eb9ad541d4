"""Tests of ``jackdawkeel.platform``.

A package named ``platform`` would shadow the module of the standard library.
"""
