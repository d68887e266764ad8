"""Rules for calls: their file format, matching, log and version in force."""
