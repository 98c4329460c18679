"""An independent review: cases that show faults, see REPORT.md."""
