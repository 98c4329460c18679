"""Tests: behave features and the fuzzers they run."""
