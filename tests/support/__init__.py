"""What several step files share."""
