"""Hold process settings and the operators' tree."""
