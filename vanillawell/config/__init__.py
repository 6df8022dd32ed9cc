"""Define the settings of processes and the operators' tree."""
